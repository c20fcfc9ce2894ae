// The story of what waits at an engine, and of when a request sees its first
// token there.

#include <gtest/gtest.h>

#include "shuntjunction/state/waiting_tokens.h"

namespace shuntjunction::state {

class GivenWaitingTokens : public ::testing::Test
{
protected:
  GivenWaitingTokens()
  {
    mWaiting.Add(0, 100);
    mWaiting.Add(3, 1000);
  }

  WaitingTokens mWaiting;
};

TEST_F(GivenWaitingTokens, OnlyTheMoreUrgentAndAsUrgentAreAhead)
{
  EXPECT_EQ(mWaiting.AheadOf(0), 100);
  EXPECT_EQ(mWaiting.AheadOf(2), 100);
  EXPECT_EQ(mWaiting.AheadOf(3), 1100);
  EXPECT_EQ(mWaiting.Total(), 1100);
}

TEST_F(GivenWaitingTokens, AnUrgencyBeyondTheLevelsCountsAsTheNearest)
{
  mWaiting.Add(-4, 1);
  mWaiting.Add(70, 10);
  EXPECT_EQ(mWaiting.AheadOf(-1), 101);
  EXPECT_EQ(mWaiting.AheadOf(12), 1111);
}

TEST_F(GivenWaitingTokens, MoreIsNeverTakenBackThanThereIs)
{
  mWaiting.Remove(3, 5000);
  EXPECT_EQ(mWaiting.Total(), 100);
}

TEST_F(GivenWaitingTokens, AbsurdCountsOfAPeerAreBounded)
{
  const WaitingTokens told(
    WaitingTokens::Levels{ -5, INT64_MAX, 0, 0, 0, 0, 0, 0, 0, 7 });
  EXPECT_EQ(told.AheadOf(0), 0);
  EXPECT_LT(told.Total(), 100'000'000);
}

} // namespace shuntjunction::state
