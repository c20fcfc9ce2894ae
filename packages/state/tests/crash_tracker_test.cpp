// A request during which endpoints crash repeatedly is refused; a request that
// only ran alongside it is not.

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

class GivenACrashTracker : public ::testing::Test
{
protected:
  /// An endpoint crashes while a request is running on it.
  bool Crash(const RequestDigest& aRequest, std::uint64_t aEndpoint)
  {
    return mTracker.Note({ aRequest, aEndpoint }, mClock.Now());
  }

  bool IsRefused(const RequestDigest& aRequest) const
  {
    return mTracker.QuarantineLeft(aRequest, mClock.Now()) > Millis(0);
  }

  CrashTrackerSettings mSettings;
  CrashTracker mTracker{ mSettings };
  ManualClock mClock;
  const RequestDigest mCulprit = Request(1);
};

TEST_F(GivenACrashTracker, AThirdCrashUnderOneRequestQuarantinesIt)
{
  EXPECT_TRUE(Crash(mCulprit, 10));
  EXPECT_TRUE(Crash(mCulprit, 11));
  EXPECT_FALSE(IsRefused(mCulprit));
  EXPECT_TRUE(Crash(mCulprit, 12));
  EXPECT_TRUE(IsRefused(mCulprit));
  EXPECT_FALSE(IsRefused(Request(2)));
}

TEST_F(GivenACrashTracker, ReportsOfOneCrashByManyCountOnce)
{
  EXPECT_TRUE(Crash(mCulprit, 10));
  mClock.Advance(mSettings.mDuplicateWindow / 2);
  EXPECT_FALSE(Crash(mCulprit, 10));
  EXPECT_EQ(mTracker.Crashes(mCulprit, mClock.Now()), 1);
  {
    SCOPED_TRACE("the same endpoint crashes again later");
    mClock.Advance(mSettings.mDuplicateWindow);
    EXPECT_TRUE(Crash(mCulprit, 10));
  }
}

TEST_F(GivenACrashTracker, AReportThatComesLateCountsFromTheCrash)
{
  const auto crashedAt = mClock.Now();
  mClock.Advance(std::chrono::minutes(30));
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    mTracker.Note({ mCulprit, endpoint }, crashedAt);
  }
  EXPECT_EQ(mTracker.QuarantineLeft(mCulprit, mClock.Now()),
            mSettings.mQuarantine - std::chrono::minutes(30));
}

TEST_F(GivenACrashTracker, ARequestThatCompletesAnywhereIsCleared)
{
  Crash(mCulprit, 10);
  Crash(mCulprit, 11);
  EXPECT_EQ(mTracker.Clear(mCulprit).size(), 2U);
  EXPECT_TRUE(mTracker.Clear(mCulprit).empty());
  Crash(mCulprit, 12);
  EXPECT_FALSE(IsRefused(mCulprit));
}

TEST_F(GivenACrashTracker, SuspicionEndsAfterTenMinutes)
{
  Crash(mCulprit, 10);
  Crash(mCulprit, 11);
  mClock.Advance(mSettings.mSuspicionPeriod);
  EXPECT_EQ(mTracker.Crashes(mCulprit, mClock.Now()), 0);
  Crash(mCulprit, 12);
  EXPECT_FALSE(IsRefused(mCulprit));
}

TEST_F(GivenACrashTracker, AfterTheQuarantineASingleCrashRenewsIt)
{
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    Crash(mCulprit, endpoint);
  }
  mClock.Advance(mSettings.mQuarantine);
  EXPECT_FALSE(IsRefused(mCulprit));
  Crash(mCulprit, 20);
  EXPECT_TRUE(IsRefused(mCulprit));
}

TEST_F(GivenACrashTracker, AQuarantineFromAnotherProcessLastsItsTime)
{
  EXPECT_TRUE(mTracker.Quarantine(mCulprit, mClock.Now(), Millis(500)));
  EXPECT_FALSE(mTracker.Quarantine(mCulprit, mClock.Now(), Millis(400)));
  EXPECT_TRUE(IsRefused(mCulprit));
  mClock.Advance(Millis(500));
  EXPECT_FALSE(IsRefused(mCulprit));
  {
    SCOPED_TRACE("never longer than the own setting");
    mTracker.Quarantine(mCulprit, mClock.Now(), mSettings.mQuarantine * 9);
    EXPECT_EQ(mTracker.QuarantineLeft(mCulprit, mClock.Now()),
              mSettings.mQuarantine);
  }
}

TEST_F(GivenACrashTracker, MemoryIsBoundedAndAFloodEvictsNoQuarantine)
{
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    Crash(mCulprit, endpoint);
  }
  for (int i = 2; i < 20000; ++i) {
    Crash(Request(i), 50);
  }
  EXPECT_LE(mTracker.Suspects(), mSettings.mMaxRequests);
  EXPECT_TRUE(IsRefused(mCulprit));
  EXPECT_EQ(mTracker.Quarantined(mClock.Now()), 1U);
}

TEST_F(GivenACrashTracker, AProcessThatGetsAllReportsKnowsTheSame)
{
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    Crash(mCulprit, endpoint);
    mClock.Advance(std::chrono::seconds(4));
  }
  Crash(Request(2), 2);
  CrashTracker other(mSettings);
  for (const auto& report : mTracker.Reports(mClock.Now())) {
    other.Note(report.mReport, mClock.Now() - report.mAge);
  }
  EXPECT_EQ(other.QuarantineLeft(mCulprit, mClock.Now()),
            mTracker.QuarantineLeft(mCulprit, mClock.Now()));
  EXPECT_EQ(other.Crashes(Request(2), mClock.Now()), 1);
  {
    SCOPED_TRACE("those that are quarantined first");
    EXPECT_EQ(mTracker.Reports(mClock.Now()).front().mReport.mRequest,
              mCulprit);
  }
}

TEST(RequestDigests, CoverTheRequestAndItsTeam)
{
  EXPECT_EQ(Request(1), Request(1));
  EXPECT_NE(Request(1), Request(2));
  EXPECT_NE(Request(1, "a"), Request(1, "b"));
  {
    SCOPED_TRACE("field boundaries matter");
    EXPECT_NE(RequestDigest({ "GET", "h", "/a", "b", "" }),
              RequestDigest({ "GET", "h", "/ab", "", "" }));
  }
  {
    SCOPED_TRACE("converted to text and back");
    EXPECT_EQ(RequestDigest::Parse(Request(1).Text()), Request(1));
    EXPECT_FALSE(RequestDigest::Parse("../../x"));
    EXPECT_FALSE(RequestDigest::Parse(""));
  }
}

} // namespace
} // namespace shuntjunction::state
