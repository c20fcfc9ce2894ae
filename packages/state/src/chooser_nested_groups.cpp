#include "chooser_nested_groups.h"

#include <algorithm>
#include <cmath>

namespace shuntjunction::state {

NestedGroupsChooser::NestedGroupsChooser(const ChooserSettings& aSettings,
                                         const EndpointTable& aTable,
                                         const std::size_t& aRouters,
                                         RandomSource& aRandom)
  : mSettings(aSettings)
  , mTable(aTable)
  , mRouters(aRouters)
  , mRandom(aRandom)
  , mDemand(aSettings.mDemand)
{
}

std::size_t
NestedGroupsChooser::Width(std::uint64_t aKey, TimePoint aNow) const
{
  const double all = mDemand.Rate(aKey, aNow) *
                     static_cast<double>(std::max<std::size_t>(mRouters, 1));
  const auto needed =
    static_cast<std::size_t>(std::ceil(all / mSettings.mTargetLoad));
  return std::max(mSettings.mMinWidth, needed);
}

std::vector<RendezvousMember>
NestedGroupsChooser::Members(std::span<const EndpointHandle> aUsable) const
{
  std::vector<RendezvousMember> members;
  members.reserve(aUsable.size());
  for (const EndpointHandle handle : aUsable) {
    const EndpointEntry& entry = mTable.At(handle);
    members.push_back({ handle, entry.mNameHash, entry.mConfig.mWeight });
  }
  return members;
}

std::vector<EndpointHandle>
NestedGroupsChooser::Candidates(const ChoiceQuery& aQuery,
                                std::span<const EndpointHandle> aUsable,
                                std::size_t aLimit,
                                TimePoint aNow)
{
  const std::uint64_t teamKey =
    TeamPlacementKey(aQuery.mTeam, aQuery.mServedName);
  auto group = RendezvousOrder(
    Members(aUsable), teamKey, std::max(Width(teamKey, aNow), aLimit));
  std::size_t width = group.size();
  for (const PrefixLevel& level : aQuery.mLevels) {
    width = std::min(width, Width(level.mHash, aNow));
    group = RendezvousOrder(group, level.mHash, group.size());
    group.resize(std::min(group.size(), std::max(width, aLimit)));
  }
  // Probe a random subset of a group that is larger than the limit.
  if (width > aLimit) {
    group.resize(width);
    std::shuffle(group.begin(), group.end(), mRandom);
  }
  std::vector<EndpointHandle> candidates;
  for (const auto& member : group) {
    if (candidates.size() == aLimit) {
      break;
    }
    candidates.push_back(member.mHandle);
  }
  return candidates;
}

bool
NestedGroupsChooser::ProbesFirst(const ChoiceQuery& aQuery) const
{
  return aQuery.mBlocks >= mSettings.mMinBlocks;
}

void
NestedGroupsChooser::NoteSent(const ChoiceQuery& aQuery,
                              double aEngineSeconds,
                              TimePoint aNow)
{
  mDemand.Add(
    TeamPlacementKey(aQuery.mTeam, aQuery.mServedName), aEngineSeconds, aNow);
  for (const PrefixLevel& level : aQuery.mLevels) {
    mDemand.Add(level.mHash, aEngineSeconds, aNow);
  }
}

} // namespace shuntjunction::state
