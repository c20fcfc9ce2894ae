#include "shuntjunction/state/load_schedule.h"

#include <algorithm>
#include <cmath>
#include <compare>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

std::vector<std::string>
WeightLoadSequence(const std::vector<EndpointInfo>& aEndpoints,
                   const LatestWeights& aWeights)
{
  struct Rank
  {
    bool mIsUpToDate;
    std::uint64_t mHash;
    std::string mId;

    auto operator<=>(const Rank&) const = default;
  };
  const std::uint64_t key = PlacementHash(aWeights.mModel);
  std::vector<Rank> ranks;
  for (const auto& endpoint : aEndpoints) {
    const auto version = endpoint.VersionOf(aWeights.mModel);
    if (version != 0 && version < aWeights.mVersion && !endpoint.mIsLeaving) {
      ranks.push_back({ version + 1 >= aWeights.mVersion,
                        PlacementHash(endpoint.mId, key),
                        endpoint.mId });
    }
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<std::string> order;
  order.reserve(ranks.size());
  for (auto& rank : ranks) {
    order.push_back(std::move(rank.mId));
  }
  return order;
}

std::optional<Millis>
LoadStartOf(const std::vector<std::string>& aOrder,
            std::string_view aEndpointId,
            const LoadScheduleSettings& aSettings)
{
  const auto found = std::find(aOrder.begin(), aOrder.end(), aEndpointId);
  if (found == aOrder.end()) {
    return std::nullopt;
  }
  const auto size = static_cast<double>(aOrder.size());
  const auto groupSize =
    std::max(1.0, std::round(aSettings.mMaxLoadingShare * size));
  const auto group =
    (found - aOrder.begin()) / static_cast<std::int64_t>(groupSize);
  return aSettings.mInitialDelay + group * aSettings.mGroupInterval;
}

} // namespace shuntjunction::state
