// An overloaded endpoint advertises the requests per second that it accepts,
// and one companion enforces this rate for all relays.

#include <gtest/gtest.h>

#include <array>

#include "shuntjunction/state/endpoint_limits.h"
#include "shuntjunction/state/relay_choice.h"
#include "shuntjunction/state/retry_schedule.h"

namespace shuntjunction::state {

namespace {

constexpr LimitedEndpoint kSameHost{ 7, true };

EndpointRate
AdvertisedRate(double aPerSecond)
{
  return { RateNotice::kAdvertised, aPerSecond };
}

} // namespace

class GivenAnOwner : public ::testing::Test
{
protected:
  PlaceGrant Ask(bool aIsUrgent = true,
                 LimitedEndpoint aEndpoint = kSameHost,
                 double aPerSecond = 2.0)
  {
    return mLimits.Take({ aEndpoint, aPerSecond, aIsUrgent }, mClock.Now());
  }

  std::optional<RateNews> Note(EndpointRate aRate,
                               std::uint32_t aVersion = 0,
                               LimitedEndpoint aEndpoint = kSameHost)
  {
    return mLimits.Note({ aEndpoint, aRate, aVersion }, mClock.Now());
  }

  /// Number of permits granted within a time to relays that ask continuously.
  int GrantedWithin(std::chrono::seconds aTime)
  {
    constexpr Millis kStep{ 10 };
    int granted = 0;
    const auto end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      granted += Ask().mIsGranted ? 1 : 0;
      mClock.Advance(kStep);
    }
    return granted;
  }

  ManualClock mClock;
  ShareOwnership mOwnership{ {}, "10.0.0.1" };
  EndpointLimits mLimits{ {}, mOwnership, 100 };
};

TEST_F(GivenAnOwner, TheFirstReportOfARateIsSentToAllRelays)
{
  const auto update = Note(AdvertisedRate(2.0));
  ASSERT_TRUE(update);
  EXPECT_EQ(update->mPerSecond, 2.0);
  {
    SCOPED_TRACE("a further report of the same rate is not sent");
    EXPECT_FALSE(Note(AdvertisedRate(2.0)));
  }
  {
    SCOPED_TRACE("a different rate is sent");
    EXPECT_EQ(Note(AdvertisedRate(0.5))->mPerSecond, 0.5);
  }
  {
    SCOPED_TRACE("relays that connect later get the current rate");
    ASSERT_EQ(mLimits.Known().size(), 1U);
    EXPECT_EQ(mLimits.Known()[0].mPerSecond, 0.5);
  }
}

class ThatWasReportedARate : public GivenAnOwner
{
protected:
  ThatWasReportedARate() { Note(AdvertisedRate(2.0)); }
};

TEST_F(ThatWasReportedARate, ItStartsWithAnEmptyBucket)
{
  const auto grant = Ask();
  EXPECT_FALSE(grant.mIsGranted);
  EXPECT_EQ(grant.mRefill, Millis(500));
}

TEST_F(ThatWasReportedARate, ItGrantsTheRateHoweverManyAsk)
{
  EXPECT_EQ(GrantedWithin(std::chrono::seconds(20)), 39);
}

TEST_F(ThatWasReportedARate, AfterAnIdleTimeItGrantsOneSecondsWorthAndTwoMore)
{
  mClock.Advance(Millis(60000) - Millis(1));
  int granted = 0;
  while (Ask().mIsGranted) {
    ++granted;
  }
  EXPECT_EQ(granted, 4);
}

TEST_F(ThatWasReportedARate, AReturnedPermitCanBeGrantedAgain)
{
  mClock.Advance(Millis(500));
  EXPECT_TRUE(Ask().mIsGranted);
  EXPECT_FALSE(Ask().mIsGranted);
  mLimits.GiveBack(kSameHost.mHash);
  EXPECT_TRUE(Ask().mIsGranted);
}

TEST_F(ThatWasReportedARate, UrgentRequestsGetTheNextPermitBeforeOthers)
{
  mClock.Advance(Millis(500));
  EXPECT_FALSE(Ask(false).mIsGranted);
  EXPECT_TRUE(Ask(true).mIsGranted);
  {
    SCOPED_TRACE("other requests get what urgent ones leave");
    mClock.Advance(Millis(750));
    EXPECT_TRUE(Ask(false).mIsGranted);
  }
}

TEST_F(ThatWasReportedARate, AResponseWithoutOneEndsIt)
{
  mClock.Advance(Millis(500));
  const auto grant = Ask();
  ASSERT_TRUE(grant.mIsGranted);
  const auto update = Note({}, grant.mRateVersion);
  ASSERT_TRUE(update);
  EXPECT_FALSE(update->mPerSecond);
  EXPECT_TRUE(mLimits.Known().empty());
}

TEST_F(ThatWasReportedARate, AnOvertakenResponseWithoutOneDoesNot)
{
  mClock.Advance(Millis(500));
  const auto grant = Ask();
  Note(AdvertisedRate(2.0));
  EXPECT_FALSE(Note({}, grant.mRateVersion));
  {
    SCOPED_TRACE("nor does one whose request was sent without a permit");
    EXPECT_FALSE(Note({}, 0));
  }
}

