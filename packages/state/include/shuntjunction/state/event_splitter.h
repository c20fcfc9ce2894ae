#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

/// Server-sent events in a stream of bytes.
namespace shuntjunction::state {

/// How far a receiver has got in a stream of events.
struct StreamPosition
{
  /// Id that the receiver would resume after; empty: none, or an event reset
  /// it.
  std::string mLastEventId;
  /// Whether nothing follows what the id names, so that a stream that resumes
  /// there neither repeats nor omits an event.
  bool mIsExact = true;

  bool operator==(const StreamPosition&) const = default;
};

/// Splits a stream at the ends of its events, and reads their ids.
///
/// Source: HTML Living Standard, 9.2.6. A line ends with LF, CR LF or CR; an
/// event ends with an empty line. The id of the last event outlasts a
/// connection.
///
/// Thread safety: none.
class EventSplitter
{
public:
  EventSplitter() = default;

  /// @param aStart  position after the events that came on former connections
  explicit EventSplitter(StreamPosition aStart)
    : mPosition(std::move(aStart))
  {
  }

  /// Adds bytes of the stream.
  ///
  /// @return the bytes up to the last end of an event or of a comment between
  ///         events, without those that were returned before
  std::string Put(std::string_view aBytes);

  /// Moves out the bytes that were not returned.
  std::string TakeRest()
  {
    mLineStart = 0;
    return std::exchange(mPending, {});
  }

  /// Whether a line or an event has begun and not ended.
  bool IsInsideEvent() const
  {
    return mHasFields || mLineStart < mPending.size();
  }

  /// Number of bytes that were not returned.
  std::size_t PendingBytes() const { return mPending.size(); }

  /// Whether a whole event had a field that the format defines, which text of
  /// another kind hardly has.
  bool HasEvents() const { return mHasEvents; }

  /// Position after the last whole event.
  const StreamPosition& Position() const { return mPosition; }

private:
  void EndLine(std::string_view aLine);

  std::string mPending;        ///< not returned yet
  std::size_t mLineStart = 0;  ///< of the current line in mPending
  bool mHasFields = false;     ///< the current event has a line
  bool mHasKnownField = false; ///< one of these is defined by the format
  bool mHasData = false;       ///< one of these is data
  bool mHasEvents = false;
  bool mIsAfterCr = false;        ///< the last byte was a CR
  std::optional<std::string> mId; ///< of the current event
  StreamPosition mPosition;
};

/// A text with LF as the only line end, in place of CR LF and CR.
///
/// A text that is cut between CR and LF gets an empty line there.
/// Thread safety: pure.
std::string
UnifyLineEnds(std::string_view aText);

/// Data of an event whose lines end with LF; empty if it has none.
///
/// Thread safety: pure.
std::string
EventData(std::string_view aEvent);

} // namespace shuntjunction::state
