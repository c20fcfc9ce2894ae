#include "shuntjunction/state/zone_watchers.h"

#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/rendezvous.h"

namespace shuntjunction::state {

namespace {

constexpr std::string_view kWatchersKey = "zone watchers";

} // namespace

std::vector<std::string>
SelectZoneWatchers(const std::vector<EndpointInfo>& aEndpoints,
                   std::string_view aZone,
                   const ZoneWatcherSettings& aSettings)
{
  std::size_t engines = 0;
  std::vector<RendezvousMember> members;
  for (std::uint32_t i = 0; i < aEndpoints.size(); ++i) {
    const auto& endpoint = aEndpoints[i];
    if (endpoint.mModels.empty()) {
      continue;
    }
    ++engines;
    if (endpoint.mZone == aZone && !endpoint.mIsLeaving) {
      members.push_back({ { i }, PlacementHash(endpoint.mAddress) });
    }
  }
  std::vector<std::string> watchers;
  if (engines < aSettings.mAllBelow) {
    return watchers;
  }
  const auto key = PlacementHash(kWatchersKey);
  for (const auto& member : RendezvousOrder(members, key, aSettings.mPerZone)) {
    watchers.push_back(aEndpoints[member.mHandle.mIndex].mAddress);
  }
  return watchers;
}

} // namespace shuntjunction::state
