#include "shuntjunction/transport/http_client.h"

#include <algorithm>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "response_kind.h"
#include "shuntjunction/state/field_value.h"
#include "shuntjunction/transport/connect.h"
#include "shuntjunction/transport/request_target.h"

namespace shuntjunction::transport {

namespace beast = boost::beast;
namespace http = beast::http;
using state::ErrorCode;
using state::Fail;
using state::Millis;
using state::Result;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kMaxIdleConnections = 16;
constexpr std::size_t kReadBytes = 16UL * 1024;

/// Limit of what is buffered before it is parsed: a head, or a chunk's size
/// with its extensions.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

/// A connection that was idle longer is not reused. After a network partition
/// or a peer's restart it may look intact, and a call on it would take its
/// whole timeout to fail.
constexpr std::chrono::milliseconds kMaxIdleTime{ 1000 };

http::request<http::string_body>
ToBeast(const HttpRequest& aRequest, const std::string& aHost)
{
  http::request<http::string_body> request;
  request.method_string(aRequest.mMethod);
  request.target(aRequest.mTarget);
  request.version(11);
  request.set(http::field::host, aHost);
  for (const auto& field : aRequest.mFields) {
    request.set(field.mName, field.mValue);
  }
  if (!aRequest.mContentType.empty()) {
    request.set(http::field::content_type, aRequest.mContentType);
  }
  request.body() = aRequest.mBody;
  request.prepare_payload();
  return request;
}

/// Checks that the head of a request is read as it is meant: text of other
/// writers in it could end a line and begin a field or a request of its own.
Result<void>
CheckHead(const HttpRequest& aRequest, const std::string& aPeer)
{
  const auto& fields = aRequest.mFields;
  const bool isValid =
    IsSendableTarget(aRequest.mTarget) &&
    state::IsFieldValue(aRequest.mContentType) &&
    std::all_of(fields.begin(), fields.end(), [](const auto& aField) {
      return state::IsFieldValue(aField.mValue);
    });
  if (!isValid) {
    return Fail(ErrorCode::kInvalidArgument,
                "http.send",
                aPeer,
                "the target or a field has characters that it can't carry");
  }
  return {};
}

/// Error of a response after which its connection can't be used.
tl::unexpected<state::Error>
InvalidResponse(std::string_view aStep, std::string_view aPeer)
{
  return Fail(ErrorCode::kTimeout,
              aStep,
              aPeer,
              "invalid status, or too many interim responses");
}

} // namespace

/// One connection to the address.
struct HttpClient::Connection
{
  explicit Connection(tcp::socket aSocket)
    : mStream(std::move(aSocket))
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
  state::TimePoint mIdleSince;
};

/// A response that is read in chunks over its own connection.
class HttpClient::Stream final : public HttpStream
{
public:
  Stream(std::unique_ptr<Connection> aConnection,
         std::string aPeer,
         std::shared_ptr<CancelHandle> aCancel)
    : mConnection(std::move(aConnection))
    , mPeer(std::move(aPeer))
    , mCancel(std::move(aCancel))
    , mChunk(kReadBytes, '\0')
  {
    ResetParser();
    if (mCancel) {
      mCancel->Attach(
        [connection = mConnection.get()] { connection->mStream.close(); });
    }
  }

