#pragma once

#include <string_view>

#include "shuntjunction/state/limit_shares.h"
#include "shuntjunction/state/window_budget.h"

/// The slack of a service's retry budget, which all relays share.
///
/// A relay repeats a request within the ratio of its own first requests; beyond
/// it takes one of the pool. Dividing the slack among relays in advance left
/// each of some hundred relays one repeat per window, while the fleet used a
/// sixth of what the operator allows.
namespace shuntjunction::state {

/// Time after its grant by which a repeat of the pool is expected to arrive:
/// longer than a connection may take to open.
inline constexpr Millis kLatestPooledArrival{ 1000 };

/// Identifies the pool of a service among the limits that companions own.
///
/// Thread safety: pure.
LimitHash
HashOfRetryPool(std::string_view aService);

/// The budget of a relay's own first requests, without slack.
///
/// Keeps back a part of the ratio: relays repeat at the peaks of their own
/// requests, which do not coincide, and some requests are counted by them and
/// not by the operator.
/// Thread safety: pure.
WindowBudgetSettings
RelayRetryBudget(const WindowBudgetSettings& aBudget);

/// The rate and burst at which the pool's owners grant repeats.
///
/// Any window of the budget, and the time by which a granted repeat may arrive
/// late, sees at most the slack. A slack below eight grants nothing: each of
/// the pool's shares would hold less than one repeat.
/// Thread safety: pure.
UsageLimit
RetryPoolLimit(const WindowBudgetSettings& aBudget);

/// The part of a slack that each process uses while no owner of it is known.
///
/// Nothing for one window after the start, and after the owners were last
/// known: until then the process that ran here before, or the owners, may have
/// granted the slack in the same window.
///
/// Thread safety: none.
class FallbackSlack
{
public:
  /// Number of processes up to which all of them together keep to the slack.
  static constexpr double kMaxProcesses = 32;

  /// @param aNow  when this process started
  FallbackSlack(const WindowBudgetSettings& aBudget, TimePoint aNow);

  /// Records whether an owner is known.
  void Update(bool aHasOwners, TimePoint aNow);

  /// Repeats that this process may send in any window; whole ones only.
  double Slack(TimePoint aNow) const;

private:
  double mPart;
  Millis mWindow;
  bool mHasOwners = false;
  TimePoint mWithoutOwnersSince;
};

} // namespace shuntjunction::state
