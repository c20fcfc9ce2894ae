#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/relay_config.h"

/// When each engine of a service loads new weights, so that few do at once.
namespace shuntjunction::state {

/// Settings of the turns.
struct LoadTurnSettings
{
  /// Share of a service's engines that load at once; one at least. Measured on
  /// days with five new versions: a third keeps loading quick and ends within
  /// three turns.
  double mShareAtOnce = 1.0 / 3.0;
  Millis mTurn{ 900 };  ///< of one group, with the time to finish its runs
  Millis mClose{ 150 }; ///< an engine gets no new work so long before its turn
  Millis mLead{ 150 };  ///< from a version's becoming known to the first turn
};

/// The engines of a model that stay, in the order in which they load a version.
///
/// A pure function of the list: processes that know the same list agree.
/// Thread safety: pure.
std::vector<std::string>
LoadOrder(const std::vector<EndpointInfo>& aEndpoints,
          std::string_view aService,
          const NamedWeights& aWeights);

/// Start of an engine's turn, counted from when the version became known.
///
/// @return empty when the engine is not in the order
/// Thread safety: pure.
std::optional<Millis>
TurnOf(const std::vector<std::string>& aOrder,
       std::string_view aEndpointId,
       const LoadTurnSettings& aSettings);

} // namespace shuntjunction::state
