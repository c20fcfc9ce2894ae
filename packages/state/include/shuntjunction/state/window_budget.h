#pragma once

#include <array>
#include <cstdint>

#include "shuntjunction/state/clock.h"

/// Repeats of requests, bounded over a sliding window and all processes.
namespace shuntjunction::state {

/// Settings of a WindowBudget.
struct WindowBudgetSettings
{
  double mRatio = 0.2;     ///< repeats allowed for each first request
  double mSlack = 0.0;     ///< repeats allowed beside these, in a window
  Millis mWindow{ 10000 }; ///< over which both are counted
};

/// Allows repeats so that no window of its length holds too many.
///
/// Counts are kept in slices of a window; a slice counts as inside as long as
/// any part of it is, and a first request only while its whole slice is.
/// Several processes keep a common bound when each has its share of the slack.
/// Thread safety: none; owned by one thread.
class WindowBudget
{
public:
  WindowBudget(const WindowBudgetSettings& aSettings, TimePoint aNow);

  /// Sets the repeats allowed beside the ratio; counts stay.
  void SetSlack(double aSlack) { mSettings.mSlack = aSlack; }

  /// Counts a first request.
  void NoteFirst(TimePoint aNow);

  /// Whether a repeat is allowed.
  bool MayRepeat(TimePoint aNow) const;

  /// Counts a repeat if it is allowed; false when it is not.
  bool TryRepeat(TimePoint aNow);

private:
  static constexpr std::size_t kSlices = 20;

  struct Slice
  {
    std::int64_t mNumber = -1; ///< slices since the start
    std::uint32_t mFirsts = 0;
    std::uint32_t mRepeats = 0;
  };

  std::int64_t NumberOf(TimePoint aNow) const;
  Slice& SliceOf(std::int64_t aNumber);

  WindowBudgetSettings mSettings;
  TimePoint mStart;
  std::array<Slice, kSlices + 1> mSlices{};
};

} // namespace shuntjunction::state
