#include "relay_run.h"

// The part of a run that keeps to the rate of its endpoint.

namespace shuntjunction::coordination {

using transport::Task;

Task<bool>
RelayRun::HoldPlace(const RelayPick& aPick)
{
  if (!aPick.mEndpoint->mRate) {
    co_return true;
  }
  mPlace = co_await mCore->mRates.Ask(aPick.mEndpoint, IsUrgent(Urgency()));
  co_return mPlace.has_value();
}

bool
RelayRun::HasPlaceAt(const RelayEndpointPtr& aEndpoint) const
{
  return mPlace && mPlace->mEndpoint == aEndpoint;
}

void
RelayRun::ReturnPlace()
{
  if (mPlace) {
    mCore->mRates.Return(*mPlace);
    mPlace.reset();
  }
}

bool
RelayRun::IsBeyondRates(state::TimePoint aUntil)
{
  const auto limited =
    ServiceBeyondRates(*mCore, mService, IsUrgent(Urgency()));
  if (!limited || (limited->mPlaceAt < aUntil && Now() < aUntil)) {
    return false;
  }
  mLastProblem = "endpoints-limited";
  mRetryAfter = mCore->mRates.ReturnAfter(mService, *limited, mCore->Relays());
  return true;
}

} // namespace shuntjunction::coordination
