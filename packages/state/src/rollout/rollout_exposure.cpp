#include "shuntjunction/state/rollout/rollout_exposure.h"

namespace shuntjunction::state {

RolloutExposure::RolloutExposure(const RolloutBounds& aBounds)
  : mBounds(aBounds)
{
}

VersionChoice
RolloutExposure::Choose(const Rollout& aRollout,
                        Millis aConfirmedAge,
                        Millis aNoticeAge,
                        double aDraw,
                        bool aIsRepeat) const
{
  const double share = aRollout.Share();
  if (!aRollout.IsRunning()) {
    return share > 0.0 ? VersionChoice::kTarget : VersionChoice::kOld;
  }
  const bool isBeyondBound = share > mBounds.mExposureShare;
  const bool isConfirmed =
    isBeyondBound ? aNoticeAge <= kRampLease : aConfirmedAge <= kLease;
  if (share <= 0.0 || !isConfirmed) {
    return VersionChoice::kOld;
  }
  if (share >= 1.0) {
    return VersionChoice::kTarget;
  }
  if (aIsRepeat) {
    return VersionChoice::kOld;
  }
  return aDraw < share ? VersionChoice::kTarget : VersionChoice::kOld;
}

void
RolloutExposure::NoteSent(bool aIsTarget)
{
  ++mSent;
  mExposed += aIsTarget ? 1 : 0;
}

} // namespace shuntjunction::state
