#include "shuntjunction/state/unusable_input.h"

namespace shuntjunction::state {

bool
UnusableInput::Add(std::size_t aBytes, TimePoint aNow)
{
  if (!mSince) {
    mSince = aNow;
  }
  mBytes += aBytes;
  ++mPieces;
  const bool isTrickling =
    mPieces > mLimits.mMaxPieces && aNow - *mSince > mLimits.mMaxTime;
  return mBytes <= mLimits.mMaxBytes && !isTrickling;
}

void
UnusableInput::Reset()
{
  mSince.reset();
  mBytes = 0;
  mPieces = 0;
}

} // namespace shuntjunction::state