  ~Stream() override
  {
    if (mCancel) {
      mCancel->Detach();
    }
  }

  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  Task<Result<void>> ReadHeader(Millis aTimeout)
  {
    mConnection->mStream.expires_after(aTimeout);
    for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
      const auto [error, bytes] = co_await http::async_read_header(
        mConnection->mStream, mConnection->mBuffer, *mParser, kAsTuple);
      if (error) {
        co_return Fail(
          ErrorCode::kTimeout, "http.header", mPeer, error.message());
      }
      const auto kind = ResponseKindOf(mParser->get());
      if (kind == ResponseKind::kFinal) {
        co_return Result<void>{};
      }
      if (kind == ResponseKind::kInvalid) {
        break;
      }
      ResetParser();
    }
    co_return InvalidResponse("http.header", mPeer);
  }

  unsigned Status() const override { return mParser->get().result_int(); }

  std::string Field(std::string_view aName) const override
  {
    const auto value = mParser->get()[aName];
    return { value.data(), value.size() };
  }

  bool EndsWithConnection() const override { return mParser->need_eof(); }

  Task<Result<std::string>> Read(Millis aTimeout) override
  {
    // Bytes that add nothing to the body don't extend the time.
    mConnection->mStream.expires_after(aTimeout);
    while (!mParser->is_done()) {
      auto& body = mParser->get().body();
      body.data = mChunk.data();
      body.size = mChunk.size();
      const auto [error, bytes] = co_await http::async_read_some(
        mConnection->mStream, mConnection->mBuffer, *mParser, kAsTuple);
      const std::size_t size = mChunk.size() - body.size;
      if (error && error != http::error::need_buffer) {
        co_return Fail(
          ErrorCode::kUnavailable, "http.body", mPeer, error.message());
      }
      if (size > 0) {
        co_return mChunk.substr(0, size);
      }
    }
    co_return std::string();
  }

private:
  void ResetParser()
  {
    mParser.emplace();
    mParser->body_limit(boost::none);
  }

  std::unique_ptr<Connection> mConnection;
  std::string mPeer;
  std::shared_ptr<CancelHandle> mCancel;
  std::optional<http::response_parser<http::buffer_body>> mParser;
  std::string mChunk;
};

HttpClient::HttpClient(state::Address aAddress, std::size_t aMaxResponseBytes)
  : mAddress(std::move(aAddress))
  , mMaxResponseBytes(aMaxResponseBytes)
{
}

HttpClient::~HttpClient() = default;

Task<Result<std::unique_ptr<HttpClient::Connection>>>
HttpClient::Connect(Millis aTimeout)
{
  const auto endpoint = ToTcpEndpoint(mAddress, "http.connect");
  if (!endpoint) {
    co_return tl::unexpected(endpoint.error());
  }
  auto socket = co_await ConnectSocket(*endpoint, aTimeout);
  if (!socket) {
    co_return Fail(ErrorCode::kUnavailable,
                   "http.connect",
                   mAddress.Text(),
                   socket.error().message());
  }
  co_return std::make_unique<Connection>(std::move(*socket));
}

Task<bool>
HttpClient::IsListening(Millis aTimeout)
{
  const auto connection = co_await Connect(aTimeout);
  co_return connection.has_value();
}

void
HttpClient::AbortPendingCalls()
{
  for (auto* connection : mBusy) {
    connection->mStream.close();
  }
}

