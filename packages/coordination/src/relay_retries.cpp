#include "relay_attempt.h"
#include "shuntjunction/state/retry_pool.h"

// The part of a run that keeps retries within the budget of their service.

namespace shuntjunction::coordination {

using state::Millis;
using state::RetryGrant;
using transport::Task;

namespace {

/// Age from which on a repeat that the pool granted is requested anew: the rest
/// of the time until it has to arrive is left for opening a connection.
constexpr Millis kMaxGrantAge = state::kLatestPooledArrival / 2;

} // namespace

Task<bool>
RelayRun::ReserveRetry()
{
  const bool isRepeat = !mTriedEndpoints.empty();
  if (!mReservedRetry.empty() && Now() - mRetryReservedAt >= kMaxGrantAge) {
    ReleaseRetry();
  }
  if (!isRepeat || !mReservedRetry.empty() ||
      mCore->mRetryBudgets.BudgetOf(mService)->MayRepeat(Now())) {
    co_return true;
  }
  const auto limit =
    state::RetryPoolLimit(mCore->mDependencies.mSettings.mBounds.mRetries);
  if (!limit.IsLimited()) {
    mCore->mRetryBudgets.NoteDenied(mService);
    co_return false;
  }
  const UsageRequest request{
    state::HashOfRetryPool(mService), limit, mView->mConfig->Version(), 1
  };
  const std::function<bool()> isWanted = [this] {
    return mInterrupt == RunInterrupt::kNone;
  };
  const auto requestedAt = Now();
  auto reservation = co_await mCore->mShares.Reserve(request, isWanted);
  mReservedRetry = std::move(reservation.mShares);
  mRetryReservedAt = requestedAt;
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_retry_pool_total",
    { { "outcome",
        !mReservedRetry.empty()
          ? "granted"
          : (reservation.mAnswered > 0 ? "empty" : "silent") } });
  if (mReservedRetry.empty()) {
    mCore->mRetryBudgets.NoteDenied(mService);
  }
  co_return !mReservedRetry.empty();
}

bool
RelayRun::UseRetry()
{
  const auto budget = mCore->mRetryBudgets.BudgetOf(mService);
  const bool isPooled = !mReservedRetry.empty();
  if (!isPooled && !budget->TryOpen(Now())) {
    mCore->mRetryBudgets.NoteDenied(mService);
    return false;
  }
  mReservedRetry.clear();
  mRetryCharge = std::make_shared<state::RetryCharge>(
    budget,
    isPooled ? RetryGrant::kPool : RetryGrant::kRatio,
    isPooled ? mRetryReservedAt : Now(),
    mCore->mDependencies.mClock);
  for (const auto& endpoint : mUnsettledEndpoints) {
    endpoint->mUnsettledCharges.Add(mRetryCharge, Now());
  }
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_repeats_total",
    { { "service", mService },
      { "grant",
        std::string(state::kRetryGrantNames.Name(mRetryCharge->Grant())) } });
  return true;
}

void
RelayRun::NoteArrival(Attempt& aAttempt)
{
  aAttempt.mHasArrived = true;
  aAttempt.mRetryCharge.reset();
  aAttempt.mEndpointChoice.mEndpoint->mUnsettledCharges.Clear();
}

void
RelayRun::KeepUnsettled(Attempt& aAttempt, AttemptOutcome aOutcome)
{
  const bool mayArrive =
    !aAttempt.mHasArrived && (aOutcome == AttemptOutcome::kSilent ||
                              aOutcome == AttemptOutcome::kWithdrawn ||
                              aOutcome == AttemptOutcome::kInterrupted);
  if (!mayArrive || std::exchange(aAttempt.mIsUnsettled, true)) {
    return;
  }
  const auto& endpoint = aAttempt.mEndpointChoice.mEndpoint;
  mUnsettledEndpoints.push_back(endpoint);
  if (aAttempt.mRetryCharge) {
    endpoint->mUnsettledCharges.Add(std::move(aAttempt.mRetryCharge), Now());
  }
}

void
RelayRun::ReleaseRetry()
{
  mCore->mShares.Return(mReservedRetry);
  mReservedRetry.clear();
}

} // namespace shuntjunction::coordination
