#include "relay_notices.h"

#include "relay_core.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::Obstacle;

RelayNotices::RelayNotices(const RelayParts& aParts, RelayRates& aRates)
  : mParts(aParts)
  , mRates(aRates)
{
}

void
RelayNotices::Take(RelayEndpoint& aEndpoint,
                   const state::EndpointNotice& aNotice,
                   std::string_view aRequestId,
                   const HeldPlace* aPlace)
{
  mRates.Note(aEndpoint, aNotice.mRate, aPlace);
  if (aNotice.mRetryAfter.mForm == state::RetryAfterForm::kUnreadable) {
    mParts.mMetrics.Count("shuntjunction_relay_unreadable_retry_after_total");
  }
  const auto& clock = mParts.mClock;
  const auto change =
    aEndpoint.mAvailability->Take(aNotice, clock.Now(), clock.WallMillis());
  if (!change.mIsDraining && change.mCooldown == Millis(0)) {
    return;
  }
  const std::string_view what = change.mIsDraining ? "draining" : "cooldown";
  mParts.mMetrics.Count("shuntjunction_relay_notices_total",
                        { { "service", aEndpoint.mInfo.mService },
                          { "notice", std::string(what) } });
  mParts.mLog.Write(EventLine(kRelayPart, "endpoint-notice", aRequestId)
                      .Add("notice", what)
                      .Add("endpoint", aEndpoint.mInfo.mId)
                      .Add("service", aEndpoint.mInfo.mService)
                      .Add("cooldown_ms", change.mCooldown.count())
                      .Add("running", aEndpoint.mRunning)
                      .Add("listed", aEndpoint.mInfo.mRevision));
}

void
RelayNotices::CountSend(const RelayEndpoint& aEndpoint)
{
  const auto obstacle =
    aEndpoint.mAvailability->ObstacleAt(mParts.mClock.Now());
  if (obstacle != Obstacle::kNone) {
    mParts.mMetrics.Count(
      "shuntjunction_relay_sends_despite_notice_total",
      { { "service", aEndpoint.mInfo.mService },
        { "obstacle", std::string(state::kObstacleNames.Name(obstacle)) } });
  }
}

} // namespace shuntjunction::coordination
