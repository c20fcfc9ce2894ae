#include "shuntjunction/state/load_turns.h"

#include <algorithm>
#include <cmath>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

std::vector<std::string>
LoadOrder(const std::vector<EndpointInfo>& aEndpoints,
          std::string_view aService,
          std::string_view aModel)
{
  const std::uint64_t key = PlacementHash(aModel);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& endpoint : aEndpoints) {
    if (endpoint.mService == aService && !endpoint.mIsLeaving) {
      ranked.emplace_back(PlacementHash(endpoint.mId, key), endpoint.mId);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> order;
  order.reserve(ranked.size());
  for (auto& [rank, id] : ranked) {
    order.push_back(std::move(id));
  }
  return order;
}

std::optional<Millis>
TurnOf(const std::vector<std::string>& aOrder,
       std::string_view aEndpointId,
       const LoadTurnSettings& aSettings)
{
  const auto found = std::find(aOrder.begin(), aOrder.end(), aEndpointId);
  if (found == aOrder.end()) {
    return std::nullopt;
  }
  const auto size = static_cast<double>(aOrder.size());
  const auto atOnce = std::max(1.0, std::round(aSettings.mShareAtOnce * size));
  const auto group =
    (found - aOrder.begin()) / static_cast<std::int64_t>(atOnce);
  return aSettings.mLead + group * aSettings.mTurn;
}

} // namespace shuntjunction::state
