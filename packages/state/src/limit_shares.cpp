#include "shuntjunction/state/limit_shares.h"

#include <algorithm>
#include <iterator>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

namespace {

/// Teams whose keepers are remembered between two lists.
constexpr std::size_t kMaxTeams = 16384;

/// What a share is asked for at most: more than any prompt holds.
constexpr std::uint32_t kMostAmount = 100'000'000;

} // namespace

TeamHash
HashOfTeam(std::string_view aTeam)
{
  return PlacementHash(aTeam);
}

std::size_t
KeeperOfShare(const std::vector<std::string>& aHosts, const ShareKey& aKey)
{
  const auto rankOf = [&](const std::string& aHost) {
    return PlacementHash(aHost, aKey.mTeam + aKey.mShare);
  };
  const auto best = std::max_element(
    aHosts.begin(), aHosts.end(), [&](const auto& aOne, const auto& aTwo) {
      return rankOf(aOne) < rankOf(aTwo);
    });
  return static_cast<std::size_t>(best - aHosts.begin());
}

ShareKeeper::ShareKeeper(const ShareKeeperSettings& aSettings,
                         std::string aOwnHost)
  : mSettings(aSettings)
  , mOwnHost(std::move(aOwnHost))
{
}

bool
ShareKeeper::SetHosts(std::vector<std::string> aHosts, TimePoint aNow)
{
  std::sort(aHosts.begin(), aHosts.end());
  aHosts.erase(std::unique(aHosts.begin(), aHosts.end()), aHosts.end());
  const bool isKnown = !mListings.empty() && mListings.back().mHosts == aHosts;
  if (aHosts.empty() || isKnown) {
    return false;
  }
  const bool isSettling = mIsFirstListing && mListings.size() == 1 &&
                          aNow - mListings.back().mSince < mSettings.mSettling;
  if (isSettling) {
    mListings.back().mHosts = std::move(aHosts);
    mListings.back().mIsOwn.clear();
  } else {
    mListings.push_back({ std::move(aHosts), aNow, {} });
  }
  // A share that comes back later starts anew: another gave of it meanwhile.
  auto& newest = mListings.back();
  std::erase_if(
    mBuckets, [&](const auto& aItem) { return !IsOwnIn(newest, aItem.first); });
  return true;
}

ShareGrant
ShareKeeper::Take(const ShareAsk& aAsk, TimePoint aNow)
{
  const bool isSound = aAsk.mKey.mShare < kSharesOfLimit &&
                       aAsk.mLimit.IsLimited() && aAsk.mAmount <= kMostAmount;
  if (!isSound || !IsMine(aAsk.mKey, aNow)) {
    return { 0, mSettings.mHandover };
  }
  auto& bucket = ShareOf(aAsk, aNow).mBucket;
  ShareGrant grant;
  // Whole units: what is rounded off stays in the bucket.
  const double whole = std::floor(std::max(0.0, bucket.Left(aNow)));
  const double wanted = std::min<double>(aAsk.mAmount, whole);
  grant.mAmount = static_cast<std::uint32_t>(bucket.TakeUpTo(wanted, aNow));
  grant.mRefill = bucket.TimeUntil(aAsk.mAmount - grant.mAmount, aNow);
  return grant;
}

void
ShareKeeper::GiveBack(const ShareKey& aKey, std::uint32_t aAmount)
{
  const auto found = mBuckets.find(aKey);
  if (found != mBuckets.end()) {
    found->second.mBucket.GiveBack(std::min(aAmount, kMostAmount));
  }
}

bool
ShareKeeper::IsMine(const ShareKey& aKey, TimePoint aNow)
{
  if (mListings.empty()) {
    return false;
  }
  while (mListings.size() > 1 &&
         aNow - mListings[1].mSince >= mSettings.mHandover) {
    mListings.pop_front();
    mIsFirstListing = false;
  }
  return std::all_of(
    mListings.begin(), mListings.end(), [&](Listing& aListing) {
      return IsOwnIn(aListing, aKey);
    });
}

