#include "relay_rates.h"

#include "relay_core.h"
#include "shuntjunction/state/settings.h"

namespace shuntjunction::coordination {

using state::EndpointRate;
using state::Millis;
using state::RateNotice;
using transport::Task;

namespace {

/// How long an endpoint is left out whose keeper gives no answer.
constexpr Millis kSilentPause{ 250 };
/// The least time for which one without a place is left out.
constexpr Millis kLeastPause{ 10 };

} // namespace

RelayRates::RelayRates(const RelayDependencies& aParts,
                       const state::ShareDirectory& aKeepers)
  : mParts(aParts)
  , mKeepers(aKeepers)
{
}

void
RelayRates::Note(RelayEndpoint& aEndpoint,
                 const EndpointRate& aRate,
                 const HeldPermit* aPlace)
{
  if (aRate.mNotice == RateNotice::kUnreadable) {
    mParts.mMetrics.Count("shuntjunction_relay_unreadable_rates_total");
    return;
  }
  const bool isNamed = aRate.mNotice == RateNotice::kNamed;
  if (isNamed) {
    Set(aEndpoint, aRate.mPerSecond);
  }
  // Without a place, the request may be older than the rate: its answer is no
  // sign of the rate's end.
  const bool isEnd = !isNamed && aEndpoint.mRate && aPlace != nullptr;
  if (!isNamed && !isEnd) {
    return;
  }
  const auto keeper = KeeperOf(aEndpoint);
  if (keeper && mParts.mReportRate) {
    const auto edition = aPlace != nullptr ? aPlace->mRateVersion : 0;
    mParts.mReportRate(keeper->mHost, { keeper->mName, aRate, edition });
  }
}

void
RelayRates::ApplyNews(RelayEndpoint& aEndpoint, const state::RateNews& aNews)
{
  Set(aEndpoint, aNews.mPerSecond);
}

void
RelayRates::Set(RelayEndpoint& aEndpoint, std::optional<double> aPerSecond)
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
  rate->mHeardAt = mParts.mClock.Now();
  if (isNew) {
    LogUse(aEndpoint, "named");
  }
}

Task<std::optional<HeldPermit>>
RelayRates::Ask(RelayEndpointPtr aEndpoint, bool aIsUrgent)
{
  const auto keeper = KeeperOf(*aEndpoint);
  aEndpoint->mRate->mHeardAt = mParts.mClock.Now();
  std::optional<state::PlaceGrant> grant;
  if (keeper && mParts.mRequestPermit) {
    grant = co_await mParts.mRequestPermit(
      keeper->mHost,
      { keeper->mName, aEndpoint->mRate->mPerSecond, aIsUrgent });
  }
  const bool isGiven = grant && grant->mIsGiven;
  mParts.mMetrics.Count(
    "shuntjunction_relay_places_total",
    { { "outcome", !grant ? "silent" : (isGiven ? "given" : "none") } });
  if (isGiven) {
    co_return HeldPermit{
      std::move(aEndpoint), keeper->mHost, keeper->mName, grant->mRateVersion
    };
  }
  // It may have ended while its keeper was asked.
  if (aEndpoint->mRate) {
    auto& rate = *aEndpoint->mRate;
    ++rate.mWithoutPermit;
    const auto pause =
      grant ? std::max(grant->mRefill, kLeastPause) : kSilentPause;
    const auto until = mParts.mClock.Now() + pause;
    rate.mPermitAt = std::max(rate.mPermitAt, until);
    if (aIsUrgent) {
      rate.mUrgentPermitAt = std::max(rate.mUrgentPermitAt, until);
    }
  }
  co_return std::nullopt;
}

void
RelayRates::Return(const HeldPermit& aPlace)
{
  if (mParts.mReturnPermit) {
    mParts.mReturnPermit(aPlace.mKeeper, aPlace.mName.mHash);
  }
}

Millis
RelayRates::ReturnAfter(const std::string& aService,
                        double aPerSecond,
                        double aRelays)
{
  mParts.mMetrics.Count("shuntjunction_relay_limited_refusals_total",
                        { { "service", aService } });
  constexpr double kMinRate = 0.1;
  return mReturnSchedules[aService].Next(std::max(aPerSecond, kMinRate),
                                         std::max(aRelays, 1.0),
                                         mParts.mClock.Now());
}

void
RelayRates::LogUse(RelayEndpoint& aEndpoint, std::string_view aWhat)
{
  auto& rate = *aEndpoint.mRate;
  const auto keeper = KeeperOf(aEndpoint);
  mParts.mLog.Write(
    EventLine(kRelayComponent, "endpoint-limit")
      .Add("what", aWhat)
      .Add("endpoint", aEndpoint.mInfo.mId)
      .Add("service", aEndpoint.mInfo.mService)
      .Add("hash", keeper ? keeper->mName.mHash : 0)
      .Add("keeper", keeper ? keeper->mHost : std::string())
      .Add("per_second", rate.mPerSecond)
      .Add("sent", std::exchange(rate.mSent, 0))
      .Add("without_place", std::exchange(rate.mWithoutPermit, 0)));
}

std::optional<RelayRates::Keeper>
RelayRates::KeeperOf(const RelayEndpoint& aEndpoint) const
{
  const auto address = state::ParseAddress(aEndpoint.mInfo.mAddress);
  if (!address) {
    return std::nullopt;
  }
  const auto hash = state::HashOfIncarnation(
    aEndpoint.mInfo.mId, aEndpoint.mEndpointIncarnation.Current());
  const auto keeper = mKeepers.OwnerOfEndpoint(address->mHost, hash);
  if (!keeper) {
    return std::nullopt;
  }
  return Keeper{ keeper->mHost, { hash, keeper->mIsOnSameHost } };
}

} // namespace shuntjunction::coordination
