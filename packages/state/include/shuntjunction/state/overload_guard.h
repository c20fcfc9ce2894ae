#pragma once

#include "shuntjunction/state/clock.h"

/// Detection of overload of this process.
namespace shuntjunction::state {

/// Settings of an OverloadGuard.
struct OverloadSettings
{
  Millis mCheckInterval{ 20 }; ///< between two checks of the timer's delay
  /// A check delayed by this much is late: half of the shortest objectives has
  /// passed in the process's queue. Must exceed the pauses of CPU quotas, which
  /// may last for the rest of a 100 ms period.
  Millis mLateDelay{ 150 };
  Millis mOnTimeDelay{ 50 }; ///< a check delayed by less ends the overload
  /// Consecutive late checks before requests are refused: a single one is a
  /// pause of the machine, after which the process is on time again.
  int mLateChecks = 3;
  /// The same for the most urgent requests, which are refused last.
  int mLateChecksUrgent = 8;
};

/// Detects overload of the process by the delay of a periodic timer.
///
/// All ready work waits in one queue of the process, so the timer's delay is
/// the time that an arriving request waits before it is handled.
/// Thread safety: none; owned by the traffic thread.
class OverloadGuard
{
public:
  explicit OverloadGuard(const OverloadSettings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Records the delay of a check. A delay between mOnTimeDelay and mLateDelay
  /// changes nothing.
  void NoteTimerDelay(Millis aDelay)
  {
    if (aDelay >= mSettings.mLateDelay) {
      ++mLateChecks;
    } else if (aDelay < mSettings.mOnTimeDelay) {
      mLateChecks = 0;
    }
  }

  /// Whether new requests of an urgency must be refused; 0 is the most urgent.
  bool MustRefuse(int aUrgency) const
  {
    const int limit =
      aUrgency == 0 ? mSettings.mLateChecksUrgent : mSettings.mLateChecks;
    return mLateChecks >= limit;
  }

  /// Whether all requests but the most urgent must be refused.
  bool IsOverloaded() const { return mLateChecks >= mSettings.mLateChecks; }

  const OverloadSettings& Settings() const { return mSettings; }

private:
  OverloadSettings mSettings;
  int mLateChecks = 0; ///< since the last check that was on time
};

} // namespace shuntjunction::state
