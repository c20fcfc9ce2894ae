#include "shuntjunction/state/streams/listed_versions.h"

#include <algorithm>

namespace shuntjunction::state {

namespace {

/// Longer than any stream may be resumed.
constexpr Millis kForgetAfter{ 3600000 };

} // namespace

void
ListedVersions::Update(const std::vector<EndpointInfo>& aEndpoints,
                       TimePoint aNow)
{
  mFollowedSince = mFollowedSince.value_or(aNow);
  std::map<std::string, std::set<std::string>, std::less<>> listed;
  for (const auto& endpoint : aEndpoints) {
    listed[endpoint.mService].insert(endpoint.mSoftwareVersion);
  }
  for (const auto& [service, versions] : listed) {
    mServices.try_emplace(service);
  }
  for (auto item = mServices.begin(); item != mServices.end();) {
    auto& versions = item->second;
    for (const auto& version : versions.mListed) {
      versions.mRemoved[version] = aNow;
    }
    versions.mListed = std::move(listed[item->first]);
    std::erase_if(versions.mRemoved, [&](const auto& aRemoved) {
      return versions.mListed.contains(aRemoved.first) ||
             aNow - aRemoved.second > kForgetAfter;
    });
    const bool isGone = versions.mListed.empty() && versions.mRemoved.empty();
    item = isGone ? mServices.erase(item) : std::next(item);
  }
}

std::optional<std::string>
ListedVersions::OnlyVersion(std::string_view aService,
                            Millis aTime,
                            TimePoint aNow) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end() || found->second.mListed.size() != 1) {
    return std::nullopt;
  }
  const auto& removed = found->second.mRemoved;
  const bool hadOther =
    std::any_of(removed.begin(), removed.end(), [&](const auto& aRemoved) {
      return aNow - aRemoved.second < aTime;
    });
  return hadOther ? std::nullopt
                  : std::optional(*found->second.mListed.begin());
}

std::set<std::string>
ListedVersions::Recent(std::string_view aService,
                       Millis aTime,
                       TimePoint aNow) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return {};
  }
  auto recent = found->second.mListed;
  for (const auto& [version, removedAt] : found->second.mRemoved) {
    if (aNow - removedAt < aTime) {
      recent.insert(version);
    }
  }
  return recent;
}

} // namespace shuntjunction::state
