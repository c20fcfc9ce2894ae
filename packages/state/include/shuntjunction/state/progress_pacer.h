#pragma once

#include "shuntjunction/state/clock.h"

/// Pacing of calls that follow each other without a pause of their own.
namespace shuntjunction::state {

/// Bounds how often a peer is called that may hold a call until it has
/// something new, but returns nothing new immediately: without a pause, such
/// calls would follow each other as fast as the peer returns them.
///
/// Thread safety: none.
class ProgressPacer
{
public:
  /// @param aFirstPause    after the second call in a row without progress;
  ///                       doubled with each further one
  /// @param aLongestPause  not less than aFirstPause
  ProgressPacer(Millis aFirstPause, Millis aLongestPause);

  /// Pause before the next call. A single call without progress needs none: a
  /// peer may end a wait early.
  ///
  /// @param aIsNew   whether the call that ended returned something new
  /// @param aTook    duration of that call
  /// @param aMaxWait for which the peer may hold it; 0: not at all
  Millis PauseAfter(bool aIsNew, Millis aTook, Millis aMaxWait);

private:
  Millis mFirstPause;
  Millis mLongestPause;
  Millis mPause{ 0 };
  bool mIsIdle = false; ///< the last call brought no progress
};

} // namespace shuntjunction::state
