// Detection of overload by the delay of a timer.

#include <gtest/gtest.h>

#include "shuntjunction/state/overload_guard.h"

namespace shuntjunction::state {

class GivenAGuard : public ::testing::Test
{
protected:
  void Check(Millis aDelay, int aTimes = 1)
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
  Check(Millis(4000));
  Check(Millis(0));
  Check(Millis(4000));
  EXPECT_FALSE(mGuard.MustRefuse(5));
}

TEST_F(GivenAGuard, NorIsAProcessThatIsOftenALittleLate)
{
  Check(Millis(95), 100);
  EXPECT_FALSE(mGuard.MustRefuse(5));
}

class ThatIsLateAgainAndAgain : public GivenAGuard
{
protected:
  ThatIsLateAgainAndAgain()
  {
    Check(mSettings.mLateDelay, mSettings.mLateChecks);
  }
};

TEST_F(ThatIsLateAgainAndAgain, TheMostUrgentRequestsAreRefusedLast)
{
  EXPECT_TRUE(mGuard.MustRefuse(1));
  EXPECT_FALSE(mGuard.MustRefuse(0));
  Check(mSettings.mLateDelay, mSettings.mLateChecksUrgent);
  EXPECT_TRUE(mGuard.MustRefuse(0));
}

TEST_F(ThatIsLateAgainAndAgain, AllRequestsAreAcceptedAgainOnceItIsOnTime)
{
  Check(Millis(100));
  EXPECT_TRUE(mGuard.IsOverloaded());
  Check(Millis(5));
  EXPECT_FALSE(mGuard.IsOverloaded());
}

} // namespace shuntjunction::state
