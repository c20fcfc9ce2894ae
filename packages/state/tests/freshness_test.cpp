// The story of a belief that is confirmed by questions which wait for news, and
// of its source falling silent.

#include <gtest/gtest.h>

#include "shuntjunction/state/freshness.h"

namespace shuntjunction::state {

class GivenABelief : public ::testing::Test
{
protected:
  static constexpr Millis kBound{ 5000 };

  /// One question that waits its full time and is then answered.
  void AskOnce()
  {
    const auto askedAt = mClock.Now();
    mClock.Advance(ConfirmationWait(kBound));
    mBelief.Confirm(askedAt);
  }

  ManualClock mClock;
  Freshness mBelief;
};

TEST_F(GivenABelief, ItIsVeryOldBeforeItIsConfirmed)
{
  EXPECT_FALSE(mBelief.IsKnown());
  EXPECT_EQ(mBelief.Age(mClock.Now()), Millis::max());
}

TEST_F(GivenABelief, AnAnswerConfirmsTheMomentOfItsQuestion)
{
  AskOnce();
  EXPECT_EQ(mBelief.Age(mClock.Now()), ConfirmationWait(kBound));
}

TEST_F(GivenABelief, AnOlderConfirmationChangesNothing)
{
  AskOnce();
  const auto before = mBelief.Age(mClock.Now());
  mBelief.Confirm(mClock.Now() - kBound);
  EXPECT_EQ(mBelief.Age(mClock.Now()), before);
}

class WhoseSourceFallsSilentAtTheWorstMoment : public GivenABelief
{
protected:
  WhoseSourceFallsSilentAtTheWorstMoment()
  {
    AskOnce();
    AskOnce();
    // The next question is about to be answered.
    mClock.Advance(ConfirmationWait(kBound));
  }
};

TEST_F(WhoseSourceFallsSilentAtTheWorstMoment, HalfOfTheBoundIsStillBorne)
{
  mClock.Advance(kBound / 2);
  EXPECT_LT(mBelief.Age(mClock.Now()), kBound);
}

TEST_F(WhoseSourceFallsSilentAtTheWorstMoment, TheBoundHolds)
{
  mClock.Advance(kBound - 2 * ConfirmationWait(kBound));
  EXPECT_GE(mBelief.Age(mClock.Now()), kBound);
}

} // namespace shuntjunction::state
