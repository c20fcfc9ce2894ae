#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/state/error.h"
#include "shuntjunction/transport/http_types.h"

/// Strict parsing of HTTP/1.1 messages that a relay forwards unchanged.
namespace shuntjunction::transport {

/// A parsed request; what is forwarded of it is kept byte for byte.
struct RelayRequest
{
  std::string mMethod;
  std::string mTarget;
  std::vector<HttpField> mFields; ///< in order, names as sent
  std::string mBody;
  bool mIsChunked = false; ///< the body came with chunked encoding
  bool mHasLength = false; ///< it has a Content-Length
  bool mKeepsAlive = true; ///< another request may follow on the connection
  bool mIsHttp10 = false;  ///< the caller does not support chunked encoding

  /// Value of a field; empty when absent.
  std::string_view Field(std::string_view aName) const;

  /// Target without the query.
  std::string_view Path() const;
};

/// How the end of a response's body is marked (RFC 9112, 6.3).
enum class BodyFraming : std::uint8_t
{
  kNone,       ///< there is no body
  kLength,     ///< by its Content-Length
  kChunked,    ///< by its last chunk
  kConnection, ///< only by the end of the connection
};

/// Names of BodyFraming.
inline constexpr state::EnumNames<BodyFraming, 4> kBodyFramingNames{
  { "none", "length", "chunked", "connection" }
};

/// Status line and header fields of a response.
struct RelayResponse
{
  unsigned mStatus = 0;
  std::string mReason;
  std::vector<HttpField> mFields; ///< without trailers
  std::optional<std::uint64_t>
    mLength; ///< of the body; empty: chunked or until the connection ends
  bool mIsChunked = false;
  bool mKeepsAlive = true;
  BodyFraming mFraming = BodyFraming::kNone;

  /// Value of a field; empty when absent.
  std::string_view Field(std::string_view aName) const;
};

/// Whether a field is meant for a single connection and is never forwarded.
///
/// @param aConnection  value of the message's Connection field, which may list
///                     further hop-by-hop fields
bool
IsHopByHopField(std::string_view aName, std::string_view aConnection);

/// Whether two field names are equal, ignoring case.
bool
IsSameName(std::string_view aLeft, std::string_view aRight);

/// Value of the first field with a name; empty when absent.
std::string_view
FieldValue(const std::vector<HttpField>& aFields, std::string_view aName);

/// State of a reader after some input.
enum class ParseStatus : std::uint8_t
{
  kNeedMore,
  kHead,      ///< the head is complete
  kDone,      ///< the message is complete
  kMalformed, ///< the message is malformed or exceeds a limit
};

/// Parses one request.
///
/// Thread safety: none.
class RelayRequestReader
{
public:
  RelayRequestReader(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes);
  ~RelayRequestReader();
  RelayRequestReader(const RelayRequestReader&) = delete;
  RelayRequestReader& operator=(const RelayRequestReader&) = delete;

  /// Parses bytes and sets aConsumed to the number that were consumed.
  ParseStatus Put(std::string_view aBytes, std::size_t& aConsumed);

  /// Whether the caller waits for 100 Continue before it sends the body.
  bool ExpectsContinue() const;

  /// Size of the body: as announced, or of what has arrived if it was not.
  std::size_t BodyBytes() const;

  /// Status of the response to a kMalformed message.
  unsigned RefusalStatus() const { return mRefusalStatus; }

  /// Describes why a message is kMalformed.
  const std::string& Problem() const { return mProblem; }

  /// Moves the request out. @pre  Put returned kDone
  RelayRequest Take();

private:
  struct Parser;

  ParseStatus Refuse(unsigned aStatus, std::string_view aProblem);
  bool IsFramingAmbiguous();

  std::unique_ptr<Parser> mParser;
  unsigned mRefusalStatus = 400;
  std::string mProblem;
  bool mIsHeadChecked = false;
};

/// Parses one response.
///
/// Thread safety: none.
class RelayResponseReader
{
public:
  /// Longest head, chunk size with its extensions, or trailer. The caller's
  /// buffer holds as much, since Put consumes them only when complete.
  static constexpr std::size_t kMaxElementBytes = 64UL * 1024;

  /// @param aIsHeadRequest  the request was a HEAD, so that no body follows
  explicit RelayResponseReader(bool aIsHeadRequest);
  ~RelayResponseReader();
  RelayResponseReader(const RelayResponseReader&) = delete;
  RelayResponseReader& operator=(const RelayResponseReader&) = delete;

  /// Parses bytes and sets aConsumed to the number that were consumed.
  ///
  /// kHead is returned once; TakeBody then returns the body bytes that arrived
  /// with the head.
  ParseStatus Put(std::string_view aBytes, std::size_t& aConsumed);

  /// Notes that the connection ended in order; whether the response is
  /// complete.
  bool FinishAtEof();

  /// Whether any byte of the response was read.
  bool HasBegun() const { return mHasBegun; }

  /// The head. @pre  Put returned kHead or kDone
  const RelayResponse& Head() const { return mHead; }

  /// Moves out the body bytes parsed since the last call.
  std::string TakeBody();

  /// Describes why a message is kMalformed.
  const std::string& Problem() const { return mProblem; }

private:
  struct Parser;

  ParseStatus Refuse(std::string_view aProblem);
  /// Counts parsed bytes; whether they are in proportion to the body.
  bool CountFraming(std::size_t aParsed, std::size_t aOfBody);
  /// Evaluates the head at the front of some bytes; whether it is valid.
  bool TakeHead(std::string_view aBytes);
  void FillHead();
  void ResetParser();

  std::unique_ptr<Parser> mParser;
  RelayResponse mHead;
  std::string mProblem;
  std::size_t mFramingBytes = 0; ///< heads, chunk sizes and trailers
  std::size_t mBodyBytes = 0;
  int mInterimResponses = 0;
  bool mIsHeadRequest;
  bool mIsHeadReported = false;
  bool mHasBegun = false;
};

} // namespace shuntjunction::transport
