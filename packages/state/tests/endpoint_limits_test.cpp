// The story of an endpoint in need that names the requests a second that it
// takes, and of the companion that keeps this rate for all relays.

#include <gtest/gtest.h>

#include <array>

#include "shuntjunction/state/endpoint_limits.h"
#include "shuntjunction/state/relay_choice.h"
#include "shuntjunction/state/retry_schedule.h"

namespace shuntjunction::state {

namespace {

constexpr LimitedEndpoint kBeside{ 7, true };

EndpointRate
Named(double aPerSecond)
{
  return { RateNotice::kNamed, aPerSecond };
}

} // namespace

class GivenAKeeper : public ::testing::Test
{
protected:
  PlaceGrant Ask(bool aIsUrgent = true,
                 LimitedEndpoint aEndpoint = kBeside,
                 double aPerSecond = 2.0)
  {
    return mLimits.Take({ aEndpoint, aPerSecond, aIsUrgent }, mClock.Now());
  }

  std::optional<RateNews> Note(EndpointRate aRate,
                               std::uint32_t aEdition = 0,
                               LimitedEndpoint aEndpoint = kBeside)
  {
    return mLimits.Note({ aEndpoint, aRate, aEdition }, mClock.Now());
  }

  /// Places that are given in a time to relays that ask all the time.
  int GivenIn(std::chrono::seconds aTime)
  {
    constexpr Millis kStep{ 10 };
    int given = 0;
    const auto end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      given += Ask().mIsGiven ? 1 : 0;
      mClock.Advance(kStep);
    }
    return given;
  }

  ManualClock mClock;
  ShareOwnership mOwnership{ {}, "10.0.0.1" };
  EndpointLimits mLimits{ {}, mOwnership, 100 };
};

TEST_F(GivenAKeeper, TheFirstAnswerThatNamesARateIsNewsForAllRelays)
{
  const auto news = Note(Named(2.0));
  ASSERT_TRUE(news);
  EXPECT_EQ(news->mPerSecond, 2.0);
  {
    SCOPED_TRACE("but no further one that names the same");
    EXPECT_FALSE(Note(Named(2.0)));
  }
  {
    SCOPED_TRACE("another figure is");
    EXPECT_EQ(Note(Named(0.5))->mPerSecond, 0.5);
  }
  {
    SCOPED_TRACE("and relays that connect later hear it");
    ASSERT_EQ(mLimits.Known().size(), 1U);
    EXPECT_EQ(mLimits.Known()[0].mPerSecond, 0.5);
  }
}

class ThatWasToldARate : public GivenAKeeper
{
protected:
  ThatWasToldARate() { Note(Named(2.0)); }
};

TEST_F(ThatWasToldARate, ItBeginsWithNothingToGive)
{
  const auto grant = Ask();
  EXPECT_FALSE(grant.mIsGiven);
  EXPECT_EQ(grant.mRefill, Millis(500));
}

TEST_F(ThatWasToldARate, ItGivesTheRateHoweverManyAsk)
{
  EXPECT_EQ(GivenIn(std::chrono::seconds(20)), 39);
}

TEST_F(ThatWasToldARate, AfterARestItGivesASecondsWorthAndTwoMore)
{
  mClock.Advance(Millis(60000) - Millis(1));
  int given = 0;
  while (Ask().mIsGiven) {
    ++given;
  }
  EXPECT_EQ(given, 4);
}

TEST_F(ThatWasToldARate, APlaceThatComesBackCanBeGivenAgain)
{
  mClock.Advance(Millis(500));
  EXPECT_TRUE(Ask().mIsGiven);
  EXPECT_FALSE(Ask().mIsGiven);
  mLimits.GiveBack(kBeside.mHash);
  EXPECT_TRUE(Ask().mIsGiven);
}

TEST_F(ThatWasToldARate, UrgentRequestsTakeTheNextPlaceBeforeOthers)
{
  mClock.Advance(Millis(500));
  EXPECT_FALSE(Ask(false).mIsGiven);
  EXPECT_TRUE(Ask(true).mIsGiven);
  {
    SCOPED_TRACE("and leave what they don't take to the others");
    mClock.Advance(Millis(750));
    EXPECT_TRUE(Ask(false).mIsGiven);
  }
}

TEST_F(ThatWasToldARate, AnAnswerWithoutOneEndsIt)
{
  mClock.Advance(Millis(500));
  const auto grant = Ask();
  ASSERT_TRUE(grant.mIsGiven);
  const auto news = Note({}, grant.mRateVersion);
  ASSERT_TRUE(news);
  EXPECT_FALSE(news->mPerSecond);
  EXPECT_TRUE(mLimits.Known().empty());
}

