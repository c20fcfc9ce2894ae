// A watched list, and what responses about other objects show about it.

#include <gtest/gtest.h>

#include "shuntjunction/state/list_freshness.h"

namespace shuntjunction::state {

class GivenAWatchedList : public ::testing::Test
{
protected:
  GivenAWatchedList() { mList.NoteListRevision(10, mClock.Now()); }

  ManualClock mClock;
  ListFreshness mList;
};

TEST_F(GivenAWatchedList, AResponseOfAnUnchangedStoreConfirmsIt)
{
  mClock.Advance(Millis(700));
  mList.NoteStoreRevision(10, mClock.Now());
  EXPECT_FALSE(mList.IsBehind());
  EXPECT_EQ(mList.Age(mClock.Now()), Millis(0));
}

TEST_F(GivenAWatchedList, AnUndeliveredChangeLeavesItBehind)
{
  mClock.Advance(Millis(700));
  mList.NoteStoreRevision(11, mClock.Now());
  EXPECT_TRUE(mList.IsBehind());
  EXPECT_EQ(mList.Age(mClock.Now()), Millis(700));
  {
    SCOPED_TRACE("the list's own watch delivers the change");
    mList.NoteListRevision(11, mClock.Now());
    EXPECT_FALSE(mList.IsBehind());
    EXPECT_EQ(mList.Age(mClock.Now()), Millis(0));
  }
}

TEST_F(GivenAWatchedList, ChangesOfOtherObjectsDoNot)
{
  SCOPED_TRACE("reported in any order");
  mList.NoteOtherRevision(12);
  mList.NoteOtherRevision(11);
  mList.NoteStoreRevision(12, mClock.Now());
  EXPECT_FALSE(mList.IsBehind());
}

TEST_F(GivenAWatchedList, OneBetweenChangesOfOtherObjectsDoes)
{
  mList.NoteOtherRevision(11);
  mList.NoteOtherRevision(13);
  mList.NoteStoreRevision(13, mClock.Now());
  EXPECT_TRUE(mList.IsBehind());
  EXPECT_EQ(mList.Known(), 11U);
  mList.NoteListRevision(12, mClock.Now());
  EXPECT_FALSE(mList.IsBehind());
}

TEST_F(GivenAWatchedList, StoredChangesOfOtherObjectsAreBounded)
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
