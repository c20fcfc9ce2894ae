#pragma once

#include <atomic>
#include <cstdint>

#include "shuntjunction/state/clock.h"

/// Age of what is believed, suspended time included.
namespace shuntjunction::state {

/// How long each question to the source may wait for news, if a belief may be
/// acted on until its confirmation is as old as a bound.
///
/// An answer confirms the moment of its question, so that a belief is up to two
/// waits old when the source falls silent: with a fifth of the bound three
/// fifths of it are left to go on in an outage of the source. Shorter waits ask
/// more often and leave little more.
inline Millis
ConfirmationWait(Millis aBound)
{
  constexpr int kWaitsPerBound = 5;
  return aBound / kWaitsPerBound;
}

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

  /// Notes a confirmation that another process told, with its age there when it
  /// answered.
  ///
  /// The answer was given after the question was asked. So the confirmation is
  /// no older than its age was at the question, however long either process
  /// stood still and however long the answer was on its way.
  void ConfirmFromPeer(TimePoint aAskedAt, Millis aToldAge)
  {
    Confirm(aAskedAt - aToldAge);
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
