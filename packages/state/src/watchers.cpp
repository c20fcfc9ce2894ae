#include "shuntjunction/state/watchers.h"

#include <algorithm>

#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/rendezvous.h"

namespace shuntjunction::state {

namespace {

constexpr std::string_view kWatchersKey = "watchers";

/// The first companions for a key that are not leaving and pass a filter.
template<typename Filter>
std::vector<InstanceInfo>
SelectCompanions(const std::vector<InstanceInfo>& aInstances,
                 std::uint64_t aKey,
                 std::size_t aCount,
                 Filter aFilter)
{
  std::vector<RendezvousMember> members;
  for (std::uint32_t i = 0; i < aInstances.size(); ++i) {
    const InstanceInfo& instance = aInstances[i];
    if (instance.mRole == kCompanionRole && !instance.mIsLeaving &&
        aFilter(instance)) {
      members.push_back({ { i }, PlacementHash(instance.mName) });
    }
  }
  std::vector<InstanceInfo> companions;
  for (const auto& member : RendezvousOrder(members, aKey, aCount)) {
    companions.push_back(aInstances[member.mHandle.mIndex]);
  }
  return companions;
}

} // namespace

std::vector<InstanceInfo>
SelectWatchers(const std::vector<InstanceInfo>& aInstances,
               std::string_view aZone,
               std::size_t aCount)
{
  return SelectCompanions(
    aInstances,
    PlacementHash(kWatchersKey),
    aCount,
    [&](const InstanceInfo& aInstance) { return aInstance.mZone == aZone; });
}

std::vector<InstanceInfo>
SelectPeers(const std::vector<InstanceInfo>& aInstances,
            std::string_view aName,
            std::size_t aCount)
{
  return SelectCompanions(
    aInstances,
    PlacementHash(aName),
    aCount,
    [&](const InstanceInfo& aInstance) { return aInstance.mName != aName; });
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
  const auto watchers = SelectWatchers(aInstances, aZone, aSettings.mPerZone);
  return watchers.empty() || std::any_of(watchers.begin(),
                                         watchers.end(),
                                         [&](const auto& aInstance) {
                                           return aInstance.mName == aName;
                                         });
}

} // namespace shuntjunction::state
