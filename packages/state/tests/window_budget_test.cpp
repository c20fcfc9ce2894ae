// The budget of repeats over a sliding window: what its first requests earn,
// and that no window of a generated history exceeds it.

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shuntjunction/state/window_budget.h"

namespace shuntjunction::state {

namespace {

using namespace std::chrono_literals;

} // namespace

RC_GTEST_PROP(GeneratedRepeats,
              NoWindowExceedsTheBudget,
              (const std::vector<std::uint8_t>& aSteps))
{
  ManualClock clock;
  const WindowBudgetSettings settings{ 0.2, 3.0, 10s };
  WindowBudget budget(settings, clock.Now());
  std::vector<TimePoint> firsts;
  std::vector<TimePoint> repeats;
  for (const auto step : aSteps) {
    clock.Advance(std::chrono::milliseconds(step * 9));
    if (step % 3 == 0) {
      budget.NoteFirst(clock.Now());
      firsts.push_back(clock.Now());
    } else if (budget.TryRepeat(clock.Now())) {
      repeats.push_back(clock.Now());
      const auto inWindow = [&](const std::vector<TimePoint>& aTimes) {
        return static_cast<double>(
          std::count_if(aTimes.begin(), aTimes.end(), [&](TimePoint aTime) {
            return clock.Now() - aTime < settings.mWindow;
          }));
      };
      RC_ASSERT(inWindow(repeats) <=
                settings.mRatio * inWindow(firsts) + settings.mSlack);
    }
  }
}

/// A process whose window holds a hundred first requests.
class GivenAWindowOfFirsts : public ::testing::Test
{
protected:
  GivenAWindowOfFirsts() { NoteFirsts(); }

  void NoteFirsts()
  {
    for (int i = 0; i < 100; ++i) {
      mBudget.NoteFirst(mClock.Now());
    }
  }

  double Allowed() const { return mBudget.Counts(mClock.Now()).mAllowed; }

  ManualClock mClock;
  WindowBudget mBudget{ { 0.2, 0.0, 10s }, mClock.Now() };
};

TEST_F(GivenAWindowOfFirsts, TheyEarnNothingIfItIsTheFirst)
{
  EXPECT_EQ(Allowed(), 0.0);
  EXPECT_FALSE(mBudget.MayRepeat(mClock.Now()));
}

TEST_F(GivenAWindowOfFirsts, TheyEarnUpToTheNumberInTheWindowBefore)
{
  mClock.Advance(10s);
  NoteFirsts();
  NoteFirsts();
  EXPECT_DOUBLE_EQ(Allowed(), 20.0);
  EXPECT_TRUE(mBudget.MayRepeat(mClock.Now()));
}

TEST_F(GivenAWindowOfFirsts, NothingIsEarnedWithoutRequestsInTheCurrentWindow)
{
  mClock.Advance(10s);
  EXPECT_EQ(Allowed(), 0.0);
}

} // namespace shuntjunction::state
