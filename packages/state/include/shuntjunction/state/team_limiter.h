#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "shuntjunction/state/usage_limit.h"

/// Limits on the rate of each team's requests, without a message.
namespace shuntjunction::state {

/// Keeps this router's fixed part of each team's limit.
///
/// A router knows how many routers there are and takes that part, so that a
/// limit holds over all of them without a message. Callers that meet few of the
/// routers get less than their team's limit; limit_shares.h is for those.
/// Thread safety: none; owned by one thread.
class TeamLimiter
{
public:
  /// Takes one request of a team.
  ///
  /// @param aRouters  routers that share the limit, at least 1
  /// @return zero when the request may go on, or the time to come back after
  Millis Take(std::string_view aTeam,
              const UsageLimit& aLimit,
              std::size_t aRouters,
              TimePoint aNow);

private:
  std::unordered_map<std::string, UsageBucket> mBuckets;
};

} // namespace shuntjunction::state
