#include "shuntjunction/state/rollout/rollout_decision.h"

#include <algorithm>

namespace shuntjunction::state {

namespace {

/// Age of a relay's report after which the relay no longer delays completion:
/// several reports were lost, or it has stopped.
constexpr Millis kReportAge{ 1500 };

/// Step of an order that has exposed nothing yet.
constexpr std::uint32_t kFirstStep = 1;

double
Seconds(Millis aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

/// Input of one decision.
struct RolloutDecider::Situation
{
  const Rollout& mRollout;
  const RolloutEvidence& mEvidence;
  const RolloutEndpoints& mEndpoints;
  RolloutFinding mFinding;
  Millis mElapsed{ 0 }; ///< since the order
  Millis mAtStep{ 0 };  ///< since the current step became known
  TimePoint mNow;

  Millis Left() const { return mRollout.mOrder.mWithin - mElapsed; }

  RolloutStatus Next(RolloutState aState,
                     double aShare,
                     std::string aReason) const
  {
    auto status = *mRollout.mStatus;
    status.mState = aState;
    status.mShare = aShare;
    status.mReason = std::move(aReason);
    ++status.mStep;
    return status;
  }
};

RolloutDecider::RolloutDecider(const RolloutBounds& aBounds,
                               const RolloutSchedule& aSchedule,
                               const RolloutComparison& aComparison)
  : mBounds(aBounds)
  , mSchedule(aSchedule)
  , mComparison(aComparison)
{
}

RolloutDecision
RolloutDecider::Decide(const Rollout& aRollout,
                       const RolloutEvidence& aEvidence,
                       const RolloutEndpoints& aEndpoints,
                       TimePoint aNow,
                       std::int64_t aUnixMillis) const
{
  if (!aRollout.IsRunning()) {
    return {};
  }
  const auto known =
    std::chrono::duration_cast<Millis>(aNow - aRollout.mLearnedAt);
  if (!aRollout.mStatus) {
    RolloutStatus status;
    status.mOrderId = aRollout.mOrder.mId;
    status.mTargetVersion = aRollout.mOrder.mTargetVersion;
    status.mStep = kFirstStep;
    status.mStartedAtMillis = aUnixMillis - known.count();
    status.mReason = "ordered";
    return { status, false };
  }
  // A process that started after the order knows its age only by the clock.
  const Millis age(aUnixMillis - aRollout.mStatus->mStartedAtMillis);
  const Situation situation{ aRollout,
                             aEvidence,
                             aEndpoints,
                             mComparison.Compare(aEvidence.Outcomes()),
                             std::max(known, age),
                             std::chrono::duration_cast<Millis>(
                               aNow - aRollout.mStepLearnedAt),
                             aNow };
  if (situation.mFinding.mVerdict == RolloutVerdict::kBad) {
    return { situation.Next(
               RolloutState::kRolledBack, 0, situation.mFinding.mReason),
             true };
  }
  if (situation.Left() <= mSchedule.mFinalMargin) {
    return Finish(situation);
  }
  if (MustPause(situation)) {
    return { situation.Next(RolloutState::kRunning,
                            0,
                            "paused; " + situation.mFinding.mReason),
             true };
  }
  return Advance(situation);
}

bool
RolloutDecider::MustPause(const Situation& aSituation) const
{
  const double share = aSituation.mRollout.mStatus->mShare;
  const auto since = aSituation.mEvidence.CountedSince();
  if (share <= 0 || share > mBounds.mExposureShare || !since ||
      !aSituation.mFinding.mIsSuspect) {
    return false;
  }
  return aSituation.mNow - *since >=
         mBounds.mRollbackDeadline - mSchedule.mPauseMargin;
}

RolloutDecision
RolloutDecider::Advance(const Situation& aSituation) const
{
  const auto& status = *aSituation.mRollout.mStatus;
  if (status.mShare >= 1.0) {
    const bool isLeft = aSituation.mEvidence.HasLeftOldVersions(
      status.mStep, aSituation.mNow, kReportAge);
    if (!isLeft || aSituation.mAtStep < kReportAge ||
        aSituation.mFinding.mVerdict != RolloutVerdict::kGood) {
      return {};
    }
    return { aSituation.Next(
               RolloutState::kCompleted, 1.0, aSituation.mFinding.mReason),
             false };
  }
  const auto share = NextShare(aSituation);
  if (!share) {
    return {};
  }
  return { aSituation.Next(
             RolloutState::kRunning, *share, aSituation.mFinding.mReason),
           false };
}

std::optional<double>
RolloutDecider::NextShare(const Situation& aSituation) const
{
  const double current = aSituation.mRollout.mStatus->mShare;
  const auto& endpoints = aSituation.mEndpoints;
  double next = CanaryShare(aSituation);
  const bool isPaused =
    current <= 0 && aSituation.mRollout.mStatus->mStep > kFirstStep;
  if (isPaused && aSituation.mFinding.mIsSuspect) {
    return std::nullopt;
  }
  if (current > 0) {
    const auto within = Seconds(aSituation.mRollout.mOrder.mWithin);
    const bool isCanaryOver =
      Seconds(aSituation.mElapsed) >= mSchedule.mCanaryEnd * within;
    if (!isCanaryOver || aSituation.mAtStep < mSchedule.mStepTime ||
        aSituation.mFinding.mVerdict != RolloutVerdict::kGood) {
      return std::nullopt;
    }
    const auto higher =
      std::find_if(mSchedule.mShares.begin(),
                   mSchedule.mShares.end(),
                   [&](double aShare) { return aShare > current; });
    next = higher == mSchedule.mShares.end() ? 1.0 : *higher;
  }
  const double needed =
    next * mSchedule.mMinSlots * static_cast<double>(endpoints.mOtherSlots);
  if (endpoints.mTarget == 0 ||
      static_cast<double>(endpoints.mTargetSlots) < needed) {
    return std::nullopt;
  }
  return next;
}

double
RolloutDecider::CanaryShare(const Situation& aSituation) const
{
  double later = Seconds(mSchedule.mReactionTime);
  for (const auto share : mSchedule.mShares) {
    later += share < 1.0 ? share * Seconds(mSchedule.mStepTime) : 0.0;
  }
  const double within = Seconds(aSituation.mRollout.mOrder.mWithin);
  const auto sent = static_cast<double>(aSituation.mEvidence.Sent());
  const double slack = sent > 0
                         ? mSchedule.mSlackPart * mBounds.mExposureSlack *
                             Seconds(aSituation.mElapsed) / sent
                         : 0.0;
  const double left = mBounds.mExposureShare * within + slack - later;
  const double share = left / (mSchedule.mCanaryEnd * within);
  return std::clamp(share,
                    mBounds.mExposureShare * mSchedule.mMinCanaryPart,
                    mBounds.mExposureShare * mSchedule.mMaxCanaryPart);
}

RolloutDecision
RolloutDecider::Finish(const Situation& aSituation) const
{
  const auto& status = *aSituation.mRollout.mStatus;
  const bool isGood = aSituation.mFinding.mVerdict == RolloutVerdict::kGood;
  if (status.mShare >= 1.0 && isGood) {
    return { aSituation.Next(RolloutState::kCompleted,
                             1.0,
                             "deadline; " + aSituation.mFinding.mReason),
             false };
  }
  return { aSituation.Next(RolloutState::kRolledBack,
                           0,
                           "deadline; " + aSituation.mFinding.mReason),
           true };
}

} // namespace shuntjunction::state
