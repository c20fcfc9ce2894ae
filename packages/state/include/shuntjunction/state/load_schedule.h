#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/relay_config.h"

/// Schedule by which the engines of a service load new weights, so that only a
/// few load at a time.
namespace shuntjunction::state {

/// Settings of the schedule.
struct LoadScheduleSettings
{
  /// Share of a service's engines that load at a time; at least one does.
  /// Concurrent loads share the bandwidth to the weights: of nine engines, two
  /// at a time take 0.8 s and three 1.25 s. With larger groups, the last engine
  /// finishes no earlier and more engines are out of service at a time.
  double mMaxLoadingShare = 0.2;
  /// Time from the start of one group's load to that of the next.
  Millis mGroupInterval{ 950 };
  /// Time before its load from which an engine gets no new requests.
  Millis mDrainLead{ 250 };
  /// Time from the announcement of a version to the first group's load.
  Millis mInitialDelay{ 250 };
};

/// Ids of a model's engines that have older weights and are not leaving, in the
/// order in which they load a version. For a process that starts amid the
/// loads, the order consists of those that are left.
///
/// Engines that missed the previous version go first, so that none is skipped
/// forever while versions follow each other quickly.
/// Thread safety: pure.
std::vector<std::string>
WeightLoadSequence(const std::vector<EndpointInfo>& aEndpoints,
                   const LatestWeights& aWeights);

/// Start of an engine's load, counted from the announcement of the version.
///
/// @return empty if the engine is not in aOrder
/// Thread safety: pure.
std::optional<Millis>
LoadStartOf(const std::vector<std::string>& aOrder,
            std::string_view aEndpointId,
            const LoadScheduleSettings& aSettings);

} // namespace shuntjunction::state
