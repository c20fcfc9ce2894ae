// A shared part of prompts under which endpoints keep crashing is refused; what
// is merely used beside it goes on.

#include <gtest/gtest.h>

#include "shuntjunction/state/part_crash_tracker.h"

namespace shuntjunction::state {
namespace {

constexpr std::uint64_t kTeam = 1;
constexpr std::uint64_t kOtherTeam = 2;

RequestDigest
Part(int aNumber)
{
  return PartDigest("model", std::to_string(aNumber), {});
}

class GivenAPartCrashTracker : public ::testing::Test
{
protected:
  /// An endpoint crashes when it is about to answer a request.
  PartChanges Crash(const std::vector<RequestDigest>& aParts,
                    std::uint64_t aEndpoint,
                    bool aIsTrial = false,
                    std::uint64_t aTeam = kTeam)
  {
    return mTracker.Note({ aParts, aTeam, aEndpoint, aIsTrial }, mClock.Now());
  }

  /// Endpoints crash one after the other, all but the first in a trial.
  void CrashOneByOne(const std::vector<RequestDigest>& aParts,
                     std::uint64_t aFirstEndpoint,
                     std::uint64_t aTeam = kTeam)
  {
    for (std::uint64_t i = 0; i < mSettings.mVerdictCrashes; ++i) {
      Crash(aParts, aFirstEndpoint + i, i != 0, aTeam);
      mClock.Advance(std::chrono::seconds(1));
    }
  }

  /// An answer gets past its beginning.
  std::size_t Answer(const RequestDigest& aPart, std::uint64_t aTeam = kTeam)
  {
    return mTracker.Clear(aPart, aTeam, mClock.Now()).size();
  }

  PartSuspicion SuspicionOf(const RequestDigest& aPart,
                            std::uint64_t aTeam = kTeam) const
  {
    return mTracker.SuspicionOf(aPart, aTeam, mClock.Now());
  }

  /// Whether it is once all reports of the latest crash had time to come.
  bool IsRefused(const RequestDigest& aPart, std::uint64_t aTeam = kTeam) const
  {
    const auto settled = mClock.Now() + mSettings.mSettlePeriod;
    return mTracker.QuarantineLeft(aPart, aTeam, settled) > Millis(0);
  }

  PartCrashSettings mSettings;
  PartCrashTracker mTracker{ mSettings };
  ManualClock mClock;
  const RequestDigest mDeadly = Part(1);
  const RequestDigest mSound = Part(2);
};

TEST_F(GivenAPartCrashTracker, ItIsRestrictedAtTheSecondCrashRefusedAtTheThird)
{
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kNone);
  EXPECT_TRUE(Crash({ mDeadly }, 10).mIsNew);
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kSuspect);
  mClock.Advance(std::chrono::seconds(1));
  Crash({ mDeadly }, 11, true);
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kRestricted);
  mClock.Advance(std::chrono::seconds(1));
  const auto changes = Crash({ mDeadly }, 12, true);
  EXPECT_EQ(changes.mCondemned, std::vector<RequestDigest>{ mDeadly });
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kRestricted);
  mClock.Advance(mSettings.mSettlePeriod);
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kCrashing);
  EXPECT_EQ(mTracker.Condemned(mClock.Now()), 1U);
  EXPECT_EQ(SuspicionOf(mSound), PartSuspicion::kNone);
}

TEST_F(GivenAPartCrashTracker, ReportsOfOneCrashByManyCountOnce)
{
  EXPECT_TRUE(Crash({ mDeadly }, 10).mIsNew);
  mClock.Advance(mSettings.mDuplicateWindow / 2);
  EXPECT_FALSE(Crash({ mDeadly }, 10).mIsNew);
  EXPECT_EQ(mTracker.Crashes(mDeadly), 1U);
}

TEST_F(GivenAPartCrashTracker, AnEndpointThatCrashesAgainAndAgainIsNoEvidence)
{
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(Crash({ mSound }, 10, true).mIsNew);
    mClock.Advance(mSettings.mDuplicateWindow * 2);
  }
  EXPECT_EQ(mTracker.Crashes(mSound), 1U);
  EXPECT_EQ(SuspicionOf(mSound), PartSuspicion::kSuspect);
}