Task<Result<HttpResponse>>
HttpClient::Exchange(std::unique_ptr<Connection>& aConnection,
                     const HttpRequest& aRequest,
                     CallTimeouts aTimeouts)
{
  auto request = ToBeast(aRequest, mAddress.Text());
  auto& stream = aConnection->mStream;
  const auto until = std::chrono::steady_clock::now() + aTimeouts.mTotal;
  const auto expireAfter = [&](Millis aTime) {
    stream.expires_at(
      std::min(until, std::chrono::steady_clock::now() + aTime));
  };
  expireAfter(aTimeouts.mResponse);
  const auto [sendError, sent] =
    co_await http::async_write(stream, request, kAsTuple);
  if (sendError) {
    co_return Fail(
      ErrorCode::kTimeout, "http.send", mAddress.Text(), sendError.message());
  }
  std::optional<http::response_parser<http::string_body>> parser;
  int interim = 0;
  // Not eager: a chunk is reported without waiting for the next one.
  while (!parser || !parser->is_done()) {
    if (!parser) {
      parser.emplace();
      parser->body_limit(mMaxResponseBytes);
    }
    const auto [readError, read] = co_await http::async_read_some(
      stream, aConnection->mBuffer, *parser, kAsTuple);
    if (readError) {
      const bool isTooLarge = readError == http::error::body_limit;
      co_return Fail(isTooLarge ? ErrorCode::kTooLarge : ErrorCode::kTimeout,
                     "http.receive",
                     mAddress.Text(),
                     readError.message());
    }
    expireAfter(aTimeouts.mSilence);
    const auto kind = parser->is_header_done() ? ResponseKindOf(parser->get())
                                               : ResponseKind::kFinal;
    if (kind == ResponseKind::kInvalid || interim > kMaxInterimResponses) {
      co_return InvalidResponse("http.receive", mAddress.Text());
    }
    if (kind == ResponseKind::kInterim) {
      ++interim;
      parser.reset();
    }
  }
  // Surplus bytes belong to no call.
  const bool isReusable =
    parser->keep_alive() && aConnection->mBuffer.size() == 0;
  auto message = parser->release();
  HttpResponse response;
  response.mStatus = message.result_int();
  response.mContentType = std::string(message[http::field::content_type]);
  for (const auto& field : message) {
    response.mFields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  response.mBody = std::move(message.body());
  if (isReusable && mIdle.size() < kMaxIdleConnections) {
    aConnection->mIdleSince = state::BootClock::now();
    mIdle.push_back(std::move(aConnection));
  }
  co_return response;
}

Task<Result<HttpResponse>>
HttpClient::Send(HttpRequest aRequest, Millis aTimeout)
{
  return Send(std::move(aRequest),
              CallTimeouts{ aTimeout, aTimeout, aTimeout });
}

Task<Result<HttpResponse>>
HttpClient::Send(HttpRequest aRequest, CallTimeouts aTimeouts)
{
  if (const auto valid = CheckHead(aRequest, mAddress.Text()); !valid) {
    co_return tl::unexpected(valid.error());
  }
  std::unique_ptr<Connection> connection;
  while (!mIdle.empty() && !connection) {
    connection = std::move(mIdle.back());
    mIdle.pop_back();
    // The peer may have closed it while it was idle.
    char probe = 0;
    boost::system::error_code error;
    auto& socket = connection->mStream.socket();
    socket.non_blocking(true, error);
    socket.receive(
      asio::buffer(&probe, 1), asio::socket_base::message_peek, error);
    const auto idle = state::BootClock::now() - connection->mIdleSince;
    if (error != asio::error::would_block || idle > kMaxIdleTime) {
      connection.reset();
    }
  }
  if (!connection) {
    auto fresh = co_await Connect(aTimeouts.mResponse);
    if (!fresh) {
      co_return tl::unexpected(fresh.error());
    }
    connection = std::move(*fresh);
  }
  auto* const busy = connection.get();
  mBusy.insert(busy);
  auto response = co_await Exchange(connection, aRequest, aTimeouts);
  mBusy.erase(busy);
  co_return response;
}

Task<Result<std::unique_ptr<HttpStream>>>
HttpClient::Open(HttpRequest aRequest,
                 Millis aConnectTimeout,
                 Millis aTimeout,
                 std::shared_ptr<CancelHandle> aCancel)
{
  if (const auto valid = CheckHead(aRequest, mAddress.Text()); !valid) {
    co_return tl::unexpected(valid.error());
  }
  auto connection = co_await Connect(aConnectTimeout);
  if (!connection) {
    co_return tl::unexpected(connection.error());
  }
  auto request = ToBeast(aRequest, mAddress.Text());
  auto& stream = (*connection)->mStream;
  stream.expires_after(aTimeout);
  const auto [error, sent] =
    co_await http::async_write(stream, request, kAsTuple);
  if (error) {
    co_return Fail(
      ErrorCode::kTimeout, "http.send", mAddress.Text(), error.message());
  }
  auto response = std::make_unique<Stream>(
    std::move(*connection), mAddress.Text(), std::move(aCancel));
  const auto header = co_await response->ReadHeader(aTimeout);
  if (!header) {
    co_return tl::unexpected(header.error());
  }
  std::unique_ptr<HttpStream> handle = std::move(response);
  co_return handle;
}

} // namespace shuntjunction::transport
