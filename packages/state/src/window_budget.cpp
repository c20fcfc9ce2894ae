#include "shuntjunction/state/window_budget.h"

#include <algorithm>

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
  constexpr auto kWindow = static_cast<std::int64_t>(kSlices);
  const std::int64_t now = SliceNumberAt(aNow);
  WindowCounts counts;
  counts.mRepeats = mOpen;
  for (const auto& slice : mSlices) {
    const auto age = now - slice.mNumber;
    if (slice.mNumber < 0 || age >= 2 * kWindow) {
      continue;
    }
    if (age <= kWindow) {
      counts.mRepeats += slice.mRepeats;
    }
    auto& firsts = age < kWindow ? counts.mFirsts : counts.mFormerFirsts;
    firsts += slice.mFirsts;
  }
  const auto earning = std::min(counts.mFirsts, counts.mFormerFirsts);
  counts.mAllowed = mSettings.mRatio * earning + mSettings.mSlack;
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
