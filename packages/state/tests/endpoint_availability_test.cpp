#include <gtest/gtest.h>

#include <vector>

#include "shuntjunction/state/endpoint_availability.h"

// Whether a relay may send to an endpoint, according to the list, the
// endpoint's own responses and failed attempts.

namespace shuntjunction::state {

namespace {

EndpointNotice
Drain()
{
  EndpointNotice notice;
  notice.mIsDraining = true;
  return notice;
}

EndpointNotice
Cooldown(Millis aTime)
{
  EndpointNotice notice;
  notice.mRetryAfter = { RetryAfterForm::kDelay, aTime, 0 };
  return notice;
}

} // namespace

class GivenAListedEndpoint : public ::testing::Test
{
protected:
  NoticeChange Take(const EndpointNotice& aNotice)
  {
    return mEndpoint.Take(aNotice, mClock.Now(), mClock.WallMillis());
  }

  Obstacle Now() const { return mEndpoint.ObstacleAt(mClock.Now()); }

  ManualClock mClock;
  EndpointAvailability mEndpoint;
};

TEST_F(GivenAListedEndpoint, ItIsAvailable)
{
  EXPECT_EQ(Now(), Obstacle::kNone);
}

TEST_F(GivenAListedEndpoint, AResponseThatAdvertisesNothingChangesNothing)
{
  const auto change = Take({});
  EXPECT_FALSE(change.mIsDraining);
  EXPECT_EQ(change.mCooldown, Millis(0));
  EXPECT_EQ(Now(), Obstacle::kNone);
}

TEST_F(GivenAListedEndpoint, RemovalComesBeforeAnyOtherObstacle)
{
  Take(Drain());
  mEndpoint.SetListing(false, false);
  EXPECT_EQ(Now(), Obstacle::kRemoved);
}

TEST_F(GivenAListedEndpoint, APermitMayBeMissingAtTheChoiceButNotAtTheSend)
{
  PermitNeed need{ true, false, mClock.Now() + Millis(10) };
  EXPECT_EQ(mEndpoint.ObstacleAt(mClock.Now(), need), Obstacle::kNoPermit);
  mClock.Advance(Millis(10));
  EXPECT_EQ(mEndpoint.ObstacleAt(mClock.Now(), need), Obstacle::kNone);
  EXPECT_EQ(mEndpoint.ObstacleAtSend(mClock.Now(), need), Obstacle::kNoPermit);
  need.mIsHeld = true;
  EXPECT_EQ(mEndpoint.ObstacleAtSend(mClock.Now(), need), Obstacle::kNone);
}

class WhoseResponseReportedADrain : public GivenAListedEndpoint
{
protected:
  WhoseResponseReportedADrain() { EXPECT_TRUE(Take(Drain()).mIsDraining); }
};

TEST_F(WhoseResponseReportedADrain, ItIsNotAvailable)
{
  EXPECT_EQ(Now(), Obstacle::kDraining);
}

TEST_F(WhoseResponseReportedADrain, AListThatShowsItAsReadyDoesNotBringItBack)
{
  mEndpoint.SetListing(true, true);
  mEndpoint.SetListing(true, false);
  EXPECT_EQ(Now(), Obstacle::kDraining);
}

TEST_F(WhoseResponseReportedADrain, AResponseWithoutTheReportDoesNotBringItBack)
{
  EXPECT_FALSE(Take({}).mIsDraining);
  EXPECT_EQ(Now(), Obstacle::kDraining);
}

TEST_F(WhoseResponseReportedADrain, FurtherReportsChangeNothing)
{
  EXPECT_FALSE(Take(Drain()).mIsDraining);
}

class ThatAskedForACooldown : public GivenAListedEndpoint
{
protected:
  static constexpr Millis kTime{ 3000 };

  ThatAskedForACooldown() { EXPECT_EQ(Take(Cooldown(kTime)).mCooldown, kTime); }

  /// Sends a request that is not answered yet.
  void SendUnanswered()
  {
    mSent.push_back(mEndpoint.GrantClearance(mClock.Now()));
  }

  /// Sends a request that is answered at once.
  void SendOne(bool aIsAccepted)
  {
    ASSERT_EQ(Now(), Obstacle::kNone);
    mEndpoint.Settle(mEndpoint.GrantClearance(mClock.Now()), aIsAccepted);
  }