class WhenARackCrashes : public GivenAPartCrashTracker
{
protected:
  void SetUp() override
  {
    for (std::uint64_t endpoint = 10; endpoint < 20; ++endpoint) {
      Crash({ mSound, Part(static_cast<int>(endpoint)) }, endpoint);
    }
  }
};

TEST_F(WhenARackCrashes, ThePartIsRestrictedButNotRefused)
{
  EXPECT_EQ(SuspicionOf(mSound), PartSuspicion::kRestricted);
}

TEST_F(WhenARackCrashes, ATrialThatIsAnsweredClearsThePart)
{
  mClock.Advance(std::chrono::seconds(1));
  EXPECT_GE(Answer(mSound), mSettings.mVerdictCrashes);
  EXPECT_EQ(SuspicionOf(mSound), PartSuspicion::kNone);
}

TEST_F(WhenARackCrashes, ATrialThatCrashesMakesItRefused)
{
  mClock.Advance(std::chrono::seconds(1));
  Crash({ mSound }, 20, true);
  EXPECT_TRUE(IsRefused(mSound));
}

TEST_F(WhenARackCrashes, TrialsThatItTakesAlongAreNoEvidence)
{
  mClock.Advance(mSettings.mMinEvidencePeriod - std::chrono::milliseconds(1));
  for (std::uint64_t endpoint = 20; endpoint < 30; ++endpoint) {
    Crash({ mSound }, endpoint, true);
  }
  EXPECT_FALSE(IsRefused(mSound));
  {
    SCOPED_TRACE("a later one is, as nothing was answered meanwhile");
    mClock.Advance(std::chrono::milliseconds(1));
    Crash({ mSound }, 31);
    EXPECT_FALSE(IsRefused(mSound));
    Crash({ mSound }, 30, true);
    EXPECT_TRUE(IsRefused(mSound));
  }
}

TEST_F(GivenAPartCrashTracker, AnAnswerClearsEarlierCrashesOnly)
{
  Crash({ mSound }, 10);
  mClock.Advance(std::chrono::seconds(1));
  Crash({ mSound }, 11);
  {
    SCOPED_TRACE("clocks may differ: an answer just after a crash is no proof");
    mClock.Advance(mSettings.mMaxSkew / 2);
    EXPECT_EQ(Answer(mSound), 1U);
    EXPECT_EQ(SuspicionOf(mSound), PartSuspicion::kSuspect);
  }
  {
    SCOPED_TRACE("an answer older than the crash");
    mTracker.Clear(mSound, kTeam, mClock.Now() - std::chrono::seconds(5));
    EXPECT_EQ(mTracker.Crashes(mSound), 1U);
  }
  mClock.Advance(mSettings.mMaxSkew);
  EXPECT_EQ(Answer(mSound), 1U);
  EXPECT_EQ(Answer(mSound), 0U);
  EXPECT_EQ(mTracker.Suspects(), 0U);
}

TEST_F(GivenAPartCrashTracker, ADeadlyFirstPartIsToldFromItsManyInnerOnes)
{
  for (int i = 0; i < 3; ++i) {
    Crash({ mDeadly, Part(100 + i) }, 10 + static_cast<std::uint64_t>(i), true);
    mClock.Advance(std::chrono::seconds(1));
  }
  EXPECT_TRUE(IsRefused(mDeadly));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(mTracker.Condemned(mClock.Now()), 1U);
    EXPECT_FALSE(IsRefused(Part(100 + i)));
  }
}

TEST_F(GivenAPartCrashTracker, ADeadlyInnerPartIsToldFromItsAnsweredFirst)
{
  for (std::uint64_t endpoint = 10; endpoint < 13; ++endpoint) {
    Crash({ mSound, mDeadly }, endpoint, true);
    mClock.Advance(std::chrono::milliseconds(600));
    Answer(mSound);
  }
  EXPECT_TRUE(IsRefused(mDeadly));
  EXPECT_FALSE(IsRefused(mSound));
}

