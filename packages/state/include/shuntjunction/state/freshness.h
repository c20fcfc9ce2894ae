#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

#include "shuntjunction/state/clock.h"

/// Age of cached state, including time during which the machine was suspended.
namespace shuntjunction::state {

/// How long each long-poll request to the source may wait, if the state may be
/// used until its confirmation is as old as aBound.
///
/// A response confirms the state as of the time of the request, so the state is
/// up to two waits old when the source stops responding. With a wait of a fifth
/// of the bound, three fifths remain to bridge an outage of the source. Shorter
/// waits would mean more requests and gain little.
inline Millis
ConfirmationWait(Millis aBound)
{
  constexpr int kWaitsPerBound = 5;
  return aBound / kWaitsPerBound;
}

/// When cached state was last confirmed by its source.
///
/// The time is that at which the confirming request was sent: everything the
/// source knew by then is included.
/// Thread safety: all methods may be called from any thread.
class Freshness
{
public:
  /// Records a confirmation; one older than the current one has no effect.
  void Confirm(TimePoint aAskedAt)
  {
    const auto asked = aAskedAt.time_since_epoch().count();
    auto before = mConfirmed.load();
    while (before < asked && !mConfirmed.compare_exchange_weak(before, asked)) {
    }
  }

  /// Records a confirmation that another process relayed, with its age there at
  /// the time of the response.
  ///
  /// The response was sent after the request, so the confirmation is at most
  /// aReportedAge older than the request, regardless of suspensions of either
  /// process and of the response's transit time.
  void ConfirmFromPeer(TimePoint aAskedAt, Millis aReportedAge)
  {
    Confirm(aAskedAt - aReportedAge);
  }

  /// Whether the state was ever confirmed.
  bool IsKnown() const { return mConfirmed.load() != kNever; }

  /// Time of the confirming request; empty if there was none.
  std::optional<TimePoint> At() const
  {
    const auto confirmed = mConfirmed.load();
    return confirmed == kNever
             ? std::nullopt
             : std::optional(TimePoint{ TimePoint::duration(confirmed) });
  }

  /// Time since the confirming request; Millis::max() if there was none.
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
