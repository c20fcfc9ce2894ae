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
  /// In a fleet of fewer engines each process watches the store itself: all
  /// their calls cost less than the delay when a zone's watcher is lost.
  std::size_t mAllBelow = 24;
};

/// Addresses of the engines whose companions watch the store for a zone, the
/// one to be queried first in front.
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
