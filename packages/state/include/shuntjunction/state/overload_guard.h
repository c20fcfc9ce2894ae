#pragma once

#include "shuntjunction/state/clock.h"

/// Whether a process gets more work than it can answer.
namespace shuntjunction::state {

/// Settings of an OverloadGuard.
struct OverloadSettings
{
  Millis mCheckInterval{ 20 }; ///< between two looks at how late the process is
  /// A look that comes so late found work before it that callers wait for: half
  /// of the shortest objectives. A machine that pauses for the rest of a tenth
  /// of a second, as some quotas do, is not that late.
  Millis mLate{ 150 };
  Millis mOnTime{ 50 }; ///< a look that comes by then ends the overload
  /// Late looks in a row before work is refused: one alone is a pause of the
  /// machine, after which the process is on time again.
  int mLateLooks = 3;
  /// The same for the most urgent work, which is refused last.
  int mLateLooksUrgent = 8;
};

/// Tells from how late a process's own timer runs whether it is overloaded.
///
/// All ready work waits in one queue of the process, so that a timer's delay is
/// what a request that arrives now waits before anybody looks at it.
/// Thread safety: none; owned by the traffic thread.
class OverloadGuard
{
public:
  explicit OverloadGuard(const OverloadSettings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Takes by how much a look came late.
  void NoteTimerDelay(Millis aDelay)
  {
    if (aDelay >= mSettings.mLate) {
      ++mLateLooks;
    } else if (aDelay < mSettings.mOnTime) {
      mLateLooks = 0;
    }
  }

  /// Whether new work of an urgency must be refused; 0 is the most urgent.
  bool MustRefuse(int aUrgency) const
  {
    const int most =
      aUrgency == 0 ? mSettings.mLateLooksUrgent : mSettings.mLateLooks;
    return mLateLooks >= most;
  }

  /// Whether it is overloaded at all.
  bool IsOverloaded() const { return mLateLooks >= mSettings.mLateLooks; }

  const OverloadSettings& Settings() const { return mSettings; }

private:
  OverloadSettings mSettings;
  int mLateLooks = 0; ///< in a row
};

} // namespace shuntjunction::state