TEST_F(GivenAPartCrashTracker, OfTwoWithEqualEvidenceTheInnermostIsRefused)
{
  CrashOneByOne({ mSound, mDeadly }, 10);
  EXPECT_TRUE(IsRefused(mDeadly));
  EXPECT_FALSE(IsRefused(mSound));
  EXPECT_NE(SuspicionOf(mSound), PartSuspicion::kRestricted);
}

TEST_F(GivenAPartCrashTracker, OneMoreCrashUnderTheFirstPartDoesNotHideTheInner)
{
  Crash({ mSound, Part(5) }, 30);
  CrashOneByOne({ mSound, mDeadly }, 10);
  EXPECT_TRUE(IsRefused(mDeadly));
  EXPECT_FALSE(IsRefused(mSound));
}

TEST_F(GivenAPartCrashTracker, ADeadlyFirstPartIsFoundBehindACondemnedInnerOne)
{
  CrashOneByOne({ mDeadly, Part(5) }, 10);
  EXPECT_TRUE(IsRefused(Part(5)));
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kSuspect);
  Crash({ mDeadly, Part(6) }, 20, true);
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kRestricted);
  EXPECT_FALSE(IsRefused(mDeadly));
  const auto changes = Crash({ mDeadly, Part(7) }, 21, true);
  EXPECT_TRUE(IsRefused(mDeadly));
  EXPECT_EQ(changes.mReleased, std::vector<RequestDigest>{ Part(5) });
  EXPECT_FALSE(IsRefused(Part(5)));
}

class GivenRequestsBesideTheDeadlyOnes : public GivenAPartCrashTracker
{
protected:
  /// An endpoint crashes under a deadly request and a sound one beside it.
  void CrashUnderBoth(std::uint64_t aEndpoint, bool aIsSoundFirst)
  {
    if (aIsSoundFirst) {
      Crash({ mSound }, aEndpoint, true, kOtherTeam);
    }
    Crash({ mDeadly }, aEndpoint, true);
    if (!aIsSoundFirst) {
      Crash({ mSound }, aEndpoint, true, kOtherTeam);
    }
    mClock.Advance(std::chrono::seconds(1));
  }
};

TEST_F(GivenRequestsBesideTheDeadlyOnes, TheVerdictExplainsTheirCrashes)
{
  CrashUnderBoth(10, true);
  CrashUnderBoth(11, true);
  EXPECT_EQ(SuspicionOf(mSound, kOtherTeam), PartSuspicion::kRestricted);
  Crash({ mDeadly }, 12, true);
  EXPECT_TRUE(IsRefused(mDeadly));
  EXPECT_EQ(SuspicionOf(mSound, kOtherTeam), PartSuspicion::kNone);
}

TEST_F(GivenRequestsBesideTheDeadlyOnes, NoneIsRefusedWhileEitherMayBeTheCause)
{
  for (std::uint64_t endpoint = 10; endpoint < 14; ++endpoint) {
    CrashUnderBoth(endpoint, true);
    EXPECT_FALSE(IsRefused(mDeadly));
    EXPECT_FALSE(IsRefused(mSound, kOtherTeam));
  }
  {
    SCOPED_TRACE("a trial apart from the other decides");
    Crash({ mDeadly }, 15, true);
    EXPECT_TRUE(IsRefused(mDeadly));
    EXPECT_EQ(SuspicionOf(mSound, kOtherTeam), PartSuspicion::kNone);
  }
}

TEST_F(GivenRequestsBesideTheDeadlyOnes, CrashesAfterTheVerdictAreExplainedToo)
{
  CrashOneByOne({ mDeadly }, 10);
  for (std::uint64_t endpoint = 20; endpoint < 26; ++endpoint) {
    CrashUnderBoth(endpoint, endpoint % 2 == 0);
    EXPECT_EQ(SuspicionOf(mSound, kOtherTeam), PartSuspicion::kNone);
  }
  EXPECT_TRUE(Crash({ mDeadly }, 27).mIsNew)
    << "other relays have to know of it, for requests beside it";
}

