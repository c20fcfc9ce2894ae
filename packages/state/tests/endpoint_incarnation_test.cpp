// The story of endpoints that start again under the id that they had, and of
// words about their former lives that come late.

#include <gtest/gtest.h>

#include "shuntjunction/state/endpoint_directory.h"
#include "shuntjunction/state/endpoint_incarnation.h"
#include "shuntjunction/state/part_record_table.h"

namespace shuntjunction::state {
namespace {

using namespace std::chrono_literals;

const EndpointIncarnation kFirst(1'000);
const EndpointIncarnation kSecond(2'000);

} // namespace

class GivenALife : public ::testing::Test
{
protected:
  GivenALife() { mTracker.Take(kFirst, mClock.Now()); }

  IncarnationUpdate Hear(EndpointIncarnation aLife)
  {
    return mTracker.Take(aLife, mClock.Now());
  }

  ManualClock mClock;
  IncarnationTracker mTracker;
};

TEST_F(GivenALife, ItsOwnWordsAreOfTheSame)
{
  EXPECT_EQ(Hear(kFirst), IncarnationUpdate::kSame);
}

TEST_F(GivenALife, AnEndpointThatTellsNoStartIsTakenAsTheSame)
{
  EXPECT_EQ(Hear(EndpointIncarnation()), IncarnationUpdate::kSame);
  EXPECT_EQ(mTracker.Current(), kFirst);
}

TEST_F(GivenALife, ALaterStartIsBelievedAtOnce)
{
  EXPECT_EQ(Hear(kSecond), IncarnationUpdate::kNewer);
  EXPECT_EQ(mTracker.Current(), kSecond);
}

class ThatAnotherFollowed : public GivenALife
{
protected:
  ThatAnotherFollowed() { Hear(kSecond); }
};

TEST_F(ThatAnotherFollowed, WordsOfTheFormerThatComeLateChangeNothing)
{
  EXPECT_EQ(Hear(kFirst), IncarnationUpdate::kFormer);
  EXPECT_EQ(mTracker.Current(), kSecond);
}

TEST_F(ThatAnotherFollowed, NorDoTheyWhileTheOtherIsHeardToo)
{
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Hear(kFirst), IncarnationUpdate::kFormer);
    mClock.Advance(1s);
    EXPECT_EQ(Hear(kSecond), IncarnationUpdate::kSame);
  }
}

// A clock that ran ahead was set right before the endpoint started again: its
// later life names the earlier moment.
TEST_F(ThatAnotherFollowed, AnEarlierStartIsBelievedOnceOnlyThatIsHeard)
{
  EXPECT_EQ(Hear(kFirst), IncarnationUpdate::kFormer);
  mClock.Advance(kFormerIncarnationGrace - 1ms);
  EXPECT_EQ(Hear(kFirst), IncarnationUpdate::kFormer);
  mClock.Advance(1ms);
  EXPECT_EQ(Hear(kFirst), IncarnationUpdate::kNewer);
  EXPECT_EQ(mTracker.Current(), kFirst);
}

TEST_F(ThatAnotherFollowed, WhatTheEndpointAnswersItselfIsBelievedAtOnce)
{
  EXPECT_EQ(mTracker.TakeSelfReport(kFirst), IncarnationUpdate::kNewer);
  EXPECT_EQ(mTracker.Current(), kFirst);
}

class GivenAListedEndpoint : public ::testing::Test
{
protected:
  GivenAListedEndpoint() { Put(kFirst, 5); }

  void Put(EndpointIncarnation aLife,
           std::uint64_t aRevision,
           bool aIsLeaving = false)
  {
    EndpointInfo info;
    info.mId = "a";
    info.mAddress = "1:" + std::to_string(aRevision);
    info.mEndpointIncarnation = aLife;
    info.mRevision = aRevision;
    info.mIsLeaving = aIsLeaving;
    mDirectory.Put(info, mClock.Now());
  }

  EndpointInfo Listed() const { return mDirectory.Endpoints().at(0); }

  ManualClock mClock;
  EndpointDirectory mDirectory;
};

TEST_F(GivenAListedEndpoint, ItsNextLifeTakesItsPlace)
{
  Put(kSecond, 6);
  EXPECT_EQ(Listed().mEndpointIncarnation, kSecond);
  EXPECT_EQ(Listed().mAddress, "1:6");
}

TEST_F(GivenAListedEndpoint, ALateEntryOfItsFormerLifeChangesNothing)
{
  Put(kSecond, 6);
  Put(kFirst, 7);
  EXPECT_EQ(Listed().mAddress, "1:6");
  EXPECT_EQ(mDirectory.StaleReports(), 1U);
  {
    SCOPED_TRACE("a list that holds it is no further word");
    Put(kFirst, 7);
    EXPECT_EQ(mDirectory.StaleReports(), 1U);
  }
  {
    SCOPED_TRACE("the life itself writes again");
    Put(kSecond, 8);
    mClock.Advance(10s);
    EXPECT_FALSE(mDirectory.Expire(mClock.Now()));
    EXPECT_EQ(Listed().mAddress, "1:8");
  }
}

TEST_F(GivenAListedEndpoint, ThatItLeavesCountsWhicheverLifeSaysSo)
{
  Put(kSecond, 6);
  Put(kFirst, 7, true);
  EXPECT_TRUE(Listed().mIsLeaving);
  Put(kSecond, 8);
  EXPECT_FALSE(Listed().mIsLeaving);
}

TEST_F(GivenAListedEndpoint, AnEarlierStartThatStaysIsBelieved)
{
  Put(kSecond, 6);
  Put(kFirst, 7);
  mClock.Advance(kFormerIncarnationGrace);
  EXPECT_TRUE(mDirectory.Expire(mClock.Now()));
  EXPECT_EQ(Listed().mEndpointIncarnation, kFirst);
  EXPECT_EQ(Listed().mAddress, "1:7");
}

TEST_F(GivenAListedEndpoint, AnEntryThatNamesNoEndpointGoesAlsoAfterAnOutage)
{
  mDirectory.NoteOutage(mClock.Now());
  EXPECT_TRUE(mDirectory.Drop("a"));
  EXPECT_TRUE(mDirectory.Endpoints().empty());
  EXPECT_FALSE(mDirectory.Drop("a"));
  Put(kFirst, 9);
  EXPECT_EQ(mDirectory.Endpoints().size(), 1U);
}

TEST(GivenPartsThatAreBeingRead, ThoseOfAnEndingLifeAreNotWaitedFor)
{
  ManualClock clock;
  clock.Advance(1s);
  PartRecordTable ledger(8);
  for (const char* reader : { "a", "b" }) {
    auto& record = ledger.At(std::string("part of ") + reader);
    record.mPrefillStartedAt = clock.Now();
    record.mPrefillEndpoint = reader;
  }
  ledger.ForgetPrefillsOf("a");
  EXPECT_FALSE(ledger.At("part of a").IsPrefilling());
  EXPECT_TRUE(ledger.At("part of b").IsPrefilling());
}

} // namespace shuntjunction::state
