#include "relay_retry_budgets.h"

#include <utility>

#include "relay_core.h"

namespace shuntjunction::coordination {

RelayRetryBudgets::RelayRetryBudgets(const RelayDependencies& aDependencies,
                                     const state::ShareDirectory& aOwners)
  : mDependencies(aDependencies)
  , mOwners(aOwners)
  , mFallback(aDependencies.mSettings.mBounds.mRetries,
              aDependencies.mClock.Now())
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
  // Owners may be lost while no request comes.
  mFallback.Update(mOwners.HasHosts(), mDependencies.mClock.Now());
  for (auto& [name, service] : mServices) {
    const auto counts = service.mBudget->Counts(mDependencies.mClock.Now());
    if (counts.mRepeats == 0 && service.mDenied == 0) {
      continue;
    }
    mDependencies.mLog.Write(
      EventLine(kRelayComponent, "retry-window")
        .Add("service", name)
        .Add("firsts", counts.mFirsts)
        .Add("former_firsts", counts.mFormerFirsts)
        .Add("repeats", counts.mRepeats)
        .Add("allowed", counts.mAllowed)
        .Add("denied", std::exchange(service.mDenied, 0)));
  }
}

RelayRetryBudgets::Service&
RelayRetryBudgets::ServiceOf(const std::string& aService)
{
  const auto now = mDependencies.mClock.Now();
  auto& service = mServices[aService];
  if (!service.mBudget) {
    service.mBudget = std::make_shared<state::WindowBudget>(
      state::RelayRetryBudget(mDependencies.mSettings.mBounds.mRetries), now);
  }
  mFallback.Update(mOwners.HasHosts(), now);
  service.mBudget->SetSlack(mFallback.Slack(now));
  return service;
}

} // namespace shuntjunction::coordination
