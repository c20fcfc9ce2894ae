#include "shuntjunction/transport/relay_message.h"

#include <algorithm>
#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "response_kind.h"

namespace shuntjunction::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Bytes of framing that a response may have for each byte of its body, and
/// those that it may have without a body. A chunk of one byte has five.
constexpr std::size_t kFramingPerBodyByte = 16;
constexpr std::size_t kMaxFramingBytes =
  2 * RelayResponseReader::kMaxElementBytes;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kBodyTooLarge = 413;
constexpr unsigned kHeadTooLarge = 431;
constexpr unsigned kVersion11 = 11;
constexpr unsigned kVersion10 = 10;

constexpr std::array<std::string_view, 8> kConnectionFields{
  "connection", "keep-alive",        "proxy-connection",   "te",
  "trailer",    "transfer-encoding", "proxy-authenticate", "upgrade"
};

template<typename Message>
std::vector<HttpField>
FieldsOf(const Message& aMessage)
{
  std::vector<HttpField> fields;
  for (const auto& field : aMessage) {
    fields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return fields;
}

/// Calls a function with each token of a comma-separated list, trimmed.
template<typename Function>
void
ForEachToken(std::string_view aList, Function aFunction)
{
  while (!aList.empty()) {
    const auto comma = aList.find(',');
    std::string_view token = aList.substr(0, comma);
    while (!token.empty() && (token.front() == ' ' || token.front() == '\t')) {
      token.remove_prefix(1);
    }
    while (!token.empty() && (token.back() == ' ' || token.back() == '\t')) {
      token.remove_suffix(1);
    }
    aFunction(token);
    aList = comma == std::string_view::npos ? std::string_view()
                                            : aList.substr(comma + 1);
  }
}

/// Whether a line of the head at the front of some bytes continues the one
/// before it. The parser would join them, as if that field had been sent so.
bool
HasFoldedLine(std::string_view aBytes)
{
  const auto head = aBytes.substr(0, aBytes.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

template<typename Parser>
BodyFraming
FramingOf(const Parser& aParser)
{
  if (aParser.chunked()) {
    return BodyFraming::kChunked;
  }
  if (aParser.content_length()) {
    return BodyFraming::kLength;
  }
  return aParser.need_eof() ? BodyFraming::kConnection : BodyFraming::kNone;
}

} // namespace

bool
IsSameName(std::string_view aLeft, std::string_view aRight)
{
  return beast::iequals(aLeft, aRight);
}

std::string_view
FieldValue(const std::vector<HttpField>& aFields, std::string_view aName)
{
  for (const auto& field : aFields) {
    if (IsSameName(field.mName, aName)) {
      return field.mValue;
    }
  }
  return {};
}

bool
IsHopByHopField(std::string_view aName, std::string_view aConnection)
{
  for (const auto name : kConnectionFields) {
    if (IsSameName(aName, name)) {
      return true;
    }
  }
  bool isListed = false;
  ForEachToken(aConnection, [&](std::string_view aToken) {
    isListed = isListed || IsSameName(aToken, aName);
  });
  return isListed;
}

std::string_view
RelayRequest::Field(std::string_view aName) const
{
  return FieldValue(mFields, aName);
}

std::string_view
RelayRequest::Path() const
{
  return std::string_view(mTarget).substr(0, mTarget.find('?'));
}

std::string_view
RelayResponse::Field(std::string_view aName) const
{
  return FieldValue(mFields, aName);
}

struct RelayRequestReader::Parser
{
  http::request_parser<http::string_body> mParser;
};

RelayRequestReader::RelayRequestReader(std::size_t aMaxHeaderBytes,
                                       std::size_t aMaxBodyBytes)
  : mParser(std::make_unique<Parser>())
{
  mParser->mParser.eager(true);
  mParser->mParser.header_limit(static_cast<std::uint32_t>(aMaxHeaderBytes));
  mParser->mParser.body_limit(aMaxBodyBytes);
}

RelayRequestReader::~RelayRequestReader() = default;

ParseStatus
RelayRequestReader::Refuse(unsigned aStatus, std::string_view aProblem)
{
  mRefusalStatus = aStatus;
  mProblem = aProblem;
  return ParseStatus::kMalformed;
}

bool
RelayRequestReader::IsFramingAmbiguous()
{
  const auto& message = mParser->mParser.get();
  const auto lengths = message.count(http::field::content_length);
  const auto encodings = message.count(http::field::transfer_encoding);
  if (lengths + encodings > 1 || message.count(http::field::host) != 1) {
    return true;
  }
  if (encodings == 1 &&
      !IsSameName(message[http::field::transfer_encoding], "chunked")) {
    return true;
  }
  return message.version() != kVersion11 &&
         (message.version() != kVersion10 || encodings == 1);
}

ParseStatus
RelayRequestReader::Put(std::string_view aBytes, std::size_t& aConsumed)
{
  auto& parser = mParser->mParser;
  aConsumed = 0;
  while (!parser.is_done()) {
    beast::error_code error;
    const auto rest = aBytes.substr(aConsumed);
    aConsumed += parser.put(asio::buffer(rest.data(), rest.size()), error);
    if (error == http::error::header_limit) {
      return Refuse(kHeadTooLarge, "the header is too long");
    }
    if (error == http::error::body_limit) {
      return Refuse(kBodyTooLarge, "the body is too long");
    }
    if (error && error != http::error::need_more) {
      return Refuse(kBadRequest, error.message());
    }
    if (parser.is_header_done() && !mIsHeadChecked) {
      mIsHeadChecked = true;
      if (IsFramingAmbiguous()) {
        return Refuse(kBadRequest, "the framing or the host is ambiguous");
      }
    }
    if (error == http::error::need_more || aConsumed == aBytes.size()) {
      break;
    }
  }
  return parser.is_done() ? ParseStatus::kDone : ParseStatus::kNeedMore;
}

bool
RelayRequestReader::ExpectsContinue() const
{
  const auto& parser = mParser->mParser;
  return parser.is_header_done() && !parser.is_done() &&
         IsSameName(parser.get()[http::field::expect], "100-continue");
}

std::size_t
RelayRequestReader::BodyBytes() const
{
  const auto& parser = mParser->mParser;
  if (!parser.is_header_done()) {
    return 0;
  }
  const auto announced = parser.content_length();
  return announced ? static_cast<std::size_t>(*announced)
                   : parser.get().body().size();
}

RelayRequest
RelayRequestReader::Take()
{
  auto& parser = mParser->mParser;
  RelayRequest request;
  request.mKeepsAlive = parser.keep_alive();
  request.mIsChunked = parser.chunked();
  auto message = parser.release();
  request.mHasLength = message.count(http::field::content_length) > 0;
  request.mIsHttp10 = message.version() == kVersion10;
  request.mMethod = std::string(message.method_string());
  request.mTarget = std::string(message.target());
  request.mFields = FieldsOf(message);
  request.mBody = std::move(message.body());
  return request;
}

struct RelayResponseReader::Parser
{
  // Grows with the bytes that arrive; string_body reserves the whole
  // Content-Length, which may exceed the memory, when the head is complete.
  using Body = http::basic_dynamic_body<beast::flat_buffer>;

  http::response_parser<Body> mParser;
};

RelayResponseReader::RelayResponseReader(bool aIsHeadRequest)
  : mIsHeadRequest(aIsHeadRequest)
{
  ResetParser();
}

RelayResponseReader::~RelayResponseReader() = default;

void
RelayResponseReader::ResetParser()
{
  mParser = std::make_unique<Parser>();
  // Stops after the head, to which the parser adds the trailers.
  mParser->mParser.eager(false);
  mParser->mParser.skip(mIsHeadRequest);
  mParser->mParser.header_limit(kMaxElementBytes);
  mParser->mParser.body_limit(boost::none);
}

ParseStatus
RelayResponseReader::Put(std::string_view aBytes, std::size_t& aConsumed)
{
  aConsumed = 0;
  while (aConsumed < aBytes.size() && !mParser->mParser.is_done()) {
    mHasBegun = true;
    beast::error_code error;
    const auto rest = aBytes.substr(aConsumed);
    const auto& message = mParser->mParser.get();
    const auto before = message.body().size();
    const bool wasHeaderDone = mParser->mParser.is_header_done();
    const auto parsed =
      mParser->mParser.put(asio::buffer(rest.data(), rest.size()), error);
    aConsumed += parsed;
    if (error && error != http::error::need_more) {
      return Refuse(error.message());
    }
    if (error && rest.size() - parsed >= kMaxElementBytes) {
      return Refuse("a head, a chunk's size or a trailer is too long");
    }
    if (!CountFraming(parsed, message.body().size() - before)) {
      return Refuse("too much framing for its body");
    }
    const bool isHeadNew = !wasHeaderDone && mParser->mParser.is_header_done();
    if (isHeadNew && !TakeHead(rest)) {
      return ParseStatus::kMalformed;
    }
    if (error == http::error::need_more) {
      break;
    }
  }
  auto& parser = mParser->mParser;
  if (!parser.is_header_done()) {
    return ParseStatus::kNeedMore;
  }
  if (!mIsHeadReported) {
    mIsHeadReported = true;
    return parser.is_done() ? ParseStatus::kDone : ParseStatus::kHead;
  }
  return parser.is_done() ? ParseStatus::kDone : ParseStatus::kNeedMore;
}

ParseStatus
RelayResponseReader::Refuse(std::string_view aProblem)
{
  mProblem = aProblem;
  return ParseStatus::kMalformed;
}

bool
RelayResponseReader::TakeHead(std::string_view aBytes)
{
  if (HasFoldedLine(aBytes)) {
    mProblem = "a folded line in the head";
    return false;
  }
  const auto kind = ResponseKindOf(mParser->mParser.get());
  if (kind == ResponseKind::kInvalid) {
    mProblem = "invalid status, or an interim response with a body";
    return false;
  }
  if (kind == ResponseKind::kInterim) {
    if (++mInterimResponses > kMaxInterimResponses) {
      mProblem = "too many interim responses";
      return false;
    }
    ResetParser();
    return true;
  }
  FillHead();
  mParser->mParser.eager(true);
  return true;
}

bool
RelayResponseReader::CountFraming(std::size_t aParsed, std::size_t aOfBody)
{
  mFramingBytes += aParsed - aOfBody;
  mBodyBytes += aOfBody;
  return mFramingBytes <= kMaxFramingBytes + kFramingPerBodyByte * mBodyBytes;
}

bool
RelayResponseReader::FinishAtEof()
{
  auto& parser = mParser->mParser;
  if (parser.is_done()) {
    return true;
  }
  if (!parser.is_header_done()) {
    return false;
  }
  beast::error_code error;
  parser.put_eof(error);
  return !error && parser.is_done();
}

void
RelayResponseReader::FillHead()
{
  const auto& parser = mParser->mParser;
  const auto& message = parser.get();
  mHead.mStatus = message.result_int();
  mHead.mReason = std::string(message.reason());
  mHead.mFields = FieldsOf(message);
  mHead.mIsChunked = parser.chunked();
  mHead.mKeepsAlive = parser.keep_alive() && !parser.need_eof();
  mHead.mFraming = FramingOf(parser);
  if (const auto length = parser.content_length()) {
    mHead.mLength = *length;
  }
}

std::string
RelayResponseReader::TakeBody()
{
  const auto body = std::exchange(mParser->mParser.get().body(), {});
  const auto bytes = body.data();
  return { static_cast<const char*>(bytes.data()), bytes.size() };
}

} // namespace shuntjunction::transport
