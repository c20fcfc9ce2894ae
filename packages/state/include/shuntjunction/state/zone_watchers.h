#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/relay_config.h"

/// Which processes of an availability zone follow the platform's store for it.
namespace shuntjunction::state {

/// Settings of who follows the store.
struct ZoneWatcherSettings
{
  std::size_t mPerZone = 2; ///< engines whose companions do: one may be lost
  /// In a fleet of fewer engines each process follows the store itself: all of
  /// them make fewer calls than a zone's lost watcher would cost in delay.
  std::size_t mAllBelow = 24;
};

/// Addresses of the engines whose companions follow the store for a zone, the
/// one to be asked first in front.
///
/// A pure function of the list: who knows the same list names the same, and
/// nobody has to be elected. An engine that goes hands its part to the next.
/// @return none in a small fleet, or where the zone has no engine
/// Thread safety: pure.
std::vector<std::string>
SelectZoneWatchers(const std::vector<EndpointInfo>& aEndpoints,
                   std::string_view aZone,
                   const ZoneWatcherSettings& aSettings);

} // namespace shuntjunction::state
