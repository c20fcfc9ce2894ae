#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/endpoint_table.h"

/// Which processes watch the platform, and whom the others ask.
namespace shuntjunction::state {

/// Settings of the watching.
struct WatcherSettings
{
  std::size_t mPerZone = 3;    ///< companions of a zone that watch
  std::size_t mAllBelow = 64;  ///< in a fleet smaller than this, all watch
  Millis mAskInterval{ 1000 }; ///< of the others, one watcher each time
};

/// The companions that watch the platform for an availability zone.
///
/// A pure function of the list: processes that know the same list agree.
/// @return fewer than asked for where the zone has fewer; none where it has
///         no companion that stays
/// Thread safety: pure.
std::vector<InstanceInfo>
SelectWatchers(const std::vector<InstanceInfo>& aInstances,
               std::string_view aZone,
               std::size_t aCount);

/// The companions that a process asks although it watches itself.
///
/// Each process has its own few, so that it keeps few connections.
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
