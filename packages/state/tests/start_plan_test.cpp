// Tests how a starting process finds out whether watchers of its zone serve it.

#include <gtest/gtest.h>

#include "shuntjunction/state/start_plan.h"
#include "shuntjunction/state/zone_watchers.h"

namespace shuntjunction::state {

namespace {

using namespace std::chrono_literals;

constexpr StartPlanSettings kSettings{};

} // namespace

class GivenAProcessThatStarts : public ::testing::Test
{
protected:
  TimePoint Now() const { return mClock.Now(); }

  /// Advances the clock to the next step, and returns it.
  StartStep Step()
  {
    mClock.Advance(std::max(mPlan.Due() - Now(), {}));
    return mPlan.Next();
  }

  ManualClock mClock;
  StartPlan mPlan{ kSettings, mClock.Now() };
};

TEST_F(GivenAProcessThatStarts, ItLooksAtTheCachedListFirst)
{
  EXPECT_EQ(Step(), StartStep::kLook);
  EXPECT_EQ(mPlan.Due(), Now());
}

TEST_F(GivenAProcessThatStarts, AProcessOfASmallFleetFollowsTheStoreAtOnce)
{
  mPlan.NoteLook(9, false, Now());
  EXPECT_EQ(Step(), StartStep::kFollowStore);
  EXPECT_EQ(mPlan.Due(), Now());
}

// A thousand processes that restarted together read all lists after one failed
// look each, and no call of theirs ended in time any more.
TEST_F(GivenAProcessThatStarts, AFailedLookIsRepeatedAtGrowingIntervals)
{
  auto before = 0ms;
  for (int i = 0; i < 4; ++i) {
    mPlan.NoteFailedLook(Now());
    const auto pause = std::chrono::duration_cast<Millis>(mPlan.Due() - Now());
    EXPECT_GT(pause, before);
    before = std::min(pause, kSettings.mLookPause - 1ms);
    EXPECT_EQ(Step(), StartStep::kLook);
  }
  {
    SCOPED_TRACE("until one succeeds");
    mPlan.NoteLook(640, true, Now());
    EXPECT_EQ(Step(), StartStep::kQuery);
  }
}

class WhoseStoreIsAwayForLong : public GivenAProcessThatStarts
{
protected:
  WhoseStoreIsAwayForLong()
  {
    const auto start = Now();
    while (Now() - start < 10 * kSettings.mMaxLookTime) {
      EXPECT_EQ(Step(), StartStep::kLook);
      EXPECT_LE(mPlan.Due() - Now(), kSettings.mLookPause);
      mPlan.NoteFailedLook(Now());
    }
    EXPECT_EQ(Step(), StartStep::kLook);
  }
};

// All processes that started meanwhile listed everything at the store's return.
TEST_F(WhoseStoreIsAwayForLong, ItLooksForWatchersOnceTheStoreIsBack)
{
  mPlan.NoteLook(640, true, Now());
  EXPECT_EQ(Step(), StartStep::kQuery);
}

TEST_F(WhoseStoreIsAwayForLong, AnEmptyListIsAwaitedAsIfItHadJustStarted)
{
  mPlan.NoteLook(0, false, Now());
  EXPECT_EQ(Step(), StartStep::kLook);
}

TEST_F(WhoseStoreIsAwayForLong, InASmallFleetTheStoreIsFollowedAtOnce)
{
  mPlan.NoteLook(9, false, Now());
  EXPECT_EQ(Step(), StartStep::kFollowStore);
  EXPECT_EQ(mPlan.Due(), Now());
}

TEST_F(GivenAProcessThatStarts, AProcessThatOthersQueryFollowsTheStore)
{
  mPlan.NoteLook(0, false, Now());
  mPlan.NoteIsWatcher(Now());
  EXPECT_EQ(Step(), StartStep::kFollowStore);
  EXPECT_EQ(mPlan.Due(), Now());
}

class InAFleetWithWatchers : public GivenAProcessThatStarts
{
protected:
  InAFleetWithWatchers() { mPlan.NoteLook(640, true, Now()); }
};

TEST_F(InAFleetWithWatchers, TheyAreQueriedAtOnceAndServe)
{
  EXPECT_EQ(Step(), StartStep::kQuery);
  EXPECT_EQ(mPlan.Due(), Now());
  mPlan.NoteResponse(WatcherResponse::kServes, Now());
  EXPECT_EQ(Step(), StartStep::kFollowZone);
}

TEST_F(InAFleetWithWatchers, ThatDoNotAnswerTheStoreIsFollowedSoon)
{
  const auto start = Now();
  while (Step() == StartStep::kQuery) {
    mPlan.NoteResponse(WatcherResponse::kNone, Now());
  }
  EXPECT_EQ(mPlan.Next(), StartStep::kFollowStore);
  EXPECT_LE(Now() - start, 500ms);
}

TEST_F(InAFleetWithWatchers, ThatStartThemselvesAreQueriedAgain)
{
  const auto start = Now();
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Step(), StartStep::kQuery);
    mPlan.NoteResponse(WatcherResponse::kNotReady, Now());
  }
  {
    SCOPED_TRACE("but not without end");
    while (Step() == StartStep::kQuery) {
      mPlan.NoteResponse(WatcherResponse::kNotReady, Now());
    }
    EXPECT_EQ(mPlan.Next(), StartStep::kFollowStore);
    EXPECT_LE(Now() - start, kSettings.mMaxQueryTime + kSettings.mQueryPause);
  }
}

