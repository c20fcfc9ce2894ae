#include "relay_run.h"
#include "shuntjunction/state/jittered_pause.h"

// The part of a run that keeps to what endpoints advertise.

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Callers that an outage turned away come back within this after its end.
constexpr Millis kRetryAfterSpread{ 500 };

} // namespace

Task<bool>
RelayRun::AcquirePermit(const EndpointChoice& aPick)
{
  if (!aPick.mEndpoint->mRate) {
    co_return true;
  }
  mPlace = co_await mCore->mRates.Ask(aPick.mEndpoint, IsUrgent(Urgency()));
  co_return mPlace.has_value();
}

bool
RelayRun::HasPermitFor(const RelayEndpointPtr& aEndpoint) const
{
  return mPlace && mPlace->mEndpoint == aEndpoint;
}

void
RelayRun::ReturnPermit()
{
  if (mPlace) {
    mCore->mRates.Return(*mPlace);
    mPlace.reset();
  }
}

bool
RelayRun::IsUnavailable(const EndpointQuery& aAsk, state::TimePoint aUntil)
{
  const auto outage = OutageOf(*mCore, aAsk);
  if (!outage || (outage->mUntil < aUntil && Now() < aUntil)) {
    return false;
  }
  mCore->mNotices.CountRefused(mService, outage->mObstacle);
  switch (outage->mObstacle) {
    case state::Obstacle::kNoPermit:
      mLastProblem = "endpoints-limited";
      mRetryAfter = mCore->mRates.ReturnAfter(
        mService, outage->mPerSecond, mCore->Relays());
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
      // Each endpoint that is open has had this request.
      mRetryAfter = kRetrySoon;
      break;
  }
  return true;
}

} // namespace shuntjunction::coordination
