#include "shuntjunction/state/endpoint_incarnation.h"

namespace shuntjunction::state {

IncarnationUpdate
IncarnationTracker::Take(EndpointIncarnation aReported, TimePoint aNow)
{
  if (!aReported.IsKnown()) {
    return IncarnationUpdate::kSame;
  }
  if (!mCurrent.IsKnown() || aReported == mCurrent) {
    Adopt(aReported);
    return IncarnationUpdate::kSame;
  }
  if (aReported > mCurrent) {
    Adopt(aReported);
    return IncarnationUpdate::kNewer;
  }
  if (aReported != mEarlier) {
    mEarlier = aReported;
    mEarlierSince = aNow;
  }
  return PromoteEarlier(aNow) ? IncarnationUpdate::kNewer
                              : IncarnationUpdate::kFormer;
}

IncarnationUpdate
IncarnationTracker::TakeSelfReport(EndpointIncarnation aReported)
{
  if (!aReported.IsKnown()) {
    return IncarnationUpdate::kSame;
  }
  const bool isOther = mCurrent.IsKnown() && aReported != mCurrent;
  Adopt(aReported);
  return isOther ? IncarnationUpdate::kNewer : IncarnationUpdate::kSame;
}

bool
IncarnationTracker::PromoteEarlier(TimePoint aNow)
{
  if (!mEarlier.IsKnown() || aNow - mEarlierSince < kFormerIncarnationGrace) {
    return false;
  }
  Adopt(mEarlier);
  return true;
}

void
IncarnationTracker::Adopt(EndpointIncarnation aIncarnation)
{
  mCurrent = aIncarnation;
  mEarlier = {};
}

} // namespace shuntjunction::state
