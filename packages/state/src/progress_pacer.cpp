#include "shuntjunction/state/progress_pacer.h"

#include <algorithm>
#include <utility>

namespace shuntjunction::state {

ProgressPacer::ProgressPacer(Millis aFirstPause, Millis aLongestPause)
  : mFirstPause(aFirstPause)
  , mLongestPause(aLongestPause)
{
}

Millis
ProgressPacer::PauseAfter(bool aIsNew, Millis aTook, Millis aMaxWait)
{
  // Half the wait suffices: it limits the rate, and a peer's clock may run
  // ahead.
  const bool hasWaited = aMaxWait > Millis(0) && aTook >= aMaxWait / 2;
  if (aIsNew || hasWaited) {
    mIsIdle = false;
    mPause = Millis(0);
  } else if (std::exchange(mIsIdle, true)) {
    mPause = std::clamp(mPause * 2, mFirstPause, mLongestPause);
  }
  return mPause;
}

} // namespace shuntjunction::state
