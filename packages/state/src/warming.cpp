#include "shuntjunction/state/warming.h"

#include <algorithm>

#include "shuntjunction/state/endpoint_chooser.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

namespace {

constexpr std::int64_t kMinuteMillis = 60000;
constexpr std::int64_t kDayMillis = 24L * 60 * kMinuteMillis;

/// Endpoints of a model that are listed, configured and not leaving.
std::vector<RendezvousMember>
LiveMembers(const ConfigSnapshot& aConfig,
            const std::vector<InstanceInfo>& aInstances,
            const std::string& aModel)
{
  std::vector<RendezvousMember> members;
  for (std::uint32_t i = 0; i < aInstances.size(); ++i) {
    const auto config = aConfig.mEndpoints.find(aInstances[i].mName);
    if (config == aConfig.mEndpoints.end() || aInstances[i].mIsLeaving ||
        config->second.mModel != aModel) {
      continue;
    }
    members.push_back(
      { { i }, PlacementHash(aInstances[i].mName), config->second.mWeight });
  }
  return members;
}

bool
IsAmongFirst(const std::vector<RendezvousMember>& aOrder,
             const std::vector<InstanceInfo>& aInstances,
             std::string_view aEndpoint,
             std::size_t aCount)
{
  for (std::size_t i = 0; i < std::min(aCount, aOrder.size()); ++i) {
    if (aInstances[aOrder[i].mHandle.mIndex].mName == aEndpoint) {
      return true;
    }
  }
  return false;
}

} // namespace

std::vector<std::string>
WarmTask::Levels() const
{
  std::vector<std::string> levels;
  levels.reserve(mSharedText.size());
  for (const auto& text : mSharedText) {
    levels.push_back("system\n" + text + "\n");
  }
  return levels;
}

Millis
UntilStart(std::string_view aStart, std::int64_t aWallMillis)
{
  const auto digit = [&](std::size_t aAt) {
    return static_cast<std::int64_t>(aStart[aAt] - '0');
  };
  const std::int64_t hours = 10 * digit(0) + digit(1);
  const std::int64_t minutes = 10 * digit(3) + digit(4);
  const std::int64_t start = (hours * 60 + minutes) * kMinuteMillis;
  return Millis((start - aWallMillis % kDayMillis + kDayMillis) % kDayMillis);
}

std::vector<WarmTask>
DueWarmTasks(const ConfigSnapshot& aConfig,
             const std::vector<InstanceInfo>& aInstances,
             std::string_view aEndpoint,
             std::int64_t aWallMillis)
{
  std::vector<WarmTask> dueTasks;
  for (const auto& parameters : aConfig.mParameters) {
    Millis until = kWarmLead + Millis(1);
    for (const auto& start : parameters.mStartTimes) {
      until = std::min(until, UntilStart(start, aWallMillis));
    }
    const auto model = aConfig.mModels.find(parameters.mModel);
    if (until > kWarmLead || parameters.mSharedText.empty() ||
        model == aConfig.mModels.end()) {
      continue;
    }
    WarmTask task{
      parameters.mTeam, parameters.mModel, parameters.mSharedText, until
    };
    const auto chain = BuildPrefixChain(
      { task.mTeam, task.mModel, model->second.mWeights }, task.Levels());
    const auto count = static_cast<std::size_t>(parameters.mWarmEndpoints);
    const auto order =
      NestedOrder(LiveMembers(aConfig, aInstances, task.mModel),
                  TeamPlacementKey(task.mTeam, task.mModel),
                  chain.mLevels,
                  std::max(count, kMinGroupWidth));
    if (IsAmongFirst(order, aInstances, aEndpoint, count)) {
      dueTasks.push_back(std::move(task));
    }
  }
  return dueTasks;
}

} // namespace shuntjunction::state
