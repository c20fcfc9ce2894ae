#pragma once

#include <cstddef>
#include <optional>

#include "shuntjunction/state/clock.h"

/// Bounds input of which its receiver can't use anything yet.
namespace shuntjunction::state {

/// Limits of UnusableInput.
struct UnusableInputLimits
{
  /// Bytes that may arrive.
  std::size_t mMaxBytes = 1024UL * 1024;
  /// Time after which input that arrives in more than mMaxPieces is refused. A
  /// sound sender writes a head or a chunk's size within milliseconds.
  Millis mMaxTime{ 3000 };
  /// Pieces that may arrive over any time: a sender that pauses in between is
  /// slow, and does not trickle.
  int mMaxPieces = 16;
};

/// Counts the bytes, pieces and time of such input.
///
/// Thread safety: none.
class UnusableInput
{
public:
  explicit UnusableInput(const UnusableInputLimits& aLimits = {})
    : mLimits(aLimits)
  {
  }

  /// Adds a piece; returns whether more may be awaited.
  bool Add(std::size_t aBytes, TimePoint aNow);

  /// Forgets what was added: the receiver has used it.
  void Reset();

private:
  UnusableInputLimits mLimits;
  std::optional<TimePoint> mSince;
  std::size_t mBytes = 0;
  int mPieces = 0;
};

} // namespace shuntjunction::state
