#include "shuntjunction/state/endpoint_incarnation.h"

namespace shuntjunction::state {

IncarnationUpdate
IncarnationTracker::Take(EndpointIncarnation aTold, TimePoint aNow)
{
  if (!aTold.IsKnown()) {
    return IncarnationUpdate::kSame;
  }
  if (!mCurrent.IsKnown() || aTold == mCurrent) {
    Believe(aTold);
    return IncarnationUpdate::kSame;
  }
  if (aTold > mCurrent) {
    Believe(aTold);
    return IncarnationUpdate::kNewer;
  }
  if (aTold != mEarlier) {
    mEarlier = aTold;
    mEarlierSince = aNow;
  }
  return PromoteEarlier(aNow) ? IncarnationUpdate::kNewer
                              : IncarnationUpdate::kFormer;
}

IncarnationUpdate
IncarnationTracker::TakeSelfReport(EndpointIncarnation aTold)
{
  if (!aTold.IsKnown()) {
    return IncarnationUpdate::kSame;
  }
  const bool isOther = mCurrent.IsKnown() && aTold != mCurrent;
  Believe(aTold);
  return isOther ? IncarnationUpdate::kNewer : IncarnationUpdate::kSame;
}

bool
IncarnationTracker::PromoteEarlier(TimePoint aNow)
{
  if (!mEarlier.IsKnown() || aNow - mEarlierSince < kFormerIncarnationGrace) {
    return false;
  }
  Believe(mEarlier);
  return true;
}

void
IncarnationTracker::Believe(EndpointIncarnation aLife)
{
  mCurrent = aLife;
  mEarlier = {};
}

} // namespace shuntjunction::state
