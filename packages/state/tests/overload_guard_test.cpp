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
      mClock.Advance(mSettings.mCheckInterval + aDelay);
      mGuard.NoteCheck(aDelay, mClock.Now());
    }
  }

  bool MustRefuse(int aUrgency) const
  {
    return mGuard.MustRefuse(aUrgency, mClock.Now());
  }

  const OverloadSettings mSettings;
  ManualClock mClock;
  OverloadGuard mGuard;
};

TEST_F(GivenAGuard, OnePauseOfTheMachineIsNoOverload)
{
  Check(Millis(4000));
  Check(Millis(0));
  Check(Millis(4000));
  EXPECT_FALSE(MustRefuse(5));
}

TEST_F(GivenAGuard, NorIsAProcessThatIsOftenALittleLate)
{
  Check(Millis(95), 100);
  EXPECT_FALSE(MustRefuse(5));
}

// A burst on many connections was served in turns of seconds: a guard that
// counts late checks detected the overload only at the third.
class InATurnThatTakesLong : public GivenAGuard
{
protected:
  InATurnThatTakesLong()
  {
    Check(Millis(0));
    mClock.Advance(mSettings.mLateTurn);
  }
};

TEST_F(InATurnThatTakesLong, ItsLaterRequestsAreRefusedTheMostUrgentLast)
{
  EXPECT_TRUE(MustRefuse(1));
  EXPECT_FALSE(MustRefuse(0));
  mClock.Advance(mSettings.mLateTurnUrgent - mSettings.mLateTurn);
  EXPECT_TRUE(MustRefuse(0));
}

TEST_F(InATurnThatTakesLong, RequestsOfTheNextTurnAreAccepted)
{
  Check(Millis(0));
  EXPECT_FALSE(MustRefuse(1));
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
  EXPECT_TRUE(MustRefuse(1));
  EXPECT_FALSE(MustRefuse(0));
  Check(mSettings.mLateDelay, mSettings.mLateChecksUrgent);
  EXPECT_TRUE(MustRefuse(0));
}

TEST_F(ThatIsLateAgainAndAgain, AllRequestsAreAcceptedAgainOnceItIsOnTime)
{
  Check(Millis(100));
  EXPECT_TRUE(mGuard.IsOverloaded());
  Check(Millis(5));
  EXPECT_FALSE(mGuard.IsOverloaded());
}

} // namespace shuntjunction::state
