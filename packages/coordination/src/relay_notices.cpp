#include "relay_notices.h"

#include "relay_core.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::Obstacle;

RelayNotices::RelayNotices(const RelayDependencies& aDependencies)
  : mDependencies(aDependencies)
{
}

void
RelayNotices::Apply(RelayEndpoint& aEndpoint,
                    const state::EndpointNotice& aNotice,
                    std::string_view aRequestId)
{
  if (aNotice.mRetryAfter.mForm == state::RetryAfterForm::kUnreadable) {
    mDependencies.mMetrics.Count(
      "shuntjunction_relay_unreadable_retry_after_total");
  }
  const auto& clock = mDependencies.mClock;
  const auto change =
    aEndpoint.mAvailability->Take(aNotice, clock.Now(), clock.WallMillis());
  if (!change.mIsDraining && change.mCooldown == Millis(0)) {
    return;
  }
  if (change.mIsDraining) {
    aEndpoint.CloseIdle();
  }
  const std::string_view what = change.mIsDraining ? "draining" : "cooldown";
  mDependencies.mMetrics.Count("shuntjunction_relay_notices_total",
                               { { "service", aEndpoint.mInfo.mService },
                                 { "notice", std::string(what) } });
  mDependencies.mLog.Write(
    EventLine(kRelayComponent, "endpoint-notice", aRequestId)
      .Add("notice", what)
      .Add("endpoint", aEndpoint.mInfo.mId)
      .Add("service", aEndpoint.mInfo.mService)
      .Add("cooldown_ms", change.mCooldown.count())
      .Add("running", aEndpoint.mRunning)
      .Add("listed", aEndpoint.mInfo.mRevision));
}

void
RelayNotices::CountWithheld(const RelayEndpoint& aEndpoint, Obstacle aObstacle)
{
  Count("shuntjunction_relay_sends_withheld_total",
        aEndpoint.mInfo.mService,
        aObstacle);
}

void
RelayNotices::CountRefused(const std::string& aService, Obstacle aObstacle)
{
  Count("shuntjunction_relay_unavailable_refusals_total", aService, aObstacle);
}

void
RelayNotices::Count(const std::string& aMetric,
                    const std::string& aService,
                    Obstacle aObstacle)
{
  mDependencies.mMetrics.Count(
    aMetric,
    { { "service", aService },
      { "obstacle", std::string(state::kObstacleNames.Name(aObstacle)) } });
}

} // namespace shuntjunction::coordination
