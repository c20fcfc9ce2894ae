#include "shuntjunction/state/endpoint_life.h"

namespace shuntjunction::state {

LifeWord
LifeTracker::Take(EndpointLife aTold, TimePoint aNow)
{
  if (!aTold.IsKnown()) {
    return LifeWord::kSame;
  }
  if (!mCurrent.IsKnown() || aTold == mCurrent) {
    Believe(aTold);
    return LifeWord::kSame;
  }
  if (aTold > mCurrent) {
    Believe(aTold);
    return LifeWord::kNewer;
  }
  if (aTold != mEarlier) {
    mEarlier = aTold;
    mEarlierSince = aNow;
  }
  return Settle(aNow) ? LifeWord::kNewer : LifeWord::kFormer;
}

LifeWord
LifeTracker::TakeOwnWord(EndpointLife aTold)
{
  if (!aTold.IsKnown()) {
    return LifeWord::kSame;
  }
  const bool isOther = mCurrent.IsKnown() && aTold != mCurrent;
  Believe(aTold);
  return isOther ? LifeWord::kNewer : LifeWord::kSame;
}

bool
LifeTracker::Settle(TimePoint aNow)
{
  if (!mEarlier.IsKnown() || aNow - mEarlierSince < kFormerLifeGrace) {
    return false;
  }
  Believe(mEarlier);
  return true;
}

void
LifeTracker::Believe(EndpointLife aLife)
{
  mCurrent = aLife;
  mEarlier = {};
}

} // namespace shuntjunction::state
