#include "shuntjunction/state/endpoint_limits.h"

#include <algorithm>
#include <utility>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

LimitHash
HashOfIncarnation(std::string_view aEndpointId,
                  EndpointIncarnation aIncarnation)
{
  return PlacementHash(aEndpointId,
                       static_cast<std::uint64_t>(aIncarnation.StartedAt()));
}

EndpointLimits::EndpointLimits(const EndpointLimitsSettings& aSettings,
                               ShareOwnership& aOwnership,
                               std::uint32_t aFirstVersion)
  : mSettings(aSettings)
  , mOwnership(aOwnership)
  , mRateVersion(aFirstVersion)
{
}

std::optional<RateNews>
EndpointLimits::Note(const RateReport& aReport, TimePoint aNow)
{
  const auto& endpoint = aReport.mEndpoint;
  if (!IsOwner(endpoint, aNow)) {
    return std::nullopt;
  }
  const auto found = mLimited.find(endpoint.mHash);
  const bool isKnown = found != mLimited.end();
  if (aReport.mRate.mNotice == RateNotice::kAbsent) {
    if (!isKnown || found->second.mRateVersion != aReport.mRateVersion) {
      return std::nullopt;
    }
    mLimited.erase(found);
    return RateNews{ endpoint.mHash, std::nullopt };
  }
  const double advertised = aReport.mRate.mPerSecond;
  auto& limited = Find(endpoint, advertised, aNow);
  limited.mRateVersion = ++mRateVersion;
  if (isKnown && limited.mAdvertised == advertised) {
    return std::nullopt;
  }
  limited.mAdvertised = advertised;
  limited.mBucket.SetLimit(LimitOf(advertised), aNow);
  return RateNews{ endpoint.mHash, advertised };
}

PlaceGrant
EndpointLimits::Take(const PlaceAsk& aAsk, TimePoint aNow)
{
  if (!IsOwner(aAsk.mEndpoint, aNow)) {
    // Another companion owns it, or may have owned it until now.
    return { false, 0, mSettings.mNotOwnerRetryDelay };
  }
  auto& limited = Find(aAsk.mEndpoint, aAsk.mPerSecond, aNow);
  auto& bucket = limited.mBucket;
  const double needed = aAsk.mIsUrgent ? 1.0 : 1.0 + mSettings.mUrgentReserve;
  PlaceGrant grant;
  grant.mRateVersion = limited.mRateVersion;
  grant.mIsGranted = bucket.Left(aNow) >= needed;
  if (grant.mIsGranted) {
    bucket.TakeUpTo(1.0, aNow);
    ++limited.mGiven;
  } else {
    ++limited.mDenied;
    grant.mRefill = bucket.TimeUntil(needed, aNow);
  }
  return grant;
}

void
EndpointLimits::GiveBack(LimitHash aEndpoint)
{
  const auto found = mLimited.find(aEndpoint);
  if (found != mLimited.end()) {
    found->second.mBucket.GiveBack(1.0);
  }
}

void
EndpointLimits::ForgetUnowned()
{
  std::erase_if(mLimited, [&](const auto& aItem) {
    return !aItem.second.mIsOnSameHost &&
           !mOwnership.IsOwnerInNewest({ aItem.first, 0 });
  });
}

std::vector<RateNews>
EndpointLimits::Known() const
{
  std::vector<RateNews> known;
  known.reserve(mLimited.size());
  for (const auto& [endpoint, limited] : mLimited) {
    known.push_back({ endpoint, limited.mAdvertised });
  }
  return known;
}

std::vector<RateUsage>
EndpointLimits::CollectUsage()
{
  std::vector<RateUsage> usage;
  for (auto& [endpoint, limited] : mLimited) {
    const auto given = std::exchange(limited.mGiven, 0);
    const auto denied = std::exchange(limited.mDenied, 0);
    if (given + denied > 0) {
      usage.push_back({ endpoint, limited.mAdvertised, given, denied });
    }
  }
  return usage;
}

bool
EndpointLimits::IsOwner(const LimitedEndpoint& aEndpoint, TimePoint aNow)
{
  return aEndpoint.mIsOnSameHost ||
         mOwnership.IsOwner({ aEndpoint.mHash, 0 }, aNow);
}

UsageLimit
EndpointLimits::LimitOf(double aPerSecond) const
{
  const double rate =
    std::clamp(aPerSecond, mSettings.mMinRate, mSettings.mMaxRate);
  return { rate, rate * mSettings.mBurstSeconds + mSettings.mBurstRequests };
}

EndpointLimits::Limited&
EndpointLimits::Find(const LimitedEndpoint& aEndpoint,
                     double aPerSecond,
                     TimePoint aNow)
{
  EvictIdle(aNow);
  const auto limit = LimitOf(aPerSecond);
  const auto [found, isNew] = mLimited.try_emplace(
    aEndpoint.mHash,
    Limited{
      UsageBucket(limit, 0, aNow), mRateVersion, aPerSecond, false, aNow });
  found->second.mIsOnSameHost = aEndpoint.mIsOnSameHost;
  found->second.mLastUsedAt = aNow;
  return found->second;
}

void
EndpointLimits::EvictIdle(TimePoint aNow)
{
  if (mLimited.size() > mSettings.mMaxEndpoints) {
    mLimited.erase(std::min_element(
      mLimited.begin(), mLimited.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.mLastUsedAt < aTwo.second.mLastUsedAt;
      }));
  }
  std::erase_if(mLimited, [&](const auto& aItem) {
    return aNow - aItem.second.mLastUsedAt >= mSettings.mForgetAfter;
  });
}

} // namespace shuntjunction::state