class WhenAPartIsRefused : public GivenAPartCrashTracker
{
protected:
  void SetUp() override { CrashOneByOne({ mDeadly }, 10); }
};

TEST_F(WhenAPartIsRefused, ItIsForTheTeamWhoseRequestsCrashed)
{
  EXPECT_TRUE(IsRefused(mDeadly, kTeam));
  EXPECT_FALSE(IsRefused(mDeadly, kOtherTeam));
  EXPECT_EQ(SuspicionOf(mDeadly, kOtherTeam), PartSuspicion::kRestricted);
  const auto digest = PartOfTeamDigest(mDeadly, kTeam);
  EXPECT_EQ(mTracker.RefusedDigest(mDeadly), digest);
  EXPECT_EQ(mTracker.FindRefused(digest), mDeadly);
  EXPECT_EQ(mTracker.FindRefused(mDeadly), std::nullopt);
}

TEST_F(WhenAPartIsRefused, ACrashUnderAnotherTeamsRequestMakesItHoldForAll)
{
  Crash({ mDeadly }, 20, true, kOtherTeam);
  for (const std::uint64_t team : { kTeam, kOtherTeam, kOtherTeam + 1 }) {
    EXPECT_TRUE(IsRefused(mDeadly, team));
  }
  EXPECT_EQ(mTracker.RefusedDigest(mDeadly), mDeadly);
  EXPECT_EQ(mTracker.FindRefused(mDeadly), mDeadly);
}

TEST_F(WhenAPartIsRefused, AnotherTeamsAnswerDoesNotReleaseIt)
{
  EXPECT_EQ(Answer(mDeadly, kOtherTeam), 0U);
  EXPECT_TRUE(IsRefused(mDeadly, kTeam));
  EXPECT_GE(mTracker.Reports(mClock.Now()).size(), mSettings.mVerdictCrashes);
}

TEST_F(WhenAPartIsRefused, AnotherTeamsAnswerEndsTheSuspicionOfOtherTeams)
{
  Answer(mDeadly, kOtherTeam);
  EXPECT_EQ(SuspicionOf(mDeadly, kOtherTeam), PartSuspicion::kNone);
  EXPECT_EQ(SuspicionOf(mDeadly, kTeam), PartSuspicion::kCrashing);
  {
    SCOPED_TRACE("one crash of a cause of its own does not extend the verdict");
    mClock.Advance(std::chrono::seconds(1));
    Crash({ mDeadly }, 20, true, kOtherTeam);
    EXPECT_EQ(SuspicionOf(mDeadly, kOtherTeam), PartSuspicion::kSuspect);
    mClock.Advance(std::chrono::seconds(1));
    EXPECT_EQ(Answer(mDeadly, kOtherTeam), 1U);
    EXPECT_EQ(SuspicionOf(mDeadly, kOtherTeam), PartSuspicion::kNone);
  }
  {
    SCOPED_TRACE("two without an answer between them do");
    Crash({ mDeadly }, 21, true, kOtherTeam);
    Crash({ mDeadly }, 22, true, kOtherTeam);
    EXPECT_TRUE(IsRefused(mDeadly, kOtherTeam));
  }
}

TEST_F(WhenAPartIsRefused, AnAnswerToTheTeamAfterTheVerdictReleasesIt)
{
  EXPECT_GE(Answer(mDeadly), mSettings.mVerdictCrashes);
  EXPECT_FALSE(IsRefused(mDeadly));
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kNone);
}

TEST_F(WhenAPartIsRefused, AnAnswerFromBeforeTheVerdictDoesNotReleaseIt)
{
  mTracker.Clear(mDeadly, kTeam, mClock.Now() - std::chrono::seconds(5));
  EXPECT_TRUE(IsRefused(mDeadly));
}

