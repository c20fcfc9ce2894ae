#include "relay_retry_budgets.h"

#include <cmath>

#include "relay_core.h"
#include "shuntjunction/state/retry_pool.h"

namespace shuntjunction::coordination {

namespace {

/// Number of relays up to which a fleet without companions, which has no owner
/// of the slack, keeps to it: each has a fixed part.
constexpr double kRelaysWithoutCompanions = 32;

} // namespace

RelayRetryBudgets::RelayRetryBudgets(const RelayDependencies& aDependencies,
                                     const state::ShareDirectory& aOwners)
  : mDependencies(aDependencies)
  , mOwners(aOwners)
{
}

std::shared_ptr<state::WindowBudget>
RelayRetryBudgets::BudgetOf(const std::string& aService)
{
  return ServiceOf(aService).mBudget;
}

void
RelayRetryBudgets::NoteDenied(const std::string& aService)
{
  ++ServiceOf(aService).mDenied;
  mDependencies.mMetrics.Count("shuntjunction_relay_repeats_denied_total",
                               { { "service", aService } });
}

void
RelayRetryBudgets::LogWindows()
{
  for (auto& [name, service] : mServices) {
    const auto counts = service.mBudget->Counts(mDependencies.mClock.Now());
    if (counts.mRepeats == 0 && service.mDenied == 0) {
      continue;
    }
    mDependencies.mLog.Write(
      EventLine(kRelayComponent, "retry-window")
        .Add("service", name)
        .Add("firsts", counts.mFirsts)
        .Add("repeats", counts.mRepeats)
        .Add("allowed", counts.mAllowed)
        .Add("denied", std::exchange(service.mDenied, 0)));
  }
}

RelayRetryBudgets::Service&
RelayRetryBudgets::ServiceOf(const std::string& aService)
{
  const auto& settings = mDependencies.mSettings.mBounds.mRetries;
  auto& service = mServices[aService];
  if (!service.mBudget) {
    service.mBudget = std::make_shared<state::WindowBudget>(
      state::RelayRetryBudget(settings), mDependencies.mClock.Now());
  }
  service.mBudget->SetSlack(
    mOwners.HasHosts()
      ? 0.0
      : std::floor(settings.mSlack / kRelaysWithoutCompanions));
  return service;
}

} // namespace shuntjunction::coordination
