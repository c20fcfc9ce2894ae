#include "shuntjunction/state/share_ownership.h"

#include <algorithm>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

std::size_t
OwnerOfShare(const std::vector<std::string>& aHosts, const ShareKey& aKey)
{
  const auto rankOf = [&](const std::string& aHost) {
    return PlacementHash(aHost, aKey.mLimit + aKey.mShare);
  };
  const auto best = std::max_element(
    aHosts.begin(), aHosts.end(), [&](const auto& aOne, const auto& aTwo) {
      return rankOf(aOne) < rankOf(aTwo);
    });
  return static_cast<std::size_t>(best - aHosts.begin());
}

ShareOwnership::ShareOwnership(const ShareOwnershipSettings& aSettings,
                               std::string aOwnHost)
  : mSettings(aSettings)
  , mOwnHost(std::move(aOwnHost))
{
}

bool
ShareOwnership::SetHosts(std::vector<std::string> aHosts, TimePoint aNow)
{
  std::sort(aHosts.begin(), aHosts.end());
  aHosts.erase(std::unique(aHosts.begin(), aHosts.end()), aHosts.end());
  const bool isKnown = !mListings.empty() && mListings.back().mHosts == aHosts;
  if (aHosts.empty() || isKnown) {
    return false;
  }
  const bool isInStartupWindow =
    mIsFirstListing && mListings.size() == 1 &&
    aNow - mListings.back().mSince < mSettings.mStartupWindow;
  if (isInStartupWindow) {
    mListings.back().mHosts = std::move(aHosts);
    mListings.back().mIsOwn.clear();
  } else {
    mListings.push_back({ std::move(aHosts), aNow, {} });
  }
  return true;
}

bool
ShareOwnership::IsOwner(const ShareKey& aKey, TimePoint aNow)
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
ShareOwnership::IsOwnerInNewest(const ShareKey& aKey)
{
  return IsOwnIn(mListings.back(), aKey);
}

TimePoint
ShareOwnership::OwnedSince() const
{
  const auto& oldest = mListings.front();
  return oldest.mSince + (mIsFirstListing ? Millis(0) : mSettings.mHandover);
}

bool
ShareOwnership::IsOwnIn(Listing& aListing, const ShareKey& aKey) const
{
  const auto [found, isNew] = aListing.mIsOwn.try_emplace(aKey, false);
  if (isNew && !aListing.mHosts.empty()) {
    const auto owner = OwnerOfShare(aListing.mHosts, aKey);
    found->second = aListing.mHosts[owner] == mOwnHost;
  }
  const bool isOwn = found->second;
  if (aListing.mIsOwn.size() > mSettings.mMaxShares) {
    aListing.mIsOwn.clear();
  }
  return isOwn;
}

} // namespace shuntjunction::state
