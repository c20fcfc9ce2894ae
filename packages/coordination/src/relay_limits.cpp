#include <algorithm>

#include "relay_run.h"
#include "shuntjunction/state/jittered_pause.h"

// The part of a run that enforces its team's limit.

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Range of the Retry-After of a caller whose team is over its limit.
constexpr Millis kMinRetryAfter{ 300 };
constexpr Millis kMaxRetryAfter{ 2000 };

} // namespace

std::uint32_t
RelayRun::RequestCost() const
{
  if (mTeam->mUnit == state::UsageUnit::kRequests) {
    return 1;
  }
  const auto bounded = [](std::int64_t aTokens) {
    return std::clamp<std::int64_t>(aTokens, 0, state::kMaxUsage);
  };
  const auto named =
    bounded(mCall.mPromptTokens) + bounded(mCall.mMaxNewTokens);
  return static_cast<std::uint32_t>(
    bounded(named > 0 ? named : mTeam->mDefaultUsage));
}

Task<bool>
RelayRun::ReserveUsage()
{
  const bool isLimited = mTeam != nullptr && mTeam->mLimit.IsLimited();
  if (!isLimited || !mReservedUsage.empty()) {
    co_return true;
  }
  const auto amount = RequestCost();
  const auto until = mArrival + std::max(kRetrySoon, mRoute->mObjective / 2);
  UsageReservation reservation;
  while (mInterrupt == RunInterrupt::kNone) {
    reservation = co_await RequestUsage(amount);
    if (reservation.mReserved >= amount) {
      co_return true;
    }
    ReleaseUsage();
    // While no companion is reachable, nothing is known of the limit. After a
    // total outage they come back one after the other, and one is enough.
    if (reservation.mAnswered > 0 || Now() >= until) {
      break;
    }
    co_await transport::Sleep(kPollInterval);
  }
  if (mInterrupt == RunInterrupt::kNone) {
    mIsOverLimit = reservation.mAnswered > 0;
    mLastProblem = mIsOverLimit ? "over-limit" : "limit-unknown";
    mRetryAfter = state::JitteredPause(
      std::clamp(reservation.mRefill, kMinRetryAfter, kMaxRetryAfter),
      mCore->mRandom);
    LogLimit(reservation, amount);
  }
  co_return false;
}

Task<UsageReservation>
RelayRun::RequestUsage(std::uint32_t aAmount)
{
  auto limit = mTeam->mLimit;
  // Half of the overrun that the operator tolerates. The other half covers the
  // time between a grant and the arrival of the request.
  limit.mBurst += mCore->mDependencies.mSettings.mBounds.mUsageTolerance / 2;
  const UsageRequest request{
    state::HashOfTeam(mTeam->mName), limit, mView->mConfig->Version(), aAmount
  };
  const std::function<bool()> isWanted = [this] {
    return mInterrupt == RunInterrupt::kNone;
  };
  auto reservation = co_await mCore->mShares.Reserve(request, isWanted);
  mReservedUsage = std::move(reservation.mShares);
  co_return reservation;
}

void
RelayRun::ReleaseUsage()
{
  mCore->mShares.Return(mReservedUsage);
  mReservedUsage.clear();
}

void
RelayRun::CommitUsage(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::kUnsent:
    case AttemptOutcome::kWithheld:
    case AttemptOutcome::kLeaving:
    case AttemptOutcome::kNoPermit:
    case AttemptOutcome::kCooldown:
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kMisdirected:
      return;
    case AttemptOutcome::kDone:
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kEnded:
    case AttemptOutcome::kWithdrawn:
    case AttemptOutcome::kInterrupted:
      mReservedUsage.clear();
      return;
  }
}

void
RelayRun::LogLimit(const UsageReservation& aReservation, std::uint32_t aAmount)
{
  mCore->mDependencies.mLog.Write(
    EventLine(kRelayComponent, "limit", mCall.mRequestId)
      .Add("outcome", mLastProblem)
      .Add("team", mTeam->mName)
      .Add("unit", state::kUsageUnitNames.Name(mTeam->mUnit))
      .Add("per_second", mTeam->mLimit.mPerSecond)
      .Add("burst", mTeam->mLimit.mBurst)
      .Add("config", mView->mConfig->Version())
      .Add("wanted", aAmount)
      .Add("got", aReservation.mReserved)
      .Add("shares_asked", aReservation.mAnswered)
      .Add("shares_silent", aReservation.mSilent)
      .Add("refill_ms", aReservation.mRefill.count())
      .Add("retry_after_ms", mRetryAfter->count()));
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_limit_refusals_total",
    { { "outcome", mLastProblem } });
}

} // namespace shuntjunction::coordination
