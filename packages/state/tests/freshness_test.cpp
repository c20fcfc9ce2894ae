// State that is confirmed by long-poll requests, and whose source stops
// responding.

#include <gtest/gtest.h>

#include "shuntjunction/state/freshness.h"

namespace shuntjunction::state {

class GivenConfirmedState : public ::testing::Test
{
protected:
  static constexpr Millis kBound{ 5000 };

  /// A request that waits for its full time and is then answered.
  void AskOnce()
  {
    const auto askedAt = mClock.Now();
    mClock.Advance(ConfirmationWait(kBound));
    mFreshness.Confirm(askedAt);
  }

  ManualClock mClock;
  Freshness mFreshness;
};

TEST_F(GivenConfirmedState, ItsAgeIsMaximalBeforeItIsConfirmed)
{
  EXPECT_FALSE(mFreshness.IsKnown());
  EXPECT_EQ(mFreshness.Age(mClock.Now()), Millis::max());
}

TEST_F(GivenConfirmedState, AResponseConfirmsTheTimeOfItsRequest)
{
  AskOnce();
  EXPECT_EQ(mFreshness.Age(mClock.Now()), ConfirmationWait(kBound));
}

TEST_F(GivenConfirmedState, AnOlderConfirmationChangesNothing)
{
  AskOnce();
  const auto before = mFreshness.Age(mClock.Now());
  mFreshness.Confirm(mClock.Now() - kBound);
  EXPECT_EQ(mFreshness.Age(mClock.Now()), before);
}

class WhoseSourceFailsAtTheWorstMoment : public GivenConfirmedState
{
protected:
  WhoseSourceFailsAtTheWorstMoment()
  {
    AskOnce();
    AskOnce();
    // The next request is about to be answered.
    mClock.Advance(ConfirmationWait(kBound));
  }
};

TEST_F(WhoseSourceFailsAtTheWorstMoment, AnOutageOfHalfTheBoundIsTolerated)
{
  mClock.Advance(kBound / 2);
  EXPECT_LT(mFreshness.Age(mClock.Now()), kBound);
}

TEST_F(WhoseSourceFailsAtTheWorstMoment, TheBoundHolds)
{
  mClock.Advance(kBound - 2 * ConfirmationWait(kBound));
  EXPECT_GE(mFreshness.Age(mClock.Now()), kBound);
}

} // namespace shuntjunction::state
