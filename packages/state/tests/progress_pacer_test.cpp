#include "shuntjunction/state/progress_pacer.h"

#include <gtest/gtest.h>

// Tests the pauses between calls to a peer that may return nothing new.

namespace shuntjunction::state {

class GivenCallsThatAPeerMayHold : public ::testing::Test
{
protected:
  Millis AfterNothing()
  {
    return mPacer.PauseAfter(false, Millis(2), kMaxWait);
  }
  Millis AfterNews() { return mPacer.PauseAfter(true, Millis(2), kMaxWait); }
  Millis AfterAWait() { return mPacer.PauseAfter(false, kMaxWait, kMaxWait); }

  static constexpr Millis kMaxWait{ 1000 };
  ProgressPacer mPacer{ Millis(100), Millis(600) };
};

TEST_F(GivenCallsThatAPeerMayHold, ThoseWithProgressFollowImmediately)
{
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(AfterNews(), Millis(0));
    EXPECT_EQ(AfterAWait(), Millis(0));
    EXPECT_EQ(AfterNothing(), Millis(0));
  }
}

class ThatReturnNothingNew : public GivenCallsThatAPeerMayHold
{
protected:
  ThatReturnNothingNew() { EXPECT_EQ(AfterNothing(), Millis(0)); }
};

TEST_F(ThatReturnNothingNew, PausesGrowUpToTheLongest)
{
  for (const int pause : { 100, 200, 400, 600, 600 }) {
    EXPECT_EQ(AfterNothing(), Millis(pause));
  }
}

TEST_F(ThatReturnNothingNew, NewsEndThePauses)
{
  AfterNothing();
  AfterNothing();
  EXPECT_EQ(AfterNews(), Millis(0));
  EXPECT_EQ(AfterNothing(), Millis(0));
  EXPECT_EQ(AfterNothing(), Millis(100));
}

TEST_F(ThatReturnNothingNew, ACallThatWaitedEndsThePauses)
{
  AfterNothing();
  EXPECT_EQ(AfterAWait(), Millis(0));
  EXPECT_EQ(AfterNothing(), Millis(0));
}

TEST_F(ThatReturnNothingNew, CallsThatAreNotHeldPauseToo)
{
  EXPECT_EQ(mPacer.PauseAfter(false, Millis(500), Millis(0)), Millis(100));
}

} // namespace shuntjunction::state
