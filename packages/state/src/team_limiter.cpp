#include "shuntjunction/state/team_limiter.h"

#include <algorithm>
#include <cmath>

namespace shuntjunction::state {

Millis
TeamLimiter::Take(std::string_view aTeam,
                  const TeamLimit& aLimit,
                  std::size_t aRouters,
                  TimePoint aNow)
{
  if (aLimit.mRequestsPerSecond <= 0) {
    return Millis(0);
  }
  const double share =
    1.0 / static_cast<double>(std::max<std::size_t>(aRouters, 1));
  const double rate = aLimit.mRequestsPerSecond * share;
  const double depth = std::max(1.0, aLimit.mBurst * share);
  const auto [found, isNew] =
    mBuckets.try_emplace(std::string(aTeam), Bucket{ depth, aNow });
  Bucket& bucket = found->second;
  const std::chrono::duration<double> passed = aNow - bucket.mFilled;
  bucket.mTokens = std::min(depth, bucket.mTokens + passed.count() * rate);
  bucket.mFilled = aNow;
  if (bucket.mTokens >= 1.0) {
    bucket.mTokens -= 1.0;
    return Millis(0);
  }
  const double seconds = (1.0 - bucket.mTokens) / rate;
  return Millis(static_cast<std::int64_t>(std::ceil(seconds * 1000.0)));
}

} // namespace shuntjunction::state
