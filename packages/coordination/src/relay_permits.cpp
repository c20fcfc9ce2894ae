#include "relay_run.h"
#include "shuntjunction/state/jittered_pause.h"

// The part of a run that respects the rates, drains and cooldowns that
// endpoints advertise.

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Callers that were refused in an outage come back spread over this time after
/// its end.
constexpr Millis kRetryAfterSpread{ 500 };

} // namespace

Task<bool>
RelayRun::AcquirePermit(const EndpointChoice& aChoice)
{
  if (!aChoice.mEndpoint->mRate) {
    co_return true;
  }
  mPermit =
    co_await mCore->mRates.Request(aChoice.mEndpoint, IsUrgent(Urgency()));
  co_return mPermit.has_value();
}

bool
RelayRun::HasPermitFor(const RelayEndpointPtr& aEndpoint) const
{
  return mPermit && mPermit->mEndpoint == aEndpoint;
}

void
RelayRun::ReturnPermit()
{
  if (mPermit) {
    mCore->mRates.Return(*mPermit);
    mPermit.reset();
  }
}

bool
RelayRun::IsUnavailable(const EndpointQuery& aQuery, state::TimePoint aUntil)
{
  if (AreWeightsOutdated(*mCore, aQuery)) {
    mCore->mDependencies.mMetrics.Count(
      "shuntjunction_relay_outdated_refusals_total",
      { { "service", mService } });
    mLastProblem = "weights-outdated";
    mRetryAfter = state::JitteredPause(kRetryAfterOutage, mCore->mRandom);
    return true;
  }
  const auto outage = OutageOf(*mCore, aQuery);
  if (!outage || (outage->mUntil < aUntil && Now() < aUntil)) {
    return false;
  }
  mCore->mNotices.CountRefused(mService, outage->mObstacle);
  switch (outage->mObstacle) {
    case state::Obstacle::kNoPermit:
      mLastProblem = "endpoints-limited";
      mRetryAfter =
        mCore->mRates.RetryAfter(mService, outage->mPerSecond, mCore->Relays());
      break;
    case state::Obstacle::kCooldown: {
      const auto left = std::chrono::ceil<Millis>(outage->mReopensAt - Now());
      mLastProblem = "endpoints-cooldown";
      mRetryAfter =
        left + state::JitteredPause(kRetryAfterSpread, mCore->mRandom);
      break;
    }
    case state::Obstacle::kDraining:
      mLastProblem = "endpoints-draining";
      mRetryAfter = state::JitteredPause(kRetryAfterOutage, mCore->mRandom);
      break;
    default:
      // Every available endpoint was already sent this request.
      mRetryAfter = kRetrySoon;
      break;
  }
  return true;
}

} // namespace shuntjunction::coordination