TEST_F(ThatWasReportedARate, ALowerRateLeavesNothingOfTheFormerBurst)
{
  mClock.Advance(Millis(30000));
  Note(AdvertisedRate(0.5));
  EXPECT_LE(GrantedWithin(std::chrono::seconds(4)), 4 * 0.5 + 0.5 + 2);
}

TEST_F(GivenAnOwner, ARateOfZeroStillAllowsAFewRequests)
{
  Note(AdvertisedRate(0));
  EXPECT_EQ(GrantedWithin(std::chrono::seconds(9)), 2);
}

TEST_F(GivenAnOwner, AfterARestartItLearnsTheRateFromTheFirstRequest)
{
  EXPECT_FALSE(Ask(true, kSameHost, 2.0).mIsGranted);
  mClock.Advance(Millis(500));
  EXPECT_TRUE(Ask(true, kSameHost, 2.0).mIsGranted);
}

TEST_F(GivenAnOwner, ForAnEndpointWithoutCompanionItGrantsOnlyIfItIsTheOwner)
{
  const LimitedEndpoint plain{ 7, false };
  EXPECT_FALSE(Note(AdvertisedRate(2.0), 0, plain));
  mOwnership.SetHosts({ "10.0.0.1" }, mClock.Now());
  EXPECT_TRUE(Note(AdvertisedRate(2.0), 0, plain));
  mClock.Advance(Millis(500));
  EXPECT_TRUE(Ask(true, plain).mIsGranted);
  {
    SCOPED_TRACE("and drops it when another companion owns it");
    mClock.Advance(Millis(5000));
    mOwnership.SetHosts({ "10.0.0.2" }, mClock.Now());
    mLimits.ForgetUnowned();
    EXPECT_TRUE(mLimits.Known().empty());
    EXPECT_FALSE(Ask(true, plain).mIsGranted);
  }
}

TEST(GivenAnEndpointsResponse, OnlyADecimalNumberOfRequestsIsARate)
{
  EXPECT_EQ(ReadEndpointRate("2.3").mPerSecond, 2.3);
  EXPECT_EQ(ReadEndpointRate("0").mNotice, RateNotice::kAdvertised);
  for (const auto* bad : { "", "-1", "-0", "nan", "inf", "2,3", "2.3/s" }) {
    EXPECT_EQ(ReadEndpointRate(bad).mNotice, RateNotice::kUnreadable) << bad;
  }
}

TEST(GivenAnEndpoint, AnotherIncarnationOfItHasNoRate)
{
  EXPECT_NE(HashOfIncarnation("i-1", EndpointIncarnation(1)),
            HashOfIncarnation("i-1", EndpointIncarnation(2)));
}

TEST(GivenRefusedCallers, TheirRetriesMatchTheRateOfAllRelays)
{
  const TimePoint now;
  RetrySchedule schedule;
  EXPECT_EQ(schedule.Next(2.0, 4, now), Millis(300));
  EXPECT_EQ(schedule.Next(2.0, 4, now), Millis(2300));
  EXPECT_EQ(schedule.Next(2.0, 4, now), Millis(4300));
  {
    SCOPED_TRACE("no delay exceeds ten seconds");
    for (int i = 0; i < 10; ++i) {
      EXPECT_LE(schedule.Next(0.1, 4, now), Millis(10000));
    }
  }
}

class GivenEndpointsOfWhichOneAdvertisesARate : public ::testing::Test
{
protected:
  GivenEndpointsOfWhichOneAdvertisesARate()
  {
    for (std::size_t i = 0; i < mCandidates.size(); ++i) {
      mCandidates[i].mNameHash = i + 1;
      mCandidates[i].mSlots = 8;
    }
    mCandidates[0].mIsLimited = true;
    mCandidates[0].mHoldsPart = true;
  }

  /// Whether some prompt or request is sent to the endpoint that advertises a
  /// rate.
  bool IsUsed()
  {
    RandomSource random(1);
    bool isUsed = false;
    for (std::uint64_t key = 0; key < 100; ++key) {
      isUsed |= ChooseByPart(mCandidates, key, {}) == 0U;
      isUsed |= ChooseByLoad(mCandidates, key, {}, random) == 0U;
      isUsed |= ChooseForSuspect(mCandidates, key, {}) == 0U;
    }
    return isUsed;
  }

  std::array<RelayCandidate, 3> mCandidates;
};

TEST_F(GivenEndpointsOfWhichOneAdvertisesARate, OthersWithFreeSlotsAreChosen)
{
  EXPECT_FALSE(IsUsed());
}

TEST_F(GivenEndpointsOfWhichOneAdvertisesARate, ItIsChosenWhenTheyAreFull)
{
  mCandidates[1].mRunning = 8;
  mCandidates[2].mQueuedTokens = 50000;
  EXPECT_TRUE(IsUsed());
}

TEST_F(GivenEndpointsOfWhichOneAdvertisesARate, ItIsChosenWhenTheyAreSuspect)
{
  mCandidates[1].mIsSuspect = true;
  mCandidates[2].mIsSuspect = true;
  EXPECT_TRUE(IsUsed());
}

} // namespace shuntjunction::state
