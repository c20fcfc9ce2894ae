#include "shuntjunction/state/rollout/rollout_exposure.h"

namespace shuntjunction::state {

namespace {

/// Share of the allowed requests that are exposed. Without a draw the exposed
/// requests would be every n-th, which callers' own patterns may match.
constexpr double kDrawShare = 0.5;

} // namespace

RolloutExposure::RolloutExposure(const RolloutBounds& aBounds, double aCredit)
  : mBounds(aBounds)
  , mCredit(aCredit)
{
}

VersionChoice
RolloutExposure::Choose(const Rollout& aRollout,
                        Millis aConfirmedAge,
                        double aDraw,
                        bool aIsRepeat) const
{
  const double share = aRollout.Share();
  if (!aRollout.IsRunning()) {
    return share > 0.0 ? VersionChoice::kTarget : VersionChoice::kOld;
  }
  if (share <= 0.0 || aConfirmedAge > kLease) {
    return VersionChoice::kOld;
  }
  if (share >= 1.0) {
    return VersionChoice::kTarget;
  }
  if (aIsRepeat) {
    return VersionChoice::kOld;
  }
  if (share > mBounds.mExposureShare) {
    return aDraw < share ? VersionChoice::kTarget : VersionChoice::kOld;
  }
  const double allowed = share * static_cast<double>(mSent + 1) + mCredit;
  const bool isAllowed = static_cast<double>(mExposed + 1) <= allowed;
  return isAllowed && aDraw < kDrawShare ? VersionChoice::kTarget
                                         : VersionChoice::kOld;
}

void
RolloutExposure::NoteSent(bool aIsTarget)
{
  ++mSent;
  mExposed += aIsTarget ? 1 : 0;
}

} // namespace shuntjunction::state
