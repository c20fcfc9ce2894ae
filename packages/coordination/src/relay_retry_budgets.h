#pragma once

// Private to coordination: the retry budgets of a relay's services.

#include <map>
#include <memory>
#include <string>

#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/state/limit_shares.h"
#include "shuntjunction/state/retry_pool.h"

namespace shuntjunction::coordination {

/// The part of each service's retry budget that is this relay's alone: the
/// ratio of its own requests. The slack is shared by all relays, unless no
/// companion has been listed for a window.
///
/// Thread safety: none; owned by the traffic thread.
class RelayRetryBudgets
{
public:
  /// @param aDependencies  outlives this
  /// @param aOwners        of the slack; outlives this
  RelayRetryBudgets(const RelayDependencies& aDependencies,
                    const state::ShareDirectory& aOwners);

  /// The budget of a service.
  std::shared_ptr<state::WindowBudget> BudgetOf(const std::string& aService);

  /// Records that neither this relay's budget nor the owners of the slack
  /// allowed a repeat. A request that goes on waiting may ask again.
  void NoteDenied(const std::string& aService);

  /// Logs the window of each service that holds repeats, or was denied one
  /// since the last call.
  void LogWindows();

private:
  struct Service
  {
    std::shared_ptr<state::WindowBudget> mBudget;
    std::uint32_t mDenied = 0; ///< since the last log line
  };

  Service& ServiceOf(const std::string& aService);

  const RelayDependencies& mDependencies;
  const state::ShareDirectory& mOwners;
  state::FallbackSlack mFallback;
  std::map<std::string, Service> mServices;
};

} // namespace shuntjunction::coordination
