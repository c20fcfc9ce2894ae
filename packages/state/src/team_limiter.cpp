#include "shuntjunction/state/team_limiter.h"

#include <algorithm>

namespace shuntjunction::state {

Millis
TeamLimiter::Take(std::string_view aTeam,
                  const UsageLimit& aLimit,
                  std::size_t aRouters,
                  TimePoint aNow)
{
  if (!aLimit.IsLimited()) {
    return Millis(0);
  }
  const double share =
    1.0 / static_cast<double>(std::max<std::size_t>(aRouters, 1));
  const UsageLimit part{ aLimit.mPerSecond * share,
                         std::max(1.0, aLimit.mBurst * share) };
  const std::chrono::duration<double> running = aNow - mStartedAt;
  const auto [found, isNew] = mBuckets.try_emplace(
    std::string(aTeam), part, running.count() * part.mPerSecond, aNow);
  auto& bucket = found->second;
  if (bucket.Limit() != part) {
    bucket.SetLimit(part, aNow);
  }
  const auto wait = bucket.TimeUntil(1.0, aNow);
  if (wait == Millis(0)) {
    bucket.TakeUpTo(1.0, aNow);
  }
  return wait;
}

} // namespace shuntjunction::state
