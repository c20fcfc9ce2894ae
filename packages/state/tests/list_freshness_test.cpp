// The story of a list that a watch follows, and of what answers about other
// objects tell of it.

#include <gtest/gtest.h>

#include "shuntjunction/state/list_freshness.h"

namespace shuntjunction::state {

class GivenAFollowedList : public ::testing::Test
{
protected:
  GivenAFollowedList() { mList.NoteListRevision(10, mClock.Now()); }

  ManualClock mClock;
  ListFreshness mList;
};

TEST_F(GivenAFollowedList, AnAnswerOfAnUnchangedStoreConfirmsIt)
{
  mClock.Advance(Millis(700));
  mList.NoteStoreRevision(10, mClock.Now());
  EXPECT_FALSE(mList.IsBehind());
  EXPECT_EQ(mList.Age(mClock.Now()), Millis(0));
}

TEST_F(GivenAFollowedList, AChangeThatNobodyToldLeavesItBehind)
{
  mClock.Advance(Millis(700));
  mList.NoteStoreRevision(11, mClock.Now());
  EXPECT_TRUE(mList.IsBehind());
  EXPECT_EQ(mList.Age(mClock.Now()), Millis(700));
  {
    SCOPED_TRACE("until its own watch tells");
    mList.NoteListRevision(11, mClock.Now());
    EXPECT_FALSE(mList.IsBehind());
    EXPECT_EQ(mList.Age(mClock.Now()), Millis(0));
  }
}

TEST_F(GivenAFollowedList, ChangesOfOthersDoNot)
{
  SCOPED_TRACE("told in any order");
  mList.NoteOtherRevision(12);
  mList.NoteOtherRevision(11);
  mList.NoteStoreRevision(12, mClock.Now());
  EXPECT_FALSE(mList.IsBehind());
}

TEST_F(GivenAFollowedList, OneBetweenChangesOfOthersDoes)
{
  mList.NoteOtherRevision(11);
  mList.NoteOtherRevision(13);
  mList.NoteStoreRevision(13, mClock.Now());
  EXPECT_TRUE(mList.IsBehind());
  EXPECT_EQ(mList.Known(), 11U);
  mList.NoteListRevision(12, mClock.Now());
  EXPECT_FALSE(mList.IsBehind());
}

TEST_F(GivenAFollowedList, ManyChangesOfOthersAreNotKeptForGood)
{
  for (std::uint64_t revision = 12; revision < 20000; ++revision) {
    mList.NoteOtherRevision(revision);
  }
  mList.NoteStoreRevision(19999, mClock.Now());
  EXPECT_TRUE(mList.IsBehind());
  mList.NoteListRevision(19999, mClock.Now());
  EXPECT_FALSE(mList.IsBehind());
}

} // namespace shuntjunction::state
