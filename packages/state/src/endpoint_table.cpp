#include "shuntjunction/state/endpoint_table.h"

#include <algorithm>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

EndpointTable::EndpointTable(const EndpointTableSettings& aSettings)
  : mSettings(aSettings)
{
}

void
EndpointTable::Update(const ConfigSnapshot& aConfig,
                      const std::vector<InstanceInfo>& aInstances)
{
  for (auto& entry : mEntries) {
    entry.mIsListed = false;
  }
  mByServes.clear();
  for (const auto& instance : aInstances) {
    const auto config = aConfig.mEndpoints.find(instance.mName);
    if (config == aConfig.mEndpoints.end()) {
      continue;
    }
    const auto next = static_cast<std::uint32_t>(mEntries.size());
    const auto [found, isNew] = mByName.try_emplace(instance.mName, next);
    if (isNew) {
      mEntries.push_back({ instance,
                           config->second,
                           PlacementHash(instance.mName),
                           EndpointHealth(mSettings.mHealth) });
    }
    EndpointEntry& entry = mEntries[found->second];
    const bool isReplaced = entry.mInstance.mAddress != instance.mAddress;
    if (isReplaced) {
      entry.mHealth = EndpointHealth(mSettings.mHealth);
      entry.mLoad = {};
      entry.mReportedLeavingAt = {};
    }
    entry.mInstance = instance;
    entry.mConfig = config->second;
    entry.mIsListed = true;
    const auto& serves = entry.mConfig.mModel.empty() ? entry.mConfig.mService
                                                      : entry.mConfig.mModel;
    mByServes[serves].push_back(found->second);
  }
}

std::vector<EndpointHandle>
EndpointTable::Usable(std::string_view aServedName, TimePoint aNow)
{
  std::vector<EndpointHandle> usable;
  std::vector<EndpointHandle> ejected;
  const auto serving = mByServes.find(std::string(aServedName));
  if (serving == mByServes.end()) {
    return usable;
  }
  for (const std::uint32_t index : serving->second) {
    EndpointEntry& entry = mEntries[index];
    if (IsLeaving(entry, aNow)) {
      continue;
    }
    entry.mHealth.Tick(aNow);
    const bool isEjected = entry.mHealth.State() == HealthState::kEjected;
    (isEjected ? ejected : usable).push_back({ index });
  }
  const auto total = static_cast<double>(usable.size() + ejected.size());
  const auto maxEjected = total * mSettings.mMaxEjectedShare;
  if (static_cast<double>(ejected.size()) > maxEjected) {
    usable.insert(usable.end(), ejected.begin(), ejected.end());
  }
  return usable;
}

bool
EndpointTable::IsLeaving(const EndpointEntry& aEntry, TimePoint aNow)
{
  const bool hasReportedLeaving =
    aEntry.mReportedLeavingAt != TimePoint() &&
    aNow < aEntry.mReportedLeavingAt + kReportedLeavingTtl;
  return hasReportedLeaving || aEntry.mInstance.mIsLeaving;
}

bool
EndpointTable::IsUsable(const EndpointEntry& aEntry, TimePoint aNow) const
{
  return aEntry.mIsListed && !IsLeaving(aEntry, aNow) &&
         aEntry.mHealth.State() != HealthState::kEjected;
}

EndpointHandle
EndpointTable::Find(std::string_view aName) const
{
  const auto found = mByName.find(std::string(aName));
  return found == mByName.end() ? EndpointHandle{}
                                : EndpointHandle{ found->second };
}

void
EndpointTable::NoteLoad(EndpointHandle aHandle, const EndpointLoad& aLoad)
{
  EndpointEntry& entry = At(aHandle);
  entry.mLoad = aLoad;
  entry.mSentMicros = 0;
}

void
EndpointTable::NoteLeaving(EndpointHandle aHandle, TimePoint aNow)
{
  At(aHandle).mReportedLeavingAt = aNow;
}

void
EndpointTable::NoteReconnected(EndpointHandle aHandle)
{
  At(aHandle).mReportedLeavingAt = {};
}

} // namespace shuntjunction::state
