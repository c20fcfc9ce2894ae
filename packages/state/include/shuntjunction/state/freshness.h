#pragma once

#include <atomic>
#include <cstdint>

#include "shuntjunction/state/clock.h"

/// Age of what is believed, by the steady clock.
namespace shuntjunction::state {

/// When a belief was last confirmed by its source.
///
/// The time is that of sending the confirming question, so that whatever the
/// source knew by then is known here.
/// Thread safety: all methods may be called from any thread.
class Freshness
{
public:
  /// Notes a confirmation; an older one than before changes nothing.
  void Confirm(TimePoint aAskedAt)
  {
    const auto asked = aAskedAt.time_since_epoch().count();
    auto before = mConfirmed.load();
    while (before < asked && !mConfirmed.compare_exchange_weak(before, asked)) {
    }
  }

  /// Whether it was confirmed at all.
  bool IsKnown() const { return mConfirmed.load() != kNever; }

  /// Time since the confirming question; very long when there was none.
  Millis Age(TimePoint aNow) const
  {
    const auto confirmed = mConfirmed.load();
    if (confirmed == kNever) {
      return Millis::max();
    }
    const TimePoint at{ TimePoint::duration(confirmed) };
    return std::chrono::duration_cast<Millis>(aNow - at);
  }

private:
  static constexpr TimePoint::rep kNever = INT64_MIN;

  std::atomic<TimePoint::rep> mConfirmed{ kNever };
};

} // namespace shuntjunction::state
