#pragma once

#include <cstdint>

#include "shuntjunction/state/block_index.h"

/// Filter that passes each token of a stream once and in order.
namespace shuntjunction::state {

/// One attempt to run a request on one endpoint.
struct AttemptId
{
  std::uint32_t mNumber = 0;
  Incarnation mIncarnation = 0; ///< of the answering engine; 0 until known

  bool operator==(const AttemptId&) const = default;
};

/// Protects the caller's stream against late, reordered, duplicate and lost
/// tokens.
///
/// Thread safety: none; owned by the request.
class StreamGate
{
public:
  /// What to do with a frame of tokens.
  enum class Verdict : std::uint8_t
  {
    kDeliver, ///< forward it to the caller
    kDrop,    ///< of another attempt or a duplicate: drop and count it
    kGap,     ///< tokens before it are missing: the attempt has failed
  };

  /// Opens the next attempt; frames of all others are dropped from now on.
  ///
  /// @return the attempt's number
  std::uint32_t OpenAttempt();

  /// Sets the incarnation of the engine that accepted the open attempt.
  void Bind(Incarnation aIncarnation) { mOpen.mIncarnation = aIncarnation; }

  /// Closes the open attempt; all frames are dropped until the next is opened.
  void CloseAttempt() { mIsOpen = false; }

  /// Whether a frame belongs to the open attempt.
  bool Matches(const AttemptId& aAttempt) const
  {
    return mIsOpen && aAttempt == mOpen;
  }

  /// Decides about a frame of aCount tokens that starts at token aOffset of the
  /// stream.
  Verdict Offer(const AttemptId& aAttempt,
                std::uint32_t aOffset,
                std::uint32_t aCount);

  /// Whether an attempt that ends after aTotal tokens completes the stream.
  bool Completes(const AttemptId& aAttempt, std::uint32_t aTotal) const
  {
    return Matches(aAttempt) && aTotal == mDelivered;
  }

  /// Number of tokens delivered so far, at which the next attempt resumes.
  std::uint32_t Delivered() const { return mDelivered; }

  /// Number of the open attempt; zero before the first.
  std::uint32_t AttemptNumber() const { return mOpen.mNumber; }

private:
  AttemptId mOpen;
  bool mIsOpen = false;
  std::uint32_t mDelivered = 0;
};

} // namespace shuntjunction::state
