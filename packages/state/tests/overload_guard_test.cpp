// The story of a process that gets more work than it can answer.

#include <gtest/gtest.h>

#include "shuntjunction/state/overload_guard.h"

namespace shuntjunction::state {

class GivenAGuard : public ::testing::Test
{
protected:
  void Look(Millis aDelay, int aTimes = 1)
  {
    for (int i = 0; i < aTimes; ++i) {
      mGuard.NoteTimerDelay(aDelay);
    }
  }

  const OverloadSettings mSettings;
  OverloadGuard mGuard;
};

TEST_F(GivenAGuard, OnePauseOfTheMachineIsNoOverload)
{
  Look(Millis(4000));
  Look(Millis(0));
  Look(Millis(4000));
  EXPECT_FALSE(mGuard.MustRefuse(5));
}

TEST_F(GivenAGuard, NorIsAProcessThatIsOftenALittleLate)
{
  Look(Millis(95), 100);
  EXPECT_FALSE(mGuard.MustRefuse(5));
}

class ThatIsLateAgainAndAgain : public GivenAGuard
{
protected:
  ThatIsLateAgainAndAgain() { Look(mSettings.mLate, mSettings.mLateLooks); }
};

TEST_F(ThatIsLateAgainAndAgain, TheMostUrgentWorkIsRefusedLast)
{
  EXPECT_TRUE(mGuard.MustRefuse(1));
  EXPECT_FALSE(mGuard.MustRefuse(0));
  Look(mSettings.mLate, mSettings.mLateLooksUrgent);
  EXPECT_TRUE(mGuard.MustRefuse(0));
}

TEST_F(ThatIsLateAgainAndAgain, AllIsTakenAgainOnceItIsOnTime)
{
  Look(Millis(100));
  EXPECT_TRUE(mGuard.IsOverloaded());
  Look(Millis(5));
  EXPECT_FALSE(mGuard.IsOverloaded());
}

} // namespace shuntjunction::state
