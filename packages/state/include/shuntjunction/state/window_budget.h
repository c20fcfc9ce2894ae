#pragma once

#include <array>
#include <cstdint>

#include "shuntjunction/state/clock.h"

/// Limits repeats of requests over a sliding window, across processes.
namespace shuntjunction::state {

/// Settings of a WindowBudget.
struct WindowBudgetSettings
{
  double mRatio = 0.2;     ///< repeats allowed per first request
  double mSlack = 0.0;     ///< additional repeats allowed per window
  Millis mWindow{ 10000 }; ///< length of the window for both
};

/// What a WindowBudget counts in its window.
struct WindowCounts
{
  std::uint32_t mFirsts = 0;
  std::uint32_t mFormerFirsts = 0; ///< in the window before it
  std::uint32_t mRepeats = 0;      ///< including those that are not settled
  double mAllowed = 0.0;           ///< repeats that the window may hold
};

/// Allows repeats so that no window of the given length contains too many.
///
/// Counts are kept in slices of the window. A repeat counts as long as any part
/// of its slice is in the window, a first request only while its whole slice
/// is. Several processes keep a common limit without a slack of their own; see
/// RetryPoolLimit for one that they share.
///
/// Repeats are earned by the first requests of the window or of the one before
/// it, whichever are fewer. Another process may have repeated requests of the
/// same callers in this window: one that ran here before, or that handed them
/// over. It earned that from requests that this process has not counted.
///
/// A repeat that may still be on its way counts in every window until it is
/// settled, and in those around that time: a stopped machine receives what was
/// sent to it once it resumes, many seconds late.
///
/// Thread safety: none; owned by one thread.
class WindowBudget
{
public:
  WindowBudget(const WindowBudgetSettings& aSettings, TimePoint aNow);

  /// Sets the additional repeats per window; counts are kept.
  void SetSlack(double aSlack) { mSettings.mSlack = aSlack; }

  /// Records a first request.
  void NoteFirst(TimePoint aNow);

  /// What the window that ends now contains.
  WindowCounts Counts(TimePoint aNow) const;

  /// Whether a repeat is allowed.
  bool MayRepeat(TimePoint aNow) const;

  /// Records a repeat if it is allowed; returns whether it is.
  bool TryRepeat(TimePoint aNow);

  /// Records a repeat that was granted elsewhere, allowed or not.
  void NoteRepeat(TimePoint aNow);

  /// Begins a repeat that is yet to arrive, if it is allowed; returns whether
  /// it is. To be followed by Settle.
  bool TryOpen(TimePoint aNow);

  /// Records that a repeat begun with TryOpen has arrived, or never will.
  void Settle(TimePoint aNow);

private:
  static constexpr std::size_t kSlices = 20;

  struct Slice
  {
    std::int64_t mNumber = -1; ///< slices since the start; -1: unused
    std::uint32_t mFirsts = 0;
    std::uint32_t mRepeats = 0;
  };

  std::int64_t SliceNumberAt(TimePoint aNow) const;
  Slice& SliceOf(std::int64_t aNumber);

  WindowBudgetSettings mSettings;
  TimePoint mStart;
  std::uint32_t mOpen = 0; ///< repeats that are not settled
  std::array<Slice, 2 * kSlices + 1> mSlices{};
};

} // namespace shuntjunction::state
