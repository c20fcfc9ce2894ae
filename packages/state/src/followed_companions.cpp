#include "shuntjunction/state/followed_companions.h"

#include <algorithm>
#include <iterator>

namespace shuntjunction::state {

std::vector<std::string>
FollowedCompanions::SetListed(std::set<std::string> aListed,
                              const std::vector<std::string>& aPinned)
{
  const auto before = Followed();
  mListed = std::move(aListed);
  mPinned.clear();
  for (const auto& host : aPinned) {
    if (IsListed(host)) {
      mPinned.insert(host);
    }
  }
  std::erase_if(mRecent, [&](const auto& aHost) {
    return !IsListed(aHost) || mPinned.contains(aHost);
  });
  while (!mRecent.empty() && HasTooMany()) {
    mRecent.pop_back();
  }
  const auto now = Followed();
  std::vector<std::string> dropped;
  std::set_difference(before.begin(),
                      before.end(),
                      now.begin(),
                      now.end(),
                      std::back_inserter(dropped));
  return dropped;
}

std::optional<std::string>
FollowedCompanions::Use(const std::string& aHost)
{
  if (!IsListed(aHost) || mPinned.contains(aHost)) {
    return std::nullopt;
  }
  // Also while all are followed: the list may outgrow the limit.
  mRecent.remove(aHost);
  mRecent.push_front(aHost);
  if (!HasTooMany()) {
    return std::nullopt;
  }
  auto dropped = std::move(mRecent.back());
  mRecent.pop_back();
  return FollowsAll() ? std::nullopt : std::optional(std::move(dropped));
}

std::set<std::string>
FollowedCompanions::Followed() const
{
  if (FollowsAll()) {
    return mListed;
  }
  auto followed = mPinned;
  followed.insert(mRecent.begin(), mRecent.end());
  return followed;
}

} // namespace shuntjunction::state
