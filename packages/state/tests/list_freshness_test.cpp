// The story of a list that a watch follows, and of what answers about other
// objects tell of it.

#include <gtest/gtest.h>

#include "shuntjunction/state/list_freshness.h"

namespace shuntjunction::state {

class GivenAFollowedList : public ::testing::Test
{
protected:
  GivenAFollowedList() { mList.TakeOwn(10, mClock.Now()); }

  ManualClock mClock;
  ListFreshness mList;
};

TEST_F(GivenAFollowedList, AnAnswerOfAnUnchangedStoreConfirmsIt)
{
  mClock.Advance(Millis(700));
  mList.TakeStore(10, mClock.Now());
  EXPECT_FALSE(mList.IsBehind());
  EXPECT_EQ(mList.Age(mClock.Now()), Millis(0));
}

TEST_F(GivenAFollowedList, AChangeThatNobodyToldLeavesItBehind)
{
  mClock.Advance(Millis(700));
  mList.TakeStore(11, mClock.Now());
  EXPECT_TRUE(mList.IsBehind());
  EXPECT_EQ(mList.Age(mClock.Now()), Millis(700));
  {
    SCOPED_TRACE("until its own watch tells");
    mList.TakeOwn(11, mClock.Now());
    EXPECT_FALSE(mList.IsBehind());
    EXPECT_EQ(mList.Age(mClock.Now()), Millis(0));
  }
}

TEST_F(GivenAFollowedList, ChangesOfOthersDoNot)
{
  SCOPED_TRACE("told in any order");
  mList.TakeOther(12);
  mList.TakeOther(11);
  mList.TakeStore(12, mClock.Now());
  EXPECT_FALSE(mList.IsBehind());
}

TEST_F(GivenAFollowedList, OneBetweenChangesOfOthersDoes)
{
  mList.TakeOther(11);
  mList.TakeOther(13);
  mList.TakeStore(13, mClock.Now());
  EXPECT_TRUE(mList.IsBehind());
  EXPECT_EQ(mList.Known(), 11U);
  mList.TakeOwn(12, mClock.Now());
  EXPECT_FALSE(mList.IsBehind());
}

TEST_F(GivenAFollowedList, ManyChangesOfOthersAreNotKeptForGood)
{
  for (std::uint64_t revision = 12; revision < 20000; ++revision) {
    mList.TakeOther(revision);
  }
  mList.TakeStore(19999, mClock.Now());
  EXPECT_TRUE(mList.IsBehind());
  mList.TakeOwn(19999, mClock.Now());
  EXPECT_FALSE(mList.IsBehind());
}

} // namespace shuntjunction::state
