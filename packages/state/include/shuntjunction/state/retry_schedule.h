#pragma once

#include <algorithm>

#include "shuntjunction/state/clock.h"

/// When callers refused because of a rate limit should retry.
namespace shuntjunction::state {

/// Spaces retries so that all of them together match the available rate.
///
/// If each caller got its retry time independently, all would come back at once
/// and be refused again.
///
/// Thread safety: none.
class RetrySchedule
{
public:
  /// Reserves the next free retry time; returns the delay until then.
  ///
  /// @param aPerSecond  requests per second allowed across all relays; above
  /// zero
  /// @param aRelays  number of relays that refuse requests; at least one
  Millis Next(double aPerSecond, double aRelays, TimePoint aNow)
  {
    constexpr double kMillisPerSecond = 1000.0;
    const double intervalMillis = aRelays / aPerSecond * kMillisPerSecond;
    const Millis interval(static_cast<std::int64_t>(
      std::min<double>(intervalMillis, kLatest.count())));
    const auto at = std::clamp(mNext, aNow + kEarliest, aNow + kLatest);
    mNext = at + interval;
    return std::chrono::duration_cast<Millis>(at - aNow);
  }

private:
  static constexpr Millis kEarliest{ 300 };
  static constexpr Millis kLatest{ 10000 };

  TimePoint mNext;
};

} // namespace shuntjunction::state
