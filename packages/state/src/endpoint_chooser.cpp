#include "shuntjunction/state/endpoint_chooser.h"

#include <algorithm>

#include "chooser_baselines.h"
#include "chooser_nested_groups.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

void
EndpointChooser::NoteSent(const ChoiceQuery& /*aQuery*/,
                          double /*aEngineSeconds*/,
                          TimePoint /*aNow*/)
{
}

std::int64_t
EstimatedWaitMicros(const EndpointEntry& aEntry, TimePoint aNow)
{
  const auto age = std::chrono::duration_cast<std::chrono::microseconds>(
    aNow - aEntry.mLoad.mAt);
  const std::int64_t left =
    aEntry.mLoad.mWaitMicros + aEntry.mSentMicros - age.count();
  return std::max<std::int64_t>(left, 0);
}

std::uint64_t
TeamPlacementKey(std::string_view aTeam, std::string_view aServedName)
{
  return PlacementHash(aTeam, PlacementHash(aServedName));
}

std::vector<RendezvousMember>
NestedOrder(std::span<const RendezvousMember> aMembers,
            std::uint64_t aTeamKey,
            std::span<const PrefixLevel> aLevels,
            std::size_t aWidth)
{
  auto group = RendezvousOrder(aMembers, aTeamKey, aWidth);
  for (const PrefixLevel& level : aLevels) {
    group = RendezvousOrder(group, level.mHash, group.size());
  }
  return group;
}

std::unique_ptr<EndpointChooser>
MakeChooser(const ChooserSettings& aSettings,
            const EndpointTable& aTable,
            const std::size_t& aRouters,
            RandomSource& aRandom)
{
  switch (aSettings.mPolicy) {
    case ChoicePolicy::kNestedGroups:
      return std::make_unique<NestedGroupsChooser>(
        aSettings, aTable, aRouters, aRandom);
    case ChoicePolicy::kRendezvous:
      return std::make_unique<RendezvousChooser>(aTable);
    case ChoicePolicy::kPowerOfTwo:
      return std::make_unique<LeastLoadChooser>(aTable, aRandom, 2);
    case ChoicePolicy::kLeastLoad:
      return std::make_unique<LeastLoadChooser>(aTable, aRandom, 0);
    case ChoicePolicy::kRandom:
      break;
  }
  return std::make_unique<RandomChooser>(aRandom);
}

} // namespace shuntjunction::state
