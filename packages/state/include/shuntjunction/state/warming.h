#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/config_store.h"
#include "shuntjunction/state/endpoint_table.h"

/// Which shared prefixes an endpoint computes ahead of an event's start.
namespace shuntjunction::state {

/// Time before a start in which its prefixes are warmed.
inline constexpr Millis kWarmLead{ 60000 };

/// A prefix to be computed before it is asked for.
struct WarmTask
{
  std::string mTeam;
  std::string mModel;
  std::vector<std::string> mSharedText; ///< contents of the outer levels
  Millis mUntilStart{ 0 };

  /// The texts of its prompt levels, as a caller's messages give them.
  std::vector<std::string> Levels() const;
};

/// Time until the next start "HH:MM" (UTC) after a moment.
///
/// @pre  aStart is a time of day, as configuration objects are checked to hold
Millis
UntilStart(std::string_view aStart, std::int64_t aWallMillis);

/// What one endpoint is to warm now.
///
/// A pure function of the configuration, the instances and the time: all
/// companions that know the same agree who warms what, without a message. The
/// endpoints are those that routers ask first for the prefix.
/// Thread safety: pure.
std::vector<WarmTask>
DueWarmTasks(const ConfigSnapshot& aConfig,
             const std::vector<InstanceInfo>& aInstances,
             std::string_view aEndpoint,
             std::int64_t aWallMillis);

} // namespace shuntjunction::state