TEST_F(WhenAPartIsRefused, ALateReportOfAnAnswerBetweenTheCrashesReleasesIt)
{
  mTracker.Clear(
    mDeadly, kTeam, mClock.Now() - std::chrono::milliseconds(1500));
  EXPECT_FALSE(IsRefused(mDeadly));
}

TEST_F(WhenAPartIsRefused, AnOperatorMayReleaseIt)
{
  EXPECT_GE(mTracker.Forget(mDeadly).size(), mSettings.mVerdictCrashes);
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kNone);
  EXPECT_TRUE(mTracker.Forget(mDeadly).empty());
}

class WhenItsHourIsOver : public WhenAPartIsRefused
{
protected:
  void SetUp() override
  {
    WhenAPartIsRefused::SetUp();
    mClock.Advance(mSettings.mQuarantine);
  }
};

TEST_F(WhenItsHourIsOver, ItIsTriedOneAtATime)
{
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kRestricted);
}

TEST_F(WhenItsHourIsOver, ASingleCrashRenewsTheVerdict)
{
  Crash({ mDeadly }, 30, true);
  EXPECT_TRUE(IsRefused(mDeadly));
}

TEST_F(WhenItsHourIsOver, AnAnswerEndsTheSuspicion)
{
  Answer(mDeadly);
  Crash({ mDeadly }, 30, true);
  EXPECT_FALSE(IsRefused(mDeadly));
}

TEST_F(WhenItsHourIsOver, TenMinutesWithoutACrashEndTheSuspicion)
{
  mClock.Advance(mSettings.mSuspicionPeriod);
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kNone);
  Crash({ mDeadly }, 30, true);
  EXPECT_EQ(SuspicionOf(mDeadly), PartSuspicion::kSuspect);
}

TEST_F(GivenAPartCrashTracker, SuspicionEndsAfterTenMinutes)
{
  Crash({ mSound }, 10);
  Crash({ mSound }, 11);
  mClock.Advance(mSettings.mSuspicionPeriod);
  EXPECT_EQ(SuspicionOf(mSound), PartSuspicion::kNone);
  EXPECT_TRUE(mTracker.Reports(mClock.Now()).empty());
  Crash({ mSound }, 12, true);
  EXPECT_EQ(mTracker.Crashes(mSound), 1U);
}

TEST_F(GivenAPartCrashTracker, MemoryIsBoundedAndAFloodEvictsNoVerdict)
{
  CrashOneByOne({ mDeadly }, 10);
  for (int i = 100; i < 20000; ++i) {
    Crash({ Part(i) }, static_cast<std::uint64_t>(i), true);
    Crash({ Part(i) }, static_cast<std::uint64_t>(i) + 1, true);
  }
  EXPECT_LE(mTracker.Suspects(), mSettings.mMaxParts);
  EXPECT_TRUE(IsRefused(mDeadly));
}

TEST_F(GivenAPartCrashTracker, OnlySoManyPartsAreRefusedInAMinute)
{
  const auto crashAll = [&](std::uint64_t aEndpoint) {
    for (int i = 0; i < 50; ++i) {
      Crash({ Part(i) }, aEndpoint + static_cast<std::uint64_t>(i), true);
    }
    mClock.Advance(std::chrono::seconds(1));
  };
  crashAll(1000);
  crashAll(2000);
  crashAll(3000);
  EXPECT_EQ(mTracker.Condemned(mClock.Now()), mSettings.mMaxVerdicts);
  {
    SCOPED_TRACE("the next minute brings the next");
    mClock.Advance(mSettings.mVerdictWindow);
    crashAll(4000);
    EXPECT_EQ(mTracker.Condemned(mClock.Now()), 2 * mSettings.mMaxVerdicts);
  }
}

class GivenATrackerThatGetsAllReports : public GivenAPartCrashTracker
{
protected:
  void Replay()
  {
    for (const auto& report : mTracker.Reports(mClock.Now())) {
      mOther.Note(report.mCrash, mClock.Now() - report.mAge);
    }
  }

