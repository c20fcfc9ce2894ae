#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/error.h"
#include "shuntjunction/transport/http_types.h"

/// HTTP/1.1 messages as a relay reads them: strictly, and unchanged.
namespace shuntjunction::transport {

/// A request as it was sent, byte for byte where it is passed on.
struct RelayRequest
{
  std::string mMethod;
  std::string mTarget;
  std::vector<HttpField> mFields; ///< in order, names as sent
  std::string mBody;
  bool mIsChunked = false; ///< how the body came
  bool mHasLength = false; ///< a Content-Length was given
  bool mKeepsAlive = true; ///< the caller may send another on the connection
  bool mIsHttp10 = false;  ///< knows no chunks

  /// Value of a field; empty when absent.
  std::string_view Field(std::string_view aName) const;

  /// Target up to the query.
  std::string_view Path() const;
};

/// The head of an answer.
struct RelayResponse
{
  unsigned mStatus = 0;
  std::string mReason;
  std::vector<HttpField> mFields;
  std::optional<std::uint64_t>
    mLength; ///< of the body; empty: in chunks, or until the end
  bool mIsChunked = false;
  bool mKeepsAlive = true;

  /// Value of a field; empty when absent.
  std::string_view Field(std::string_view aName) const;
};

/// Whether a field concerns one connection only and is never passed on.
///
/// @param aConnection  value of the message's Connection field
bool
IsHopByHopField(std::string_view aName, std::string_view aConnection);

/// Whether two field names are the same.
bool
IsSameName(std::string_view aLeft, std::string_view aRight);

/// Value of the first field of a name; empty when absent.
std::string_view
FieldValue(const std::vector<HttpField>& aFields, std::string_view aName);

/// What a reader made of the bytes that it was given.
enum class ParseStatus : std::uint8_t
{
  kNeedMore,
  kHead,      ///< the head is complete
  kDone,      ///< the message is complete
  kMalformed, ///< the message is malformed or breaks a limit
};

/// Reads one request.
///
/// Thread safety: none.
class RelayRequestReader
{
public:
  RelayRequestReader(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes);
  ~RelayRequestReader();
  RelayRequestReader(const RelayRequestReader&) = delete;
  RelayRequestReader& operator=(const RelayRequestReader&) = delete;

  /// Reads bytes; says in aConsumed how many of them it took.
  ParseStatus Put(std::string_view aBytes, std::size_t& aConsumed);

  /// Whether the caller waits for a word before it sends the body.
  bool ExpectsContinue() const;

  /// Status that answers a kMalformed message.
  unsigned RefusalStatus() const { return mRefusalStatus; }

  /// Why a message is kMalformed.
  const std::string& Problem() const { return mProblem; }

  /// The request. @pre  Put gave kDone
  RelayRequest Take();

private:
  struct Parser;

  ParseStatus Refuse(unsigned aStatus, std::string_view aProblem);
  bool IsFramingDoubtful();

  std::unique_ptr<Parser> mParser;
  unsigned mRefusalStatus = 400;
  std::string mProblem;
  bool mIsHeadChecked = false;
};

/// Reads one answer.
///
/// Thread safety: none.
class RelayResponseReader
{
public:
  /// @param aIsHead  the request was a HEAD, so that no body follows
  explicit RelayResponseReader(bool aIsHead);
  ~RelayResponseReader();
  RelayResponseReader(const RelayResponseReader&) = delete;
  RelayResponseReader& operator=(const RelayResponseReader&) = delete;

  /// Reads bytes; says in aConsumed how many of them it took.
  ///
  /// kHead comes once; body bytes that came with it are in TakeBody already.
  ParseStatus Put(std::string_view aBytes, std::size_t& aConsumed);

  /// Says that the connection ended in order; whether the answer is whole.
  bool FinishAtEof();

  /// Whether any byte of the answer was read.
  bool HasBegun() const { return mHasBegun; }

  /// The head. @pre  Put gave kHead or kDone
  const RelayResponse& Head() const { return mHead; }

  /// Body bytes read since the last call.
  std::string TakeBody();

private:
  struct Parser;

  void FillHead();
  void Restart();

  std::unique_ptr<Parser> mParser;
  RelayResponse mHead;
  bool mIsHeadRequest;
  bool mIsHeadGiven = false;
  bool mHasBegun = false;
};

} // namespace shuntjunction::transport