bool
ShareKeeper::IsOwnIn(Listing& aListing, const ShareKey& aKey) const
{
  const auto [found, isNew] = aListing.mIsOwn.try_emplace(aKey, false);
  if (isNew && !aListing.mHosts.empty()) {
    const auto keeper = KeeperOfShare(aListing.mHosts, aKey);
    found->second = aListing.mHosts[keeper] == mOwnHost;
  }
  const bool isOwn = found->second;
  if (aListing.mIsOwn.size() > mSettings.mMaxBuckets) {
    aListing.mIsOwn.clear();
  }
  return isOwn;
}

UsageLimit
ShareKeeper::LimitOfShare(const UsageLimit& aWhole) const
{
  constexpr double kShare = 1.0 / static_cast<double>(kSharesOfLimit);
  return { aWhole.mPerSecond * kShare,
           (aWhole.mBurst + mSettings.mBurstTolerance) * kShare };
}

ShareKeeper::Share&
ShareKeeper::ShareOf(const ShareAsk& aAsk, TimePoint aNow)
{
  const auto limit = LimitOfShare(aAsk.mLimit);
  auto found = mBuckets.find(aAsk.mKey);
  if (found == mBuckets.end()) {
    ForgetFull(aNow);
    // What a former life of this process, or another keeper, gave is not known:
    // the bucket was empty when this one could first give.
    const auto& oldest = mListings.front();
    const auto since =
      oldest.mSince + (mIsFirstListing ? Millis(0) : mSettings.mHandover);
    const std::chrono::duration<double> kept = std::max(aNow - since, {});
    found =
      mBuckets
        .emplace(
          aAsk.mKey,
          Share{ UsageBucket(limit, kept.count() * limit.mPerSecond, aNow),
                 aAsk.mVersion })
        .first;
  }
  auto& share = found->second;
  // A relay that is behind does not bring an older limit back.
  if (aAsk.mVersion >= share.mVersion && share.mBucket.Limit() != limit) {
    share.mBucket.SetLimit(limit, aNow);
  }
  share.mVersion = std::max(share.mVersion, aAsk.mVersion);
  return share;
}

void
ShareKeeper::ForgetFull(TimePoint aNow)
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
  mKeepers.clear();
}

std::vector<ShareSource>
ShareDirectory::SourcesOf(TeamHash aTeam, std::string_view aZone)
{
  if (mHosts.empty()) {
    return {};
  }
  if (mKeepers.size() > kMaxTeams) {
    mKeepers.clear();
  }
  const auto [found, isNew] = mKeepers.try_emplace(aTeam);
  if (isNew) {
    for (std::uint8_t share = 0; share < kSharesOfLimit; ++share) {
      found->second[share] = KeeperOfShare(mHosts, { aTeam, share });
    }
  }
  std::vector<ShareSource> sources;
  for (std::size_t i = 0; i < kSharesOfLimit; ++i) {
    const auto share =
      static_cast<std::uint8_t>((mSeed + aTeam + i) % kSharesOfLimit);
    sources.push_back({ { aTeam, share }, mHosts[found->second[share]] });
  }
  std::stable_partition(
    sources.begin(), sources.end(), [&](const ShareSource& aSource) {
      return mZoneByHost.at(aSource.mHost) == aZone;
    });
  return sources;
}

void
ShareDirectory::Close(const ShareKey& aKey, ShareState aWhy, TimePoint aUntil)
{
  if (mClosed.size() > kMaxTeams * kSharesOfLimit) {
    mClosed.clear();
  }
  mClosed[aKey] = { aWhy, aUntil };
}

ShareState
ShareDirectory::StateOf(const ShareKey& aKey, TimePoint aNow) const
{
  const auto found = mClosed.find(aKey);
  const bool isClosed = found != mClosed.end() && aNow < found->second.mUntil;
  return isClosed ? found->second.mWhy : ShareState::kOpen;
}

} // namespace shuntjunction::state
