#include "shuntjunction/state/window_budget.h"

namespace shuntjunction::state {

WindowBudget::WindowBudget(const WindowBudgetSettings& aSettings,
                           TimePoint aNow)
  : mSettings(aSettings)
  , mStart(aNow)
{
}

std::int64_t
WindowBudget::SliceNumberAt(TimePoint aNow) const
{
  const auto slice = mSettings.mWindow / static_cast<int>(kSlices);
  return (aNow - mStart) / slice;
}

WindowBudget::Slice&
WindowBudget::SliceOf(std::int64_t aNumber)
{
  auto& slice = mSlices[static_cast<std::size_t>(aNumber) % mSlices.size()];
  if (slice.mNumber != aNumber) {
    slice = Slice{ aNumber };
  }
  return slice;
}

void
WindowBudget::NoteFirst(TimePoint aNow)
{
  ++SliceOf(SliceNumberAt(aNow)).mFirsts;
}

WindowCounts
WindowBudget::Counts(TimePoint aNow) const
{
  const std::int64_t now = SliceNumberAt(aNow);
  WindowCounts counts;
  counts.mRepeats = mOpen;
  for (const auto& slice : mSlices) {
    const auto age = now - slice.mNumber;
    if (slice.mNumber < 0 || age > static_cast<std::int64_t>(kSlices)) {
      continue;
    }
    counts.mRepeats += slice.mRepeats;
    if (age < static_cast<std::int64_t>(kSlices)) {
      counts.mFirsts += slice.mFirsts;
    }
  }
  counts.mAllowed = mSettings.mRatio * counts.mFirsts + mSettings.mSlack;
  return counts;
}

bool
WindowBudget::MayRepeat(TimePoint aNow) const
{
  const auto counts = Counts(aNow);
  return counts.mRepeats + 1.0 <= counts.mAllowed;
}

bool
WindowBudget::TryRepeat(TimePoint aNow)
{
  const bool isAllowed = MayRepeat(aNow);
  if (isAllowed) {
    NoteRepeat(aNow);
  }
  return isAllowed;
}

void
WindowBudget::NoteRepeat(TimePoint aNow)
{
  ++SliceOf(SliceNumberAt(aNow)).mRepeats;
}

bool
WindowBudget::TryOpen(TimePoint aNow)
{
  const bool isAllowed = MayRepeat(aNow);
  mOpen += isAllowed ? 1 : 0;
  return isAllowed;
}

void
WindowBudget::Settle(TimePoint aNow)
{
  --mOpen;
  NoteRepeat(aNow);
}

} // namespace shuntjunction::state
