#pragma once

#include <optional>

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
  /// Time since the last check from which on requests are refused: the work
  /// that was ready with them already takes too long. Exceeds a check's
  /// interval and mLateDelay.
  Millis mLateTurn{ 170 };
  Millis mLateTurnUrgent{ 450 }; ///< the same for the most urgent requests
};

/// Detects overload of the process by the delay of a periodic timer.
///
/// All ready work waits in one queue of the process, so the timer's delay is
/// the time that an arriving request waits before it is handled. One turn of
/// the queue may take seconds when a burst arrives on many connections; the
/// time since the last check shows this before the turn ends.
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
  ///
  /// @param aNow  time of the check
  void NoteCheck(Millis aDelay, TimePoint aNow)
  {
    mCheckedAt = aNow;
    if (aDelay >= mSettings.mLateDelay) {
      ++mLateChecks;
    } else if (aDelay < mSettings.mOnTimeDelay) {
      mLateChecks = 0;
    }
  }

  /// Whether new requests of an urgency must be refused; 0 is the most urgent.
  bool MustRefuse(int aUrgency, TimePoint aNow) const
  {
    const bool isUrgent = aUrgency == 0;
    const int limit =
      isUrgent ? mSettings.mLateChecksUrgent : mSettings.mLateChecks;
    const auto lateTurn =
      isUrgent ? mSettings.mLateTurnUrgent : mSettings.mLateTurn;
    const bool isTurnLate = mCheckedAt && aNow - *mCheckedAt >= lateTurn;
    return mLateChecks >= limit || isTurnLate;
  }

  /// Whether all requests but the most urgent must be refused.
  bool IsOverloaded() const { return mLateChecks >= mSettings.mLateChecks; }

  const OverloadSettings& Settings() const { return mSettings; }

private:
  OverloadSettings mSettings;
  std::optional<TimePoint> mCheckedAt;
  int mLateChecks = 0; ///< since the last check that was on time
};

} // namespace shuntjunction::state
