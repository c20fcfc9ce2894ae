#pragma once

#include <cstdint>

#include "shuntjunction/state/block_index.h"

/// Lets each token of a stream through once and in order.
namespace shuntjunction::state {

/// One try of a request at one endpoint.
struct AttemptId
{
  std::uint32_t mNumber = 0;
  Incarnation mIncarnation = 0; ///< of the engine that answers; 0 until known

  bool operator==(const AttemptId&) const = default;
};

/// Guards the caller's stream against late, crossed, doubled and lost tokens.
///
/// Thread safety: none; owned by the request.
class StreamGate
{
public:
  /// What to do with a frame of tokens.
  enum class Verdict : std::uint8_t
  {
    kDeliver, ///< pass it on
    kDrop,    ///< of another attempt or seen before: drop and count it
    kGap,     ///< tokens are missing before it: the attempt has failed
  };

  /// Opens the next attempt; frames of all others are dropped from now on.
  std::uint32_t OpenAttempt();

  /// Notes the life of the engine that accepted the open attempt.
  void Bind(Incarnation aIncarnation) { mOpen.mIncarnation = aIncarnation; }

  /// Closes the open attempt; nothing is let through until the next.
  void CloseAttempt() { mIsOpen = false; }

  /// Whether a frame belongs to the open attempt.
  bool Matches(const AttemptId& aAttempt) const
  {
    return mIsOpen && aAttempt == mOpen;
  }

  /// Judges one frame of aCount tokens that begins at aOffset.
  Verdict Offer(const AttemptId& aAttempt,
                std::uint32_t aOffset,
                std::uint32_t aCount);

  /// Whether an end after aTotal tokens completes the stream.
  bool Completes(const AttemptId& aAttempt, std::uint32_t aTotal) const
  {
    return Matches(aAttempt) && aTotal == mDelivered;
  }

  /// Tokens let through so far: where the next attempt resumes.
  std::uint32_t Delivered() const { return mDelivered; }

  /// Number of the open attempt; zero before the first.
  std::uint32_t AttemptNumber() const { return mOpen.mNumber; }

private:
  AttemptId mOpen;
  bool mIsOpen = false;
  std::uint32_t mDelivered = 0;
};

} // namespace shuntjunction::state
