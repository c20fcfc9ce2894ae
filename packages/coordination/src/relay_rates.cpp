#include "relay_rates.h"

#include "relay_core.h"
#include "shuntjunction/state/settings.h"

namespace shuntjunction::coordination {

using state::EndpointRate;
using state::Millis;
using state::RateNotice;
using transport::Task;

namespace {

/// Pause of an endpoint whose rate's owner does not answer.
constexpr Millis kSilentPause{ 250 };
/// Minimum pause of an endpoint without a permit.
constexpr Millis kMinPause{ 10 };

} // namespace

RelayRates::RelayRates(const RelayDependencies& aDependencies,
                       const state::ShareDirectory& aOwners)
  : mDependencies(aDependencies)
  , mOwners(aOwners)
{
}

void
RelayRates::NoteRate(RelayEndpoint& aEndpoint,
                     const EndpointRate& aRate,
                     const HeldPermit* aPermit)
{
  if (aRate.mNotice == RateNotice::kUnreadable) {
    mDependencies.mMetrics.Count("shuntjunction_relay_unreadable_rates_total");
    return;
  }
  const bool isNamed = aRate.mNotice == RateNotice::kAdvertised;
  if (isNamed) {
    SetRate(aEndpoint, aRate.mPerSecond);
  }
  // A request without a permit may have been sent before the rate began: its
  // answer does not show that the rate ended.
  const bool isEnd = !isNamed && aEndpoint.mRate && aPermit != nullptr;
  if (!isNamed && !isEnd) {
    return;
  }
  const auto owner = OwnerOf(aEndpoint);
  if (owner && mDependencies.mReportRate) {
    const auto edition = aPermit != nullptr ? aPermit->mRateVersion : 0;
    mDependencies.mReportRate(owner->mHost, { owner->mName, aRate, edition });
  }
}

void
RelayRates::ApplyNews(RelayEndpoint& aEndpoint, const state::RateNews& aNews)
{
  SetRate(aEndpoint, aNews.mPerSecond);
}

void
RelayRates::SetRate(RelayEndpoint& aEndpoint, std::optional<double> aPerSecond)
{
  auto& rate = aEndpoint.mRate;
  if (!aPerSecond) {
    if (rate) {
      LogUse(aEndpoint, "ended");
      rate.reset();
    }
    return;
  }
  const bool isChanged = rate && rate->mPerSecond != *aPerSecond;
  if (isChanged) {
    LogUse(aEndpoint, "changed");
  }
  const bool isNew = !rate;
  if (isNew) {
    rate.emplace();
  }
  rate->mPerSecond = *aPerSecond;
  rate->mHeardAt = mDependencies.mClock.Now();
  if (isNew) {
    LogUse(aEndpoint, "named");
  }
}

Task<std::optional<HeldPermit>>
RelayRates::Request(RelayEndpointPtr aEndpoint, bool aIsUrgent)
{
  const auto owner = OwnerOf(*aEndpoint);
  aEndpoint->mRate->mHeardAt = mDependencies.mClock.Now();
  std::optional<state::PlaceGrant> grant;
  if (owner && mDependencies.mRequestPermit) {
    grant = co_await mDependencies.mRequestPermit(
      owner->mHost, { owner->mName, aEndpoint->mRate->mPerSecond, aIsUrgent });
  }
  const bool isGiven = grant && grant->mIsGranted;
  mDependencies.mMetrics.Count(
    "shuntjunction_relay_places_total",
    { { "outcome", !grant ? "silent" : (isGiven ? "given" : "none") } });
  if (isGiven) {
    co_return HeldPermit{
      std::move(aEndpoint), owner->mHost, owner->mName, grant->mRateVersion
    };
  }
  // The rate may have ended while its owner was asked.
  if (aEndpoint->mRate) {
    auto& rate = *aEndpoint->mRate;
    ++rate.mWithoutPermit;
    const auto pause =
      grant ? std::max(grant->mRefill, kMinPause) : kSilentPause;
    const auto until = mDependencies.mClock.Now() + pause;
    rate.mPermitAt = std::max(rate.mPermitAt, until);
    if (aIsUrgent) {
      rate.mUrgentPermitAt = std::max(rate.mUrgentPermitAt, until);
    }
  }
  co_return std::nullopt;
}

void
RelayRates::Return(const HeldPermit& aPermit)
{
  if (mDependencies.mReturnPermit) {
    mDependencies.mReturnPermit(aPermit.mOwner, aPermit.mName.mHash);
  }
}

Millis
RelayRates::RetryAfter(const std::string& aService,
                       double aPerSecond,
                       double aRelays)
{
  mDependencies.mMetrics.Count("shuntjunction_relay_limited_refusals_total",
                               { { "service", aService } });
  constexpr double kMinRate = 0.1;
  return mRetrySchedules[aService].Next(std::max(aPerSecond, kMinRate),
                                        std::max(aRelays, 1.0),
                                        mDependencies.mClock.Now());
}

void
RelayRates::LogUse(RelayEndpoint& aEndpoint, std::string_view aWhat)
{
  auto& rate = *aEndpoint.mRate;
  const auto owner = OwnerOf(aEndpoint);
  mDependencies.mLog.Write(
    EventLine(kRelayComponent, "endpoint-limit")
      .Add("what", aWhat)
      .Add("endpoint", aEndpoint.mInfo.mId)
      .Add("service", aEndpoint.mInfo.mService)
      .Add("hash", owner ? owner->mName.mHash : 0)
      .Add("keeper", owner ? owner->mHost : std::string())
      .Add("per_second", rate.mPerSecond)
      .Add("sent", std::exchange(rate.mSent, 0))
      .Add("without_place", std::exchange(rate.mWithoutPermit, 0)));
}

std::optional<RelayRates::Owner>
RelayRates::OwnerOf(const RelayEndpoint& aEndpoint) const
{
  const auto address = state::ParseAddress(aEndpoint.mInfo.mAddress);
  if (!address) {
    return std::nullopt;
  }
  const auto hash = state::HashOfIncarnation(
    aEndpoint.mInfo.mId, aEndpoint.mEndpointIncarnation.Current());
  const auto owner = mOwners.OwnerOfEndpoint(address->mHost, hash);
  if (!owner) {
    return std::nullopt;
  }
  return Owner{ owner->mHost, { hash, owner->mIsOnSameHost } };
}

} // namespace shuntjunction::coordination
