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
  const RequestDigest mPoisonRequest = Request(1);
};

TEST_F(GivenACrashTracker, AThirdCrashUnderOneRequestQuarantinesIt)
{
  EXPECT_TRUE(Crash(mPoisonRequest, 10));
  EXPECT_TRUE(Crash(mPoisonRequest, 11));
  EXPECT_FALSE(IsRefused(mPoisonRequest));
  EXPECT_TRUE(Crash(mPoisonRequest, 12));
  EXPECT_TRUE(IsRefused(mPoisonRequest));
  EXPECT_FALSE(IsRefused(Request(2)));
}

TEST_F(GivenACrashTracker, ReportsOfOneCrashByManyCountOnce)
{
  EXPECT_TRUE(Crash(mPoisonRequest, 10));
  mClock.Advance(mSettings.mDuplicateWindow / 2);
  EXPECT_FALSE(Crash(mPoisonRequest, 10));
  EXPECT_EQ(mTracker.Crashes(mPoisonRequest, mClock.Now()), 1);
  {
    SCOPED_TRACE("the same endpoint crashes again later");
    mClock.Advance(mSettings.mDuplicateWindow);
    EXPECT_TRUE(Crash(mPoisonRequest, 10));
  }
}

TEST_F(GivenACrashTracker, AReportThatComesLateCountsFromTheCrash)
{
  const auto crashedAt = mClock.Now();
  mClock.Advance(std::chrono::minutes(30));
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    mTracker.Note({ mPoisonRequest, endpoint }, crashedAt);
  }
  EXPECT_EQ(mTracker.QuarantineLeft(mPoisonRequest, mClock.Now()),
            mSettings.mQuarantine - std::chrono::minutes(30));
}

TEST_F(GivenACrashTracker, ARequestThatCompletesAnywhereIsCleared)
{
  Crash(mPoisonRequest, 10);
  Crash(mPoisonRequest, 11);
  EXPECT_EQ(mTracker.Clear(mPoisonRequest, mClock.Now()).size(), 2U);
  EXPECT_TRUE(mTracker.Clear(mPoisonRequest, mClock.Now()).empty());
  Crash(mPoisonRequest, 12);
  EXPECT_FALSE(IsRefused(mPoisonRequest));
}

// Guards against a quarantine by reports that were under way when the request
// completed.
TEST_F(GivenACrashTracker, CrashesBeforeItsCompletionDontCountLater)
{
  const auto crashedAt = mClock.Now();
  Crash(mPoisonRequest, 10);
  mClock.Advance(Millis(300));
  mTracker.Clear(mPoisonRequest, mClock.Now());
  for (std::uint64_t endpoint = 10; endpoint < 13; ++endpoint) {
    EXPECT_FALSE(mTracker.Note({ mPoisonRequest, endpoint }, crashedAt));
  }
  EXPECT_FALSE(IsRefused(mPoisonRequest));
  EXPECT_EQ(mTracker.Suspects(), 0U);
  {
    SCOPED_TRACE("later ones do");
    mClock.Advance(Millis(1));
    EXPECT_TRUE(Crash(mPoisonRequest, 10));
  }
}

TEST_F(GivenACrashTracker, CrashesOfOneMomentAreRecognised)
{
  Crash(mPoisonRequest, 10);
  const auto first = mClock.Now();
  mClock.Advance(mSettings.mMoment / 2);
  Crash(mPoisonRequest, 11);
  EXPECT_EQ(mTracker.CommonMoment(mPoisonRequest, mClock.Now()), std::nullopt);
  Crash(mPoisonRequest, 12);
  EXPECT_EQ(mTracker.CommonMoment(mPoisonRequest, mClock.Now()), first);
  {
    SCOPED_TRACE("released, one more crash quarantines it");
    mTracker.Release(mPoisonRequest);
    EXPECT_FALSE(IsRefused(mPoisonRequest));
    mClock.Advance(mSettings.mMoment);
    Crash(mPoisonRequest, 13);
    EXPECT_TRUE(IsRefused(mPoisonRequest));
    EXPECT_EQ(mTracker.CommonMoment(mPoisonRequest, mClock.Now()),
              std::nullopt);
  }
}

TEST_F(GivenACrashTracker, SuspicionEndsAfterTenMinutes)
{
  Crash(mPoisonRequest, 10);
  Crash(mPoisonRequest, 11);
  mClock.Advance(mSettings.mSuspicionPeriod);
  EXPECT_EQ(mTracker.Crashes(mPoisonRequest, mClock.Now()), 0);
  Crash(mPoisonRequest, 12);
  EXPECT_FALSE(IsRefused(mPoisonRequest));
}

TEST_F(GivenACrashTracker, AfterTheQuarantineASingleCrashRenewsIt)
{
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    Crash(mPoisonRequest, endpoint);
  }
  mClock.Advance(mSettings.mQuarantine);
  EXPECT_FALSE(IsRefused(mPoisonRequest));
  Crash(mPoisonRequest, 20);
  EXPECT_TRUE(IsRefused(mPoisonRequest));
}

TEST_F(GivenACrashTracker, AQuarantineFromAnotherProcessLastsItsTime)
{
  EXPECT_TRUE(mTracker.Quarantine(mPoisonRequest, mClock.Now(), Millis(500)));
  EXPECT_FALSE(mTracker.Quarantine(mPoisonRequest, mClock.Now(), Millis(400)));
  EXPECT_TRUE(IsRefused(mPoisonRequest));
  mClock.Advance(Millis(500));
  EXPECT_FALSE(IsRefused(mPoisonRequest));
  {
    SCOPED_TRACE("never longer than this process's own setting");
    mTracker.Quarantine(
      mPoisonRequest, mClock.Now(), mSettings.mQuarantine * 9);
    EXPECT_EQ(mTracker.QuarantineLeft(mPoisonRequest, mClock.Now()),
              mSettings.mQuarantine);
  }
}

TEST_F(GivenACrashTracker, MemoryIsBoundedAndAFloodEvictsNoQuarantine)
{
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    Crash(mPoisonRequest, endpoint);
  }
  for (int i = 2; i < 20000; ++i) {
    Crash(Request(i), 50);
  }
  EXPECT_LE(mTracker.Suspects(), mSettings.mMaxRequests);
  EXPECT_TRUE(IsRefused(mPoisonRequest));
  EXPECT_EQ(mTracker.Quarantined(mClock.Now()), 1U);
}

TEST_F(GivenACrashTracker, AProcessThatGetsAllReportsKnowsTheSame)
{
  for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
    Crash(mPoisonRequest, endpoint);
    mClock.Advance(std::chrono::seconds(4));
  }
  Crash(Request(2), 2);
  CrashTracker other(mSettings);
  for (const auto& report : mTracker.Reports(mClock.Now())) {
    other.Note(report.mReport, mClock.Now() - report.mAge);
  }
  EXPECT_EQ(other.QuarantineLeft(mPoisonRequest, mClock.Now()),
            mTracker.QuarantineLeft(mPoisonRequest, mClock.Now()));
  EXPECT_EQ(other.Crashes(Request(2), mClock.Now()), 1);
  {
    SCOPED_TRACE("reports about quarantined requests come first");
    EXPECT_EQ(mTracker.Reports(mClock.Now()).front().mReport.mRequest,
              mPoisonRequest);
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
