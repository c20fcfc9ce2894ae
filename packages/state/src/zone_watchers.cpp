#include "shuntjunction/state/zone_watchers.h"

#include <algorithm>

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

void
WatcherOrder::Select(std::vector<std::string> aSelected, TimePoint aNow)
{
  if (aSelected == mSelected) {
    return;
  }
  mSelected = std::move(aSelected);
  mSelectedAt = aNow;
}

void
WatcherOrder::NoteFailure(const std::string& aWatcher)
{
  if (mServing == aWatcher) {
    mServing.reset();
  }
}

std::vector<std::string>
WatcherOrder::At(TimePoint aNow) const
{
  auto order = mSelected;
  if (!mServing || order.empty()) {
    return order;
  }
  if (!IsSettled(aNow)) {
    std::erase(order, *mServing);
    order.insert(order.begin(), *mServing);
  } else if (std::find(order.begin(), order.end(), *mServing) == order.end()) {
    order.push_back(*mServing);
  }
  return order;
}

} // namespace shuntjunction::state
