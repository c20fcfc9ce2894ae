#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/config_store.h"
#include "shuntjunction/state/endpoint_table.h"

/// Cache warming: which shared prefixes an endpoint computes before an event
/// starts.
namespace shuntjunction::state {

/// How long before an event's start its prefixes are warmed.
inline constexpr Millis kWarmLead{ 60000 };

/// A prefix to compute before requests need it.
struct WarmTask
{
  std::string mTeam;
  std::string mModel;
  std::vector<std::string> mSharedText; ///< text of each outer prompt level
  Millis mUntilStart{ 0 };

  /// The prompt levels in the form in which callers' messages yield them.
  std::vector<std::string> Levels() const;
};

/// Time from aWallMillis until the next start at "HH:MM" (UTC).
///
/// @pre aStart is a valid time of day, which configuration objects are checked
///      for
Millis
UntilStart(std::string_view aStart, std::int64_t aWallMillis);

/// Prefixes that one endpoint should warm now.
///
/// Depends on the configuration, the instances and the time only, so that
/// companions with the same data agree on who warms what without exchanging
/// messages. The endpoints are those that routers probe first for the prefix.
/// Thread safety: pure.
std::vector<WarmTask>
DueWarmTasks(const ConfigSnapshot& aConfig,
             const std::vector<InstanceInfo>& aInstances,
             std::string_view aEndpoint,
             std::int64_t aWallMillis);

} // namespace shuntjunction::state
