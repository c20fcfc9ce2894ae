#include "shuntjunction/state/limit_shares.h"

#include <algorithm>
#include <iterator>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

namespace {

/// Maximum number of teams whose share owners are cached between two lists.
constexpr std::size_t kMaxTeams = 16384;

} // namespace

TeamHash
HashOfTeam(std::string_view aTeam)
{
  return PlacementHash(aTeam);
}

LimitShares::LimitShares(const LimitSharesSettings& aSettings,
                         std::string aOwnHost)
  : mSettings(aSettings)
  , mOwnership(aSettings.mOwnership, std::move(aOwnHost))
{
}

bool
LimitShares::SetHosts(std::vector<std::string> aHosts, TimePoint aNow)
{
  if (!mOwnership.SetHosts(std::move(aHosts), aNow)) {
    return false;
  }
  // A share that returns later starts with a new bucket, since another
  // companion has granted from it meanwhile.
  std::erase_if(mBuckets, [&](const auto& aItem) {
    return !mOwnership.IsOwnerInNewest(aItem.first);
  });
  return true;
}

ShareGrant
LimitShares::Take(const ShareRequest& aAsk, TimePoint aNow)
{
  const bool isValid = aAsk.mKey.mShare < kSharesPerLimit &&
                       aAsk.mLimit.IsLimited() && aAsk.mAmount <= kMaxUsage;
  if (!isValid || !mOwnership.IsOwner(aAsk.mKey, aNow)) {
    return { 0, mSettings.mOwnership.mHandover };
  }
  auto& bucket = ShareOf(aAsk, aNow).mBucket;
  ShareGrant grant;
  // Grants whole units; the fraction stays in the bucket.
  const double whole = std::floor(std::max(0.0, bucket.Left(aNow)));
  const double wanted = std::min<double>(aAsk.mAmount, whole);
  grant.mAmount = static_cast<std::uint32_t>(bucket.TakeUpTo(wanted, aNow));
  grant.mRefill = bucket.TimeUntil(aAsk.mAmount - grant.mAmount, aNow);
  return grant;
}

void
LimitShares::GiveBack(const ShareKey& aKey, std::uint32_t aAmount)
{
  const auto found = mBuckets.find(aKey);
  if (found != mBuckets.end()) {
    found->second.mBucket.GiveBack(std::min(aAmount, kMaxUsage));
  }
}

UsageLimit
LimitShares::LimitOfShare(const UsageLimit& aWhole) const
{
  constexpr double kShare = 1.0 / static_cast<double>(kSharesPerLimit);
  return { aWhole.mPerSecond * kShare, aWhole.mBurst * kShare };
}

LimitShares::Share&
LimitShares::ShareOf(const ShareRequest& aAsk, TimePoint aNow)
{
  const auto limit = LimitOfShare(aAsk.mLimit);
  auto found = mBuckets.find(aAsk.mKey);
  if (found == mBuckets.end()) {
    EvictFull(aNow);
    // Grants by an earlier process on this host or by another owner are
    // unknown, so the bucket counts as empty at the time when this owner could
    // first grant.
    const std::chrono::duration<double> kept =
      std::max(aNow - mOwnership.OwnedSince(), {});
    found =
      mBuckets
        .emplace(
          aAsk.mKey,
          Share{ UsageBucket(limit, kept.count() * limit.mPerSecond, aNow),
                 aAsk.mVersion })
        .first;
  }
  auto& share = found->second;
  // A relay with an older configuration does not restore an older limit.
  if (aAsk.mVersion >= share.mVersion && share.mBucket.Limit() != limit) {
    share.mBucket.SetLimit(limit, aNow);
  }
  share.mVersion = std::max(share.mVersion, aAsk.mVersion);
  return share;
}

void
LimitShares::EvictFull(TimePoint aNow)
{
  if (mBuckets.size() < mSettings.mMaxBuckets) {
    return;
  }
  for (auto item = mBuckets.begin(); item != mBuckets.end();) {
    auto& bucket = item->second.mBucket;
    const bool isFull = bucket.Left(aNow) >= bucket.Limit().mBurst;
    item = isFull ? mBuckets.erase(item) : std::next(item);
  }
}

void
ShareDirectory::SetHosts(std::map<std::string, std::string> aZoneByHost)
{
  if (aZoneByHost == mZoneByHost) {
    return;
  }
  mZoneByHost = std::move(aZoneByHost);
  mHosts.clear();
  std::transform(mZoneByHost.begin(),
                 mZoneByHost.end(),
                 std::back_inserter(mHosts),
                 [](const auto& aItem) { return aItem.first; });
  mOwners.clear();
}

std::vector<ShareSource>
ShareDirectory::SourcesOf(TeamHash aTeam, std::string_view aZone)
{
  if (mHosts.empty()) {
    return {};
  }
  if (mOwners.size() > kMaxTeams) {
    mOwners.clear();
  }
  const auto [found, isNew] = mOwners.try_emplace(aTeam);
  if (isNew) {
    for (std::uint8_t share = 0; share < kSharesPerLimit; ++share) {
      found->second[share] = OwnerOfShare(mHosts, { aTeam, share });
    }
  }
  std::vector<ShareSource> sources;
  for (std::size_t i = 0; i < kSharesPerLimit; ++i) {
    const auto share =
      static_cast<std::uint8_t>((mSeed + aTeam + i) % kSharesPerLimit);
    sources.push_back({ { aTeam, share }, mHosts[found->second[share]] });
  }
  std::stable_partition(
    sources.begin(), sources.end(), [&](const ShareSource& aSource) {
      return mZoneByHost.at(aSource.mHost) == aZone;
    });
  return sources;
}

std::optional<RateOwner>
ShareDirectory::OwnerOfEndpoint(const std::string& aEndpointHost,
                                LimitHash aEndpoint) const
{
  if (mHosts.empty()) {
    return std::nullopt;
  }
  const auto sameHost = mZoneByHost.find(aEndpointHost);
  if (sameHost != mZoneByHost.end()) {
    return RateOwner{ sameHost->first, true };
  }
  return RateOwner{ mHosts[OwnerOfShare(mHosts, { aEndpoint, 0 })], false };
}

void
ShareDirectory::Exclude(const ShareKey& aKey,
                        ShareState aReason,
                        TimePoint aUntil)
{
  if (mExcluded.size() > kMaxTeams * kSharesPerLimit) {
    mExcluded.clear();
  }
  mExcluded[aKey] = { aReason, aUntil };
}

ShareState
ShareDirectory::StateOf(const ShareKey& aKey, TimePoint aNow) const
{
  const auto found = mExcluded.find(aKey);
  const bool isExcluded =
    found != mExcluded.end() && aNow < found->second.mUntil;
  return isExcluded ? found->second.mReason : ShareState::kOpen;
}

} // namespace shuntjunction::state
