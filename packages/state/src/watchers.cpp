#include "shuntjunction/state/watchers.h"

#include <algorithm>

#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/rendezvous.h"

namespace shuntjunction::state {

namespace {

constexpr std::string_view kCompanionRole = "companion";
constexpr std::string_view kWatchersKey = "watchers";

} // namespace

std::vector<InstanceInfo>
WatchersOf(const std::vector<InstanceInfo>& aInstances,
           std::string_view aZone,
           std::size_t aCount)
{
  std::vector<RendezvousMember> members;
  for (std::uint32_t i = 0; i < aInstances.size(); ++i) {
    const InstanceInfo& instance = aInstances[i];
    if (instance.mRole == kCompanionRole && instance.mZone == aZone &&
        !instance.mIsLeaving) {
      members.push_back({ { i }, PlacementHash(instance.mName) });
    }
  }
  const std::uint64_t key = PlacementHash(kWatchersKey);
  std::vector<InstanceInfo> watchers;
  for (const auto& member : RendezvousOrder(members, key, aCount)) {
    watchers.push_back(aInstances[member.mHandle.mIndex]);
  }
  return watchers;
}

bool
IsWatcher(const std::vector<InstanceInfo>& aInstances,
          std::string_view aName,
          std::string_view aZone,
          const WatcherSettings& aSettings)
{
  if (aInstances.size() < aSettings.mAllBelow) {
    return true;
  }
  const auto watchers = WatchersOf(aInstances, aZone, aSettings.mPerZone);
  return watchers.empty() ||
         std::any_of(watchers.begin(), watchers.end(), [&](const auto& aOne) {
           return aOne.mName == aName;
         });
}

} // namespace shuntjunction::state
