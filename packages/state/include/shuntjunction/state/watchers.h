#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/endpoint_table.h"

/// Which processes watch the platform, and which ones the others query.
namespace shuntjunction::state {

/// Settings of the selection of watchers.
struct WatcherSettings
{
  std::size_t mPerZone = 3;   ///< companions per zone that watch
  std::size_t mAllBelow = 64; ///< in a smaller fleet all processes watch
  /// Interval of the other processes' queries, each to one watcher.
  Millis mQueryInterval{ 1000 };
};

/// The companions that watch the platform for an availability zone.
///
/// Depends only on the list: processes with the same list agree.
/// @return fewer than aCount where the zone has fewer; none where all of its
///         companions are leaving, or it has none
/// Thread safety: pure.
std::vector<InstanceInfo>
SelectWatchers(const std::vector<InstanceInfo>& aInstances,
               std::string_view aZone,
               std::size_t aCount);

/// The companions that a process queries in addition to watching the platform
/// itself.
///
/// Each process has its own small selection, so that it needs few connections.
/// Thread safety: pure.
std::vector<InstanceInfo>
SelectPeers(const std::vector<InstanceInfo>& aInstances,
            std::string_view aName,
            std::size_t aCount);

/// Whether a process watches the platform itself.
///
/// It does in a small fleet, as one of its zone's watchers, and where its zone
/// has none.
/// Thread safety: pure.
bool
IsWatcher(const std::vector<InstanceInfo>& aInstances,
          std::string_view aName,
          std::string_view aZone,
          const WatcherSettings& aSettings);

} // namespace shuntjunction::state