TEST_F(ThatWasToldARate, AnAnswerWithoutOneThatAnotherPassedDoesNot)
{
  mClock.Advance(Millis(500));
  const auto grant = Ask();
  Note(Named(2.0));
  EXPECT_FALSE(Note({}, grant.mRateVersion));
  {
    SCOPED_TRACE("nor one whose request went without a place");
    EXPECT_FALSE(Note({}, 0));
  }
}

TEST_F(ThatWasToldARate, ALowerRateLeavesNothingOfTheFormerBurst)
{
  mClock.Advance(Millis(30000));
  Note(Named(0.5));
  EXPECT_LE(GivenIn(std::chrono::seconds(4)), 4 * 0.5 + 0.5 + 2);
}

TEST_F(GivenAKeeper, ARateOfZeroLetsOneThroughNowAndThen)
{
  Note(Named(0));
  EXPECT_EQ(GivenIn(std::chrono::seconds(9)), 2);
}

TEST_F(GivenAKeeper, ThatRestartedItLearnsTheRateFromTheFirstQuestion)
{
  EXPECT_FALSE(Ask(true, kBeside, 2.0).mIsGiven);
  mClock.Advance(Millis(500));
  EXPECT_TRUE(Ask(true, kBeside, 2.0).mIsGiven);
}

TEST_F(GivenAKeeper, OfAnEndpointWithoutCompanionItGivesOnlyIfItIsTheKeeper)
{
  const LimitedEndpoint plain{ 7, false };
  EXPECT_FALSE(Note(Named(2.0), 0, plain));
  mOwnership.SetHosts({ "10.0.0.1" }, mClock.Now());
  EXPECT_TRUE(Note(Named(2.0), 0, plain));
  mClock.Advance(Millis(500));
  EXPECT_TRUE(Ask(true, plain).mIsGiven);
  {
    SCOPED_TRACE("and forgets it when another keeps it");
    mClock.Advance(Millis(5000));
    mOwnership.SetHosts({ "10.0.0.2" }, mClock.Now());
    mLimits.ForgetUnowned();
    EXPECT_TRUE(mLimits.Known().empty());
    EXPECT_FALSE(Ask(true, plain).mIsGiven);
  }
}

TEST(GivenAnEndpointsAnswer, OnlyADecimalNumberOfRequestsIsARate)
{
  EXPECT_EQ(ReadEndpointRate("2.3").mPerSecond, 2.3);
  EXPECT_EQ(ReadEndpointRate("0").mNotice, RateNotice::kNamed);
  for (const auto* bad : { "", "-1", "-0", "nan", "inf", "2,3", "2.3/s" }) {
    EXPECT_EQ(ReadEndpointRate(bad).mNotice, RateNotice::kUnreadable) << bad;
  }
}

TEST(GivenAnEndpoint, AnotherLifeOfItHasNamedNothing)
{
  EXPECT_NE(HashOfIncarnation("i-1", EndpointIncarnation(1)),
            HashOfIncarnation("i-1", EndpointIncarnation(2)));
}

TEST(GivenCallersWithoutAPlace, TheyComeBackAsFastAsAllRelaysMaySend)
{
  const TimePoint now;
  RetrySchedule schedule;
  EXPECT_EQ(schedule.Next(2.0, 4, now), Millis(300));
  EXPECT_EQ(schedule.Next(2.0, 4, now), Millis(2300));
  EXPECT_EQ(schedule.Next(2.0, 4, now), Millis(4300));
  {
    SCOPED_TRACE("and are told of no time that is far off");
    for (int i = 0; i < 10; ++i) {
      EXPECT_LE(schedule.Next(0.1, 4, now), Millis(10000));
    }
  }
}

class GivenEndpointsOfWhichOneNamesARate : public ::testing::Test
{
protected:
  GivenEndpointsOfWhichOneNamesARate()
  {
    for (std::size_t i = 0; i < mCandidates.size(); ++i) {
      mCandidates[i].mNameHash = i + 1;
      mCandidates[i].mSlots = 8;
    }
    mCandidates[0].mIsLimited = true;
    mCandidates[0].mHoldsPart = true;
  }

  /// Whether some prompt or request is sent to the one that names a rate.
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

TEST_F(GivenEndpointsOfWhichOneNamesARate, OthersThatHaveRoomAreChosen)
{
  EXPECT_FALSE(IsUsed());
}

TEST_F(GivenEndpointsOfWhichOneNamesARate, ItIsChosenWhenTheyAreFull)
{
  mCandidates[1].mRunning = 8;
  mCandidates[2].mQueuedTokens = 50000;
  EXPECT_TRUE(IsUsed());
}

TEST_F(GivenEndpointsOfWhichOneNamesARate, ItIsChosenWhenTheyAreSuspect)
{
  mCandidates[1].mIsSuspect = true;
  mCandidates[2].mIsSuspect = true;
  EXPECT_TRUE(IsUsed());
}

} // namespace shuntjunction::state