  std::vector<SendClearance> mSent;
};

TEST_F(ThatAskedForACooldown, ItIsNotAvailableUntilTheEnd)
{
  mClock.Advance(kTime - Millis(1));
  EXPECT_EQ(Now(), Obstacle::kCooldown);
  mClock.Advance(Millis(1));
  EXPECT_EQ(Now(), Obstacle::kNone);
}

TEST_F(ThatAskedForACooldown, AShorterOneAskedForLaterDoesNotShortenIt)
{
  mClock.Advance(Millis(100));
  Take(Cooldown(Millis(200)));
  mClock.Advance(Millis(2000));
  EXPECT_EQ(Now(), Obstacle::kCooldown);
}

TEST_F(ThatAskedForACooldown, ALongerOneAskedForLaterExtendsIt)
{
  Take(Cooldown(2 * kTime));
  mClock.Advance(kTime);
  EXPECT_EQ(Now(), Obstacle::kCooldown);
}

TEST_F(ThatAskedForACooldown, AResponseSentBeforeItDoesNotEndIt)
{
  Take({});
  EXPECT_EQ(Now(), Obstacle::kCooldown);
}

TEST_F(ThatAskedForACooldown, AShortPauseAfterAFailureDoesNotEndIt)
{
  mEndpoint.Pause(Millis(50), mClock.Now());
  mClock.Advance(Millis(50));
  EXPECT_EQ(Now(), Obstacle::kCooldown);
}

class WhoseCooldownIsOver : public ThatAskedForACooldown
{
protected:
  WhoseCooldownIsOver() { mClock.Advance(kTime); }
};

TEST_F(WhoseCooldownIsOver, OneRequestGoesThereFirst)
{
  SendUnanswered();
  EXPECT_EQ(Now(), Obstacle::kRecovering);
}

TEST_F(WhoseCooldownIsOver, EachAcceptedRequestDoublesThoseInFlight)
{
  SendOne(true);
  SendUnanswered();
  EXPECT_EQ(Now(), Obstacle::kNone);
  SendUnanswered();
  EXPECT_EQ(Now(), Obstacle::kRecovering);
}

TEST_F(WhoseCooldownIsOver, AFailedRequestDoesNotRaiseTheLimit)
{
  SendOne(false);
  SendUnanswered();
  EXPECT_EQ(Now(), Obstacle::kRecovering);
}

TEST_F(WhoseCooldownIsOver, AfterSomeAcceptedRequestsThereIsNoLimit)
{
  for (int i = 0; i < 4; ++i) {
    SendOne(true);
  }
  for (int i = 0; i < 100; ++i) {
    ASSERT_EQ(Now(), Obstacle::kNone);
    SendUnanswered();
  }
}

TEST_F(WhoseCooldownIsOver, ANewCooldownRestartsTheRecovery)
{
  auto former = mEndpoint.GrantClearance(mClock.Now());
  Take(Cooldown(kTime));
  mClock.Advance(kTime);
  SendUnanswered();
  mEndpoint.Settle(std::move(former), true);
  EXPECT_EQ(Now(), Obstacle::kRecovering);
}

class GivenAnAvailabilityRegistry : public ::testing::Test
{
protected:
  AvailabilityRegistry mRegistry;
  const EndpointIncarnation mFirst{ 1000 };
  const EndpointIncarnation mSecond{ 2000 };
};

TEST_F(GivenAnAvailabilityRegistry,
       AnEntryThatExpiredAndReappearedIsStillDraining)
{
  mRegistry.Find("i-1", mFirst)->Take(Drain(), TimePoint(), 0);
  mRegistry.NoteRemoved("i-1");
  EXPECT_EQ(mRegistry.Removed(), 1U);
  const auto again = mRegistry.Find("i-1", mFirst);
  again->SetListing(true, false);
  EXPECT_EQ(again->ObstacleAt(TimePoint()), Obstacle::kDraining);
  EXPECT_EQ(mRegistry.Removed(), 0U);
}

TEST_F(GivenAnAvailabilityRegistry, ADelayedListIsNoNewIncarnation)
{
  mRegistry.Find("i-1", mSecond)->Take(Drain(), TimePoint(), 0);
  mRegistry.NoteRemoved("i-1");
  for (const auto incarnation : { mFirst, EndpointIncarnation() }) {
    EXPECT_TRUE(mRegistry.Find("i-1", incarnation)->IsDraining());
  }
}

TEST_F(GivenAnAvailabilityRegistry, AnIncarnationHiddenByADelayedListIsNotNew)
{
  mRegistry.Find("i-1", mSecond)->Take(Drain(), TimePoint(), 0);
  mRegistry.NoteRemoved("i-1");
  mRegistry.Find("i-1", mFirst);
  EXPECT_TRUE(mRegistry.Begin("i-1", mSecond)->IsDraining());
}

TEST_F(GivenAnAvailabilityRegistry,
       ANewIncarnationIsAvailableWhateverTheFormerReported)
{
  const auto former = mRegistry.Find("i-1", mFirst);
  former->Take(Drain(), TimePoint(), 0);
  mRegistry.NoteRemoved("i-1");
  const auto next = mRegistry.Find("i-1", mSecond);
  EXPECT_EQ(next->ObstacleAt(TimePoint()), Obstacle::kNone);
  EXPECT_EQ(former->ObstacleAt(TimePoint()), Obstacle::kRemoved);
}

TEST_F(GivenAnAvailabilityRegistry,
       AResponseOfAFormerIncarnationDoesNotAffectTheNext)
{
  const auto former = mRegistry.Find("i-1", mFirst);
  const auto next = mRegistry.Begin("i-1", mSecond);
  former->Take(Drain(), TimePoint(), 0);
  EXPECT_FALSE(next->IsDraining());
}

TEST_F(GivenAnAvailabilityRegistry, TheLatestRemovedEndpointsAreKept)
{
  constexpr int kMany = 3000;
  for (int i = 0; i < kMany; ++i) {
    const auto id = "i-" + std::to_string(i);
    mRegistry.Find(id, mFirst)->Take(Drain(), TimePoint(), 0);
    mRegistry.NoteRemoved(id);
  }
  EXPECT_LE(mRegistry.Removed(), 1024U);
  EXPECT_TRUE(
    mRegistry.Find("i-" + std::to_string(kMany - 1), mFirst)->IsDraining());
}

} // namespace shuntjunction::state
