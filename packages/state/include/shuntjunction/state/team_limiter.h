#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "shuntjunction/state/clock.h"

/// Limits on the rate of each team's requests.
namespace shuntjunction::state {

/// A team's limit over all routers; zero is no limit.
struct TeamLimit
{
  double mRequestsPerSecond = 0;
  double mBurst = 0; ///< requests above the rate that may come at once
};

/// Token buckets by team, each the router's share of the team's limit.
///
/// A router knows how many routers there are and takes that share, so that a
/// limit holds over all of them without a message.
/// Thread safety: none; owned by one thread.
class TeamLimiter
{
public:
  /// Takes one request of a team.
  ///
  /// @param aRouters  routers that share the limit, at least 1
  /// @return zero when the request may go on, or the time to come back after
  Millis Take(std::string_view aTeam,
              const TeamLimit& aLimit,
              std::size_t aRouters,
              TimePoint aNow);

private:
  struct Bucket
  {
    double mTokens = 0;
    TimePoint mFilled;
  };

  std::unordered_map<std::string, Bucket> mBuckets;
};

} // namespace shuntjunction::state
