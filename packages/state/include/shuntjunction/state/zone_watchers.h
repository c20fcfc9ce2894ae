#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/relay_config.h"

/// Which processes of an availability zone watch the platform's store for it.
namespace shuntjunction::state {

/// Settings of the selection of zone watchers.
struct ZoneWatcherSettings
{
  std::size_t mPerZone = 2; ///< engines whose companions watch: one may fail
  /// In a fleet of fewer engines each process watches the store itself: the
  /// calls of all of them cost less than the delay after the loss of a zone's
  /// watcher.
  std::size_t mAllBelow = 24;
};

/// Addresses of the engines whose companions watch the store for a zone, in the
/// order in which they are to be queried.
///
/// Depends only on the list: processes with the same list select the same
/// engines, without an election. When an engine leaves, the next one takes its
/// place.
/// @return none in a small fleet, or where the zone has no engine
/// Thread safety: pure.
std::vector<std::string>
SelectZoneWatchers(const std::vector<EndpointInfo>& aEndpoints,
                   std::string_view aZone,
                   const ZoneWatcherSettings& aSettings);

} // namespace shuntjunction::state
