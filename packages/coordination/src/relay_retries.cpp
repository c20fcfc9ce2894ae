#include "relay_run.h"
#include "shuntjunction/state/retry_pool.h"

// The part of a run that keeps retries within the budget of their service.

namespace shuntjunction::coordination {

using transport::Task;

Task<bool>
RelayRun::ReserveRetry()
{
  const bool isRepeat = !mTriedEndpoints.empty();
  if (!isRepeat || !mReservedRetry.empty() ||
      mCore->BudgetOf(mService).MayRepeat(Now())) {
    co_return true;
  }
  const auto limit =
    state::RetryPoolLimit(mCore->mDependencies.mSettings.mBounds.mRetries);
  if (!limit.IsLimited()) {
    co_return false;
  }
  const UsageRequest request{
    state::HashOfRetryPool(mService), limit, mView->mConfig->Version(), 1
  };
  const std::function<bool()> isWanted = [this] {
    return mInterrupt == RunInterrupt::kNone;
  };
  auto reservation = co_await mCore->mShares.Reserve(request, isWanted);
  mReservedRetry = std::move(reservation.mShares);
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_retry_pool_total",
    { { "outcome",
        !mReservedRetry.empty()
          ? "granted"
          : (reservation.mAnswered > 0 ? "empty" : "silent") } });
  co_return !mReservedRetry.empty();
}

bool
RelayRun::UseRetry()
{
  const bool isPooled = !mReservedRetry.empty();
  if (!isPooled && !mCore->BudgetOf(mService).TryRepeat(Now())) {
    return false;
  }
  mReservedRetry.clear();
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_repeats_total",
    { { "service", mService }, { "grant", isPooled ? "pool" : "ratio" } });
  return true;
}

void
RelayRun::ReleaseRetry()
{
  mCore->mShares.Return(mReservedRetry);
  mReservedRetry.clear();
}

} // namespace shuntjunction::coordination
