#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "shuntjunction/state/usage_limit.h"

/// Rate limits of teams without coordination messages.
namespace shuntjunction::state {

/// Enforces this router's fixed fraction of each team's limit.
///
/// A router knows the number of routers and takes an equal fraction, so the
/// limit holds across all routers without messages. A team whose callers reach
/// only some of the routers gets less than its limit; limit_shares.h handles
/// that case. A router begins without the burst, which its former process may
/// have granted shortly before.
/// Thread safety: none; owned by one thread.
class TeamLimiter
{
public:
  /// @param aStartedAt  when this process started
  explicit TeamLimiter(TimePoint aStartedAt)
    : mStartedAt(aStartedAt)
  {
  }

  /// Takes one request of a team.
  ///
  /// @param aRouters  number of routers that share the limit, at least 1
  /// @return zero if the request is admitted, otherwise the time to retry after
  Millis Take(std::string_view aTeam,
              const UsageLimit& aLimit,
              std::size_t aRouters,
              TimePoint aNow);

private:
  TimePoint mStartedAt;
  std::unordered_map<std::string, UsageBucket> mBuckets;
};

} // namespace shuntjunction::state
