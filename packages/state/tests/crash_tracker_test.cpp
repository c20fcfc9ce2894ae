// The story of crashes: who ran there each time is refused, and who only ran
// beside it is not.

#include <gtest/gtest.h>

#include "shuntjunction/state/crash_tracker.h"

namespace shuntjunction::state {
namespace {

RequestDigest
Request(int aNumber, std::string_view aTeam = "team")
{
  const std::string body = std::to_string(aNumber);
  return RequestDigest({ "POST", "h", "/p", aTeam, body });
}

class GivenACrashLedger : public ::testing::Test
{
protected:
  /// An endpoint crashes while a request runs there.
  bool Crash(const RequestDigest& aRequest, std::uint64_t aEndpoint)
  {
    return mLedger.Note({ aRequest, aEndpoint }, mClock.Now());
  }

  bool IsRefused(const RequestDigest& aRequest) const
  {
    return mLedger.QuarantineLeft(aRequest, mClock.Now()) > Millis(0);
  }

  CrashTrackerSettings mSettings;
  CrashTracker mLedger{ mSettings };
  ManualClock mClock;
  const RequestDigest mCulprit = Request(1);
};

TEST_F(GivenACrashLedger, AThirdCrashUnderOneRequestQuarantinesIt)
{
  EXPECT_TRUE(Crash(mCulprit, 10));
  EXPECT_TRUE(Crash(mCulprit, 11));
  EXPECT_FALSE(IsRefused(mCulprit));
  EXPECT_TRUE(Crash(mCulprit, 12));
  EXPECT_TRUE(IsRefused(mCulprit));
  EXPECT_FALSE(IsRefused(Request(2)));
}

TEST_F(GivenACrashLedger, OneCrashSeenByManyIsOne)
{
  EXPECT_TRUE(Crash(mCulprit, 10));
  mClock.Advance(mSettings.mDuplicateWindow / 2);
  EXPECT_FALSE(Crash(mCulprit, 10));
  EXPECT_EQ(mLedger.Crashes(mCulprit, mClock.Now()), 1);
  {
    SCOPED_TRACE("the same endpoint crashes again later");
    mClock.Advance(mSettings.mDuplicateWindow);
    EXPECT_TRUE(Crash(mCulprit, 10));
  }
}

TEST_F(GivenACrashLedger, AReportThatComesLateCountsFromTheCrash)
{
  const auto crashedAt = mClock.Now();
  mClock.Advance(std::chrono::minutes(30));
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    mLedger.Note({ mCulprit, endpoint }, crashedAt);
  }
  EXPECT_EQ(mLedger.QuarantineLeft(mCulprit, mClock.Now()),
            mSettings.mQuarantine - std::chrono::minutes(30));
}

TEST_F(GivenACrashLedger, WhoEndsWellAnywhereIsInnocent)
{
  Crash(mCulprit, 10);
  Crash(mCulprit, 11);
  EXPECT_EQ(mLedger.Clear(mCulprit).size(), 2U);
  EXPECT_TRUE(mLedger.Clear(mCulprit).empty());
  Crash(mCulprit, 12);
  EXPECT_FALSE(IsRefused(mCulprit));
}

TEST_F(GivenACrashLedger, SuspicionIsForgottenAfterTenMinutes)
{
  Crash(mCulprit, 10);
  Crash(mCulprit, 11);
  mClock.Advance(mSettings.mSuspicionPeriod);
  EXPECT_EQ(mLedger.Crashes(mCulprit, mClock.Now()), 0);
  Crash(mCulprit, 12);
  EXPECT_FALSE(IsRefused(mCulprit));
}

TEST_F(GivenACrashLedger, AfterTheQuarantineASingleCrashBringsItBack)
{
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    Crash(mCulprit, endpoint);
  }
  mClock.Advance(mSettings.mQuarantine);
  EXPECT_FALSE(IsRefused(mCulprit));
  Crash(mCulprit, 20);
  EXPECT_TRUE(IsRefused(mCulprit));
}

TEST_F(GivenACrashLedger, AQuarantineThatAnotherDecidedHoldsForItsTime)
{
  EXPECT_TRUE(mLedger.Quarantine(mCulprit, mClock.Now(), Millis(500)));
  EXPECT_FALSE(mLedger.Quarantine(mCulprit, mClock.Now(), Millis(400)));
  EXPECT_TRUE(IsRefused(mCulprit));
  mClock.Advance(Millis(500));
  EXPECT_FALSE(IsRefused(mCulprit));
  {
    SCOPED_TRACE("never longer than its own");
    mLedger.Quarantine(mCulprit, mClock.Now(), mSettings.mQuarantine * 9);
    EXPECT_EQ(mLedger.QuarantineLeft(mCulprit, mClock.Now()),
              mSettings.mQuarantine);
  }
}

TEST_F(GivenACrashLedger, MemoryIsBoundedAndAFloodPushesNoQuarantineOut)
{
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    Crash(mCulprit, endpoint);
  }
  for (int i = 2; i < 20000; ++i) {
    Crash(Request(i), 50);
  }
  EXPECT_LE(mLedger.Suspects(), mSettings.mMaxRequests);
  EXPECT_TRUE(IsRefused(mCulprit));
  EXPECT_EQ(mLedger.Quarantined(mClock.Now()), 1U);
}

TEST_F(GivenACrashLedger, WhoeverIsToldAllKnowsTheSame)
{
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    Crash(mCulprit, endpoint);
    mClock.Advance(std::chrono::seconds(4));
  }
  Crash(Request(2), 2);
  CrashTracker other(mSettings);
  for (const auto& report : mLedger.Reports(mClock.Now())) {
    other.Note(report.mReport, mClock.Now() - report.mAge);
  }
  EXPECT_EQ(other.QuarantineLeft(mCulprit, mClock.Now()),
            mLedger.QuarantineLeft(mCulprit, mClock.Now()));
  EXPECT_EQ(other.Crashes(Request(2), mClock.Now()), 1);
  {
    SCOPED_TRACE("those that are quarantined first");
    EXPECT_EQ(mLedger.Reports(mClock.Now()).front().mReport.mRequest, mCulprit);
  }
}

TEST(RequestDigests, AreOfWhatIsAskedAndByWhom)
{
  EXPECT_EQ(Request(1), Request(1));
  EXPECT_NE(Request(1), Request(2));
  EXPECT_NE(Request(1, "a"), Request(1, "b"));
  {
    SCOPED_TRACE("fields do not run into each other");
    EXPECT_NE(RequestDigest({ "GET", "h", "/a", "b", "" }),
              RequestDigest({ "GET", "h", "/ab", "", "" }));
  }
  {
    SCOPED_TRACE("as text and back");
    EXPECT_EQ(RequestDigest::Parse(Request(1).Text()), Request(1));
    EXPECT_FALSE(RequestDigest::Parse("../../x"));
    EXPECT_FALSE(RequestDigest::Parse(""));
  }
}

} // namespace
} // namespace shuntjunction::state
