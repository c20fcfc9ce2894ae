// Endpoints that restart under the same id, and delayed reports about their
// former incarnations.

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

class GivenAnIncarnation : public ::testing::Test
{
protected:
  GivenAnIncarnation() { mTracker.Take(kFirst, mClock.Now()); }

  IncarnationUpdate Report(EndpointIncarnation aIncarnation)
  {
    return mTracker.Take(aIncarnation, mClock.Now());
  }

  ManualClock mClock;
  IncarnationTracker mTracker;
};

TEST_F(GivenAnIncarnation, ItsOwnReportsChangeNothing)
{
  EXPECT_EQ(Report(kFirst), IncarnationUpdate::kSame);
}

TEST_F(GivenAnIncarnation, AReportWithoutAStartChangesNothing)
{
  EXPECT_EQ(Report(EndpointIncarnation()), IncarnationUpdate::kSame);
  EXPECT_EQ(mTracker.Current(), kFirst);
}

TEST_F(GivenAnIncarnation, ALaterStartIsAcceptedAtOnce)
{
  EXPECT_EQ(Report(kSecond), IncarnationUpdate::kNewer);
  EXPECT_EQ(mTracker.Current(), kSecond);
}

class ThatWasReplaced : public GivenAnIncarnation
{
protected:
  ThatWasReplaced() { Report(kSecond); }
};

TEST_F(ThatWasReplaced, DelayedReportsOfTheFormerChangeNothing)
{
  EXPECT_EQ(Report(kFirst), IncarnationUpdate::kFormer);
  EXPECT_EQ(mTracker.Current(), kSecond);
}

TEST_F(ThatWasReplaced, NorDoTheyWhileTheNewerIsReportedToo)
{
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Report(kFirst), IncarnationUpdate::kFormer);
    mClock.Advance(1s);
    EXPECT_EQ(Report(kSecond), IncarnationUpdate::kSame);
  }
}

// The endpoint's clock ran ahead and was corrected before a restart, so the
// newer incarnation reports an earlier start.
TEST_F(ThatWasReplaced, AnEarlierStartIsAcceptedOnceItAloneIsReported)
{
  EXPECT_EQ(Report(kFirst), IncarnationUpdate::kFormer);
  mClock.Advance(kFormerIncarnationGrace - 1ms);
  EXPECT_EQ(Report(kFirst), IncarnationUpdate::kFormer);
  mClock.Advance(1ms);
  EXPECT_EQ(Report(kFirst), IncarnationUpdate::kNewer);
  EXPECT_EQ(mTracker.Current(), kFirst);
}

TEST_F(ThatWasReplaced, TheEndpointsOwnResponseIsAcceptedAtOnce)
{
  EXPECT_EQ(mTracker.TakeSelfReport(kFirst), IncarnationUpdate::kNewer);
  EXPECT_EQ(mTracker.Current(), kFirst);
}

class GivenADirectoryWithAnEndpoint : public ::testing::Test
{
protected:
  GivenADirectoryWithAnEndpoint() { Put(kFirst, 5); }

  void Put(EndpointIncarnation aIncarnation,
           std::uint64_t aRevision,
           bool aIsLeaving = false)
  {
    EndpointInfo info;
    info.mId = "a";
    info.mAddress = "1:" + std::to_string(aRevision);
    info.mEndpointIncarnation = aIncarnation;
    info.mRevision = aRevision;
    info.mIsLeaving = aIsLeaving;
    mDirectory.Put(info, mClock.Now());
  }

  EndpointInfo Listed() const { return mDirectory.Endpoints().at(0); }

  ManualClock mClock;
  EndpointDirectory mDirectory;
};

TEST_F(GivenADirectoryWithAnEndpoint, ItsNextIncarnationReplacesIt)
{
  Put(kSecond, 6);
  EXPECT_EQ(Listed().mEndpointIncarnation, kSecond);
  EXPECT_EQ(Listed().mAddress, "1:6");
}

TEST_F(GivenADirectoryWithAnEndpoint,
       ADelayedEntryOfItsFormerIncarnationChangesNothing)
{
  Put(kSecond, 6);
  Put(kFirst, 7);
  EXPECT_EQ(Listed().mAddress, "1:6");
  EXPECT_EQ(mDirectory.StaleReports(), 1U);
  {
    SCOPED_TRACE("a list that repeats it is not counted again");
    Put(kFirst, 7);
    EXPECT_EQ(mDirectory.StaleReports(), 1U);
  }
  {
    SCOPED_TRACE("the current incarnation writes again");
    Put(kSecond, 8);
    mClock.Advance(10s);
    EXPECT_FALSE(mDirectory.Expire(mClock.Now()));
    EXPECT_EQ(Listed().mAddress, "1:8");
  }
}

TEST_F(GivenADirectoryWithAnEndpoint, ItIsLeavingWhicheverIncarnationReportsIt)
{
  Put(kSecond, 6);
  Put(kFirst, 7, true);
  EXPECT_TRUE(Listed().mIsLeaving);
  Put(kSecond, 8);
  EXPECT_FALSE(Listed().mIsLeaving);
}

TEST_F(GivenADirectoryWithAnEndpoint, AnEarlierStartThatPersistsIsAccepted)
{
  Put(kSecond, 6);
  Put(kFirst, 7);
  mClock.Advance(kFormerIncarnationGrace);
  EXPECT_TRUE(mDirectory.Expire(mClock.Now()));
  EXPECT_EQ(Listed().mEndpointIncarnation, kFirst);
  EXPECT_EQ(Listed().mAddress, "1:7");
}

TEST_F(GivenADirectoryWithAnEndpoint,
       AnEntryThatIsNoEndpointIsDroppedEvenAfterAnOutage)
{
  mDirectory.NoteOutage(mClock.Now());
  EXPECT_TRUE(mDirectory.Drop("a"));
  EXPECT_TRUE(mDirectory.Endpoints().empty());
  EXPECT_FALSE(mDirectory.Drop("a"));
  Put(kFirst, 9);
  EXPECT_EQ(mDirectory.Endpoints().size(), 1U);
}

TEST(GivenPartsThatAreBeingPrefilled, ThoseOfAnEndedEndpointAreNotWaitedFor)
{
  ManualClock clock;
  clock.Advance(1s);
  PartRecordTable table(8);
  for (const char* endpoint : { "a", "b" }) {
    auto& record = table.At(std::string("part of ") + endpoint);
    record.mPrefillStartedAt = clock.Now();
    record.mPrefillEndpoint = endpoint;
  }
  table.ForgetPrefillsOf("a");
  EXPECT_FALSE(table.At("part of a").IsPrefilling());
  EXPECT_TRUE(table.At("part of b").IsPrefilling());
}

} // namespace shuntjunction::state
