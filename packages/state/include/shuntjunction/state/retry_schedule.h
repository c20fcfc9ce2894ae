#pragma once

#include <algorithm>

#include "shuntjunction/state/clock.h"

/// When callers that were refused for want of a rate may come back.
namespace shuntjunction::state {

/// Spreads returns so that all of them together find the rate that there is.
///
/// A time that each caller is told by itself brings all of them at once, to be
/// refused again.
///
/// Thread safety: none.
class RetrySchedule
{
public:
  /// Takes the next free time.
  ///
  /// @param aPerSecond  requests that may be sent, of all relays; above zero
  /// @param aRelays  that refuse alike; at least one
  Millis Next(double aPerSecond, double aRelays, TimePoint aNow)
  {
    constexpr double kMillisPerSecond = 1000.0;
    const double step = aRelays / aPerSecond * kMillisPerSecond;
    const Millis pause(
      static_cast<std::int64_t>(std::min<double>(step, kLatest.count())));
    const auto at = std::clamp(mNext, aNow + kEarliest, aNow + kLatest);
    mNext = at + pause;
    return std::chrono::duration_cast<Millis>(at - aNow);
  }

private:
  static constexpr Millis kEarliest{ 300 };
  static constexpr Millis kLatest{ 10000 };

  TimePoint mNext;
};

} // namespace shuntjunction::state