  void ExpectSame(const RequestDigest& aPart) const
  {
    const auto now = mClock.Now();
    for (const std::uint64_t team : { kTeam, kOtherTeam }) {
      EXPECT_EQ(mOther.SuspicionOf(aPart, team, now),
                mTracker.SuspicionOf(aPart, team, now));
      EXPECT_EQ(mOther.QuarantineLeft(aPart, team, now),
                mTracker.QuarantineLeft(aPart, team, now));
    }
  }

  PartCrashTracker mOther{ mSettings };
};

TEST_F(GivenATrackerThatGetsAllReports, ItKnowsTheSame)
{
  Crash({ Part(5) }, 30);
  CrashOneByOne({ mSound, mDeadly }, 10);
  Crash({ Part(6) }, 31);
  mClock.Advance(std::chrono::seconds(20));
  Replay();
  for (const auto& part : { mDeadly, mSound, Part(5), Part(6) }) {
    ExpectSame(part);
  }
  {
    SCOPED_TRACE("those under refused parts come first");
    const auto first = mTracker.Reports(mClock.Now()).front().mCrash;
    EXPECT_EQ(first.mParts.back(), mDeadly);
  }
}

TEST_F(GivenATrackerThatGetsAllReports, ItKnowsWhichPartsWereCleared)
{
  for (std::uint64_t endpoint = 10; endpoint < 14; ++endpoint) {
    Crash({ mDeadly, mSound }, endpoint, true);
    mClock.Advance(std::chrono::milliseconds(600));
    Answer(mSound);
  }
  EXPECT_TRUE(IsRefused(mDeadly));
  Replay();
  for (const auto& part : { mDeadly, mSound }) {
    ExpectSame(part);
  }
}

TEST_F(GivenATrackerThatGetsAllReports, EachCrashIsReportedOnce)
{
  Crash({ Part(5), Part(6), Part(7) }, 10);
  Crash({ Part(5), Part(6), Part(7) }, 11);
  EXPECT_EQ(mTracker.Reports(mClock.Now()).size(), 2U);
}

TEST_F(GivenATrackerThatGetsAllReports, ItKnowsAllVerdictsOfTheLastHour)
{
  constexpr int kVerdicts = 20;
  for (int i = 0; i < kVerdicts; ++i) {
    CrashOneByOne({ Part(100 + i) }, 1000 + 10 * static_cast<std::uint64_t>(i));
    mClock.Advance(std::chrono::minutes(1));
  }
  Replay();
  EXPECT_EQ(mTracker.Condemned(mClock.Now()), kVerdicts);
  EXPECT_EQ(mOther.Condemned(mClock.Now()), kVerdicts);
}

TEST_F(GivenAPartCrashTracker, TrialsOfManyRelaysAreSpreadOverTime)
{
  EXPECT_EQ(mTracker.TrialDelay(4, 0), Millis(0));
  EXPECT_EQ(mTracker.TrialDelay(4, 0.5), mSettings.mTrialSpacing * 2);
  EXPECT_EQ(mTracker.TrialDelay(4000, 1.0), mSettings.mMaxTrialDelay);
}

TEST(PartDigests, DifferFromThoseOfRequestsAndOfOtherParts)
{
  const auto part = PartDigest("m", "p", {});
  EXPECT_EQ(part, PartDigest("m", "p", {}));
  EXPECT_NE(part, PartDigest("m2", "p", {}));
  EXPECT_NE(part, PartDigest("m", "p2", {}));
  EXPECT_NE(part, PartDigest("m", "p", "isolated"));
  EXPECT_NE(part, RequestDigest({ "POST", "m", "p", {}, {} }));
  EXPECT_NE(part, PartOfTeamDigest(part, kTeam));
  EXPECT_NE(PartOfTeamDigest(part, kTeam), PartOfTeamDigest(part, kOtherTeam));
  {
    SCOPED_TRACE("field boundaries matter");
    EXPECT_NE(PartDigest("m", "pt", {}), PartDigest("m", "p", "t"));
  }
}

} // namespace
} // namespace shuntjunction::state