class InAFleetThatStarts : public GivenAProcessThatStarts
{
protected:
  InAFleetThatStarts() { mPlan.NoteLook(0, false, Now()); }
};

TEST_F(InAFleetThatStarts, ItLooksAgainWhileEndpointsRegister)
{
  for (const std::size_t endpoints : { 2, 7, 12 }) {
    EXPECT_EQ(Step(), StartStep::kLook);
    mPlan.NoteLook(endpoints, false, Now());
  }
  EXPECT_TRUE(mPlan.IsFleetStarting());
  EXPECT_EQ(Step(), StartStep::kLook);
  mPlan.NoteLook(120, true, Now());
  EXPECT_EQ(Step(), StartStep::kQuery);
}

TEST_F(InAFleetThatStarts, AFewThatStayFewAreASmallFleet)
{
  EXPECT_EQ(Step(), StartStep::kLook);
  mPlan.NoteLook(9, false, Now());
  EXPECT_EQ(Step(), StartStep::kLook);
  mPlan.NoteLook(9, false, Now());
  EXPECT_EQ(Step(), StartStep::kFollowStore);
}

TEST_F(InAFleetThatStarts, AnEmptyFleetIsNotAwaitedForLong)
{
  const auto start = Now();
  int looks = 0;
  while (Step() == StartStep::kLook) {
    mPlan.NoteLook(0, false, Now());
    ++looks;
  }
  EXPECT_EQ(mPlan.Next(), StartStep::kFollowStore);
  EXPECT_LE(Now() - start, kSettings.mMaxLookTime + kSettings.mLookPause);
  EXPECT_LE(looks, 7);
}

class GivenAnOrderOfWatchers : public ::testing::Test
{
protected:
  using Names = std::vector<std::string>;

  GivenAnOrderOfWatchers() { mOrder.Select({ "a", "b" }, Now()); }

  TimePoint Now() const { return mClock.Now(); }

  ManualClock mClock;
  WatcherOrder mOrder{ 3s };
};

TEST_F(GivenAnOrderOfWatchers, TheyAreQueriedAsSelected)
{
  EXPECT_EQ(mOrder.At(Now()), (Names{ "a", "b" }));
  mOrder.NoteServing("b");
  mClock.Advance(4s);
  EXPECT_EQ(mOrder.At(Now()), (Names{ "a", "b" }));
}

// While 640 engines registered, each process moved to three watchers one after
// the other, and each had to send it the whole list.
TEST_F(GivenAnOrderOfWatchers, TheOneThatServesIsKeptUntilTheSelectionSettles)
{
  mOrder.NoteServing("a");
  mOrder.Select({ "c", "a" }, Now());
  mClock.Advance(2s);
  mOrder.Select({ "d", "c" }, Now());
  mClock.Advance(2s);
  EXPECT_EQ(mOrder.At(Now()), (Names{ "a", "d", "c" }));
  EXPECT_FALSE(mOrder.IsSettled(Now()));
  mClock.Advance(2s);
  EXPECT_EQ(mOrder.At(Now()), (Names{ "d", "c", "a" }));
  {
    SCOPED_TRACE("and left when another serves");
    mOrder.NoteServing("d");
    EXPECT_EQ(mOrder.At(Now()), (Names{ "d", "c" }));
  }
}

TEST_F(GivenAnOrderOfWatchers, OneThatFailsIsNotKept)
{
  mOrder.NoteServing("a");
  mOrder.Select({ "c", "b" }, Now());
  mOrder.NoteFailure("a");
  EXPECT_EQ(mOrder.At(Now()), (Names{ "c", "b" }));
}

} // namespace shuntjunction::state
