#include "shuntjunction/state/streams/version_history.h"

#include <algorithm>

namespace shuntjunction::state {

std::map<std::string, Millis>
StreamLifetimes(const RelayRules& aRules)
{
  std::map<std::string, Millis> lifetimes;
  for (const auto& route : aRules.mRoutes) {
    if (route.mKind != RouteKind::kStream || !route.mIsResumable) {
      continue;
    }
    for (const auto& target : route.mTargets) {
      auto& lifetime = lifetimes[target.mService];
      lifetime = std::max(lifetime, route.mTimeout + kStreamResumeTime);
    }
  }
  return lifetimes;
}

std::optional<std::string>
OnlyVersionOf(const VersionHistory& aHistory)
{
  return aHistory.size() == 1 ? std::optional(aHistory.begin()->first)
                              : std::nullopt;
}

VersionHistory
ListedSince(const std::vector<EndpointInfo>& aEndpoints,
            std::string_view aService)
{
  VersionHistory listed;
  for (const auto& endpoint : aEndpoints) {
    if (endpoint.mService != aService) {
      continue;
    }
    auto& since =
      listed.try_emplace(endpoint.mSoftwareVersion, endpoint.mRevision)
        .first->second;
    since = std::min(since, endpoint.mRevision);
  }
  return listed;
}

std::optional<VersionHistory>
UpdateHistory(const std::optional<VersionHistory>& aStored,
              const VersionSightings& aSightings)
{
  if (!aStored && !aSightings.mIsWhole) {
    return std::nullopt;
  }
  auto history = aStored.value_or(VersionHistory());
  if (!aStored) {
    for (const auto& version : aSightings.mRecent) {
      history[version] = aSightings.mRevision;
    }
  }
  for (const auto& [version, since] : aSightings.mListed) {
    const auto known = history.find(version);
    if (known == history.end() || known->second < since) {
      history[version] = std::max(since, aSightings.mRevision);
    }
  }
  if (aSightings.mIsWhole) {
    std::erase_if(history, [&](const auto& aVersion) {
      return !aSightings.mRecent.contains(aVersion.first) &&
             aVersion.second <= aSightings.mRevision;
    });
  }
  return aStored == history ? std::nullopt : std::optional(history);
}

} // namespace shuntjunction::state
