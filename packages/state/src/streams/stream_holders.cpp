#include "shuntjunction/state/streams/stream_holders.h"

#include <algorithm>

#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/settings.h"

namespace shuntjunction::state {

namespace {

/// Zones that get a copy of each record.
constexpr std::size_t kCopies = 2;

} // namespace

void
StreamHolders::Update(const std::vector<EndpointInfo>& aEndpoints)
{
  mZones.clear();
  for (const auto& endpoint : aEndpoints) {
    const auto address = ParseAddress(endpoint.mAddress);
    if (!endpoint.mModels.empty() && address) {
      mZones[endpoint.mZone].push_back({ address->mHost, endpoint.mIsLeaving });
    }
  }
  for (auto& [zone, holders] : mZones) {
    holders = Ranked(holders, 0);
    holders.resize(std::min(holders.size(), mSettings.mPerZone));
  }
}

std::vector<StreamHolders::Holder>
StreamHolders::Ranked(const std::vector<Holder>& aZone,
                      StreamHash aStream) const
{
  std::vector<std::pair<std::uint64_t, const Holder*>> order;
  order.reserve(aZone.size());
  for (const auto& holder : aZone) {
    order.emplace_back(PlacementHash(holder.mHost, aStream), &holder);
  }
  std::sort(order.begin(), order.end());
  std::vector<Holder> ranked;
  ranked.reserve(order.size());
  for (const auto& [rank, holder] : order) {
    ranked.push_back(*holder);
  }
  return ranked;
}

std::vector<std::string>
StreamHolders::ForWriting(StreamHash aStream, std::string_view aZone) const
{
  std::vector<std::pair<std::uint64_t, std::string>> byZone;
  for (const auto& [zone, holders] : mZones) {
    const auto ranked = Ranked(holders, aStream);
    const auto first =
      std::find_if(ranked.begin(), ranked.end(), [](const auto& aHolder) {
        return !aHolder.mIsDraining;
      });
    if (first != ranked.end()) {
      const auto rank = zone == aZone ? 0 : PlacementHash(zone, aStream);
      byZone.emplace_back(rank, first->mHost);
    }
  }
  std::sort(byZone.begin(), byZone.end());
  std::vector<std::string> hosts;
  for (std::size_t i = 0; i < std::min(byZone.size(), kCopies); ++i) {
    hosts.push_back(std::move(byZone[i].second));
  }
  return hosts;
}

std::vector<std::string>
StreamHolders::ForReading(StreamHash aStream) const
{
  std::vector<std::string> hosts;
  std::vector<std::vector<Holder>> ranked;
  ranked.reserve(mZones.size());
  for (const auto& [zone, holders] : mZones) {
    ranked.push_back(Ranked(holders, aStream));
  }
  for (std::size_t i = 0; i < mSettings.mAskedPerZone; ++i) {
    for (const auto& zone : ranked) {
      if (i < zone.size()) {
        hosts.push_back(zone[i].mHost);
      }
    }
  }
  return hosts;
}

} // namespace shuntjunction::state
