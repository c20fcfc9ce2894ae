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
struct LoadScheduleSettings
{
  /// Share of a service's engines that load at once; one at least. Loads share
  /// the way to the weights: two of nine take 0.8 s, three 1.25 s, so that more
  /// at once end no earlier and only close more engines.
  double mShareAtOnce = 0.2;
  Millis mTurn{ 950 }; ///< from one group's turn to the next
  Millis mDrainLead{
    250
  };                   ///< an engine gets no new work so long before its turn
  Millis mLead{ 250 }; ///< from a version's becoming known to the first turn
};

/// The engines of a model that stay, in the order in which they load a version.
///
/// Those that missed the version before go first, so that none is passed over
/// for ever while versions follow each other quickly.
/// Thread safety: pure.
std::vector<std::string>
WeightLoadSequence(const std::vector<EndpointInfo>& aEndpoints,
                   const LatestWeights& aWeights);

/// Start of an engine's turn, counted from when the version became known.
///
/// @return empty when the engine is not in the order
/// Thread safety: pure.
std::optional<Millis>
LoadStartOf(const std::vector<std::string>& aOrder,
            std::string_view aEndpointId,
            const LoadScheduleSettings& aSettings);

} // namespace shuntjunction::state
