// Tokens that wait for prefill at an engine, and the urgency of requests by
// their expected time to first token.

#include <gtest/gtest.h>

#include "engine_simulation.h"

namespace shuntjunction::state {

class GivenWaitingTokens : public ::testing::Test
{
protected:
  GivenWaitingTokens()
  {
    mWaiting.Add(0, 100);
    mWaiting.Add(3, 1000);
  }

  WaitingTokens mWaiting;
};

TEST_F(GivenWaitingTokens, OnlyTheMoreUrgentAndAsUrgentAreAhead)
{
  EXPECT_EQ(mWaiting.AheadOf(0), 100);
  EXPECT_EQ(mWaiting.AheadOf(2), 100);
  EXPECT_EQ(mWaiting.AheadOf(3), 1100);
  EXPECT_EQ(mWaiting.Total(), 1100);
}

TEST_F(GivenWaitingTokens, AnUrgencyOutOfRangeIsClamped)
{
  mWaiting.Add(-4, 1);
  mWaiting.Add(70, 10);
  EXPECT_EQ(mWaiting.AheadOf(-1), 101);
  EXPECT_EQ(mWaiting.AheadOf(12), 1111);
}

TEST_F(GivenWaitingTokens, NoLevelFallsBelowZero)
{
  mWaiting.Remove(3, 5000);
  EXPECT_EQ(mWaiting.Total(), 100);
}

TEST_F(GivenWaitingTokens, ImplausibleCountsOfAPeerAreClamped)
{
  const WaitingTokens reported(
    WaitingTokens::Levels{ -5, INT64_MAX, 0, 0, 0, 0, 0, 0, 0, 7 });
  EXPECT_EQ(reported.AheadOf(0), 0);
  EXPECT_LT(reported.Total(), 100'000'000);
}

class GivenAPrefillRate : public ::testing::Test
{
protected:
  FirstTokenSettings mSettings;
  PrefillRate mRate{ mSettings };
};

TEST_F(GivenAPrefillRate, ItIsLearnedFromPrefills)
{
  for (int i = 0; i < 100; ++i) {
    mRate.Note(8000, Millis(100));
  }
  EXPECT_NEAR(mRate.TokensPerMilli(), 80.0, 1.0);
  EXPECT_EQ(mRate.TimeOf(8000).count() / 10, 10);
}

TEST_F(GivenAPrefillRate, ShortPromptsAreNotObserved)
{
  mRate.Note(mSettings.mMinTokens - 1, Millis(500));
  EXPECT_EQ(mRate.TokensPerMilli(), mSettings.mInitialRate);
}

TEST_F(GivenAPrefillRate, ImplausibleObservationsAreClamped)
{
  for (int i = 0; i < 1000; ++i) {
    mRate.Note(INT64_MAX, Millis(-7));
  }
  EXPECT_LE(mRate.TokensPerMilli(), mSettings.mMaxRate);
  for (int i = 0; i < 1000; ++i) {
    mRate.Note(mSettings.mMinTokens, Millis::max());
  }
  EXPECT_GE(mRate.TokensPerMilli(), 0.9 * mSettings.mMinRate);
}

class GivenARequestToSend : public ::testing::Test
{
protected:
  int Urgency(Millis aElapsed, Millis aExpected, int aUrgency = 1) const
  {
    return EffectiveUrgency({ aElapsed, aExpected, Millis(600), aUrgency },
                            mSettings);
  }

  FirstTokenSettings mSettings;
};

TEST_F(GivenARequestToSend, OneThatMeetsItsObjectiveKeepsItsUrgency)
{
  EXPECT_EQ(Urgency(Millis(100), Millis(400)), 1);
}

TEST_F(GivenARequestToSend, OneThatMissesItGoesBehindAllThatMeetTheirs)
{
  EXPECT_EQ(Urgency(Millis(100), Millis(900)), 1 + mSettings.mLateDemotion);
  EXPECT_EQ(Urgency(Millis(900), Millis(100)), 1 + mSettings.mLateDemotion);
}

TEST_F(GivenARequestToSend, ItIsNotDemotedBelowTheLowestLevel)
{
  EXPECT_EQ(Urgency(Millis(0), Millis(5000), 8), kUrgencyLevels - 1);
}

/// An engine that prefills 40 tokens per millisecond gets 40 requests of 9,000
/// tokens (225 ms each) in 4.5 s, in which it can serve 20.
class GivenTwiceTheLoadAnEngineCanServe : public ::testing::Test
{
protected:
  std::vector<SimulatedRequest> Play(QueueingPolicy aPolicy) const
  {
    constexpr int kRequests = 40;
    std::vector<SimulatedRequest> requests;
    requests.reserve(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      requests.push_back({ Millis(112 * i), 9000, Millis(600) });
    }
    EngineSimulation(40.0, aPolicy, Millis(2400)).Play(requests);
    return requests;
  }

  static long InTime(const std::vector<SimulatedRequest>& aRequests)
  {
    return std::count_if(aRequests.begin(),
                         aRequests.end(),
                         [](const auto& aOne) { return aOne.IsInTime(); });
  }

  static long TimedOut(const std::vector<SimulatedRequest>& aRequests)
  {
    return std::count_if(aRequests.begin(),
                         aRequests.end(),
                         [](const auto& aOne) { return aOne.IsAbandoned(); });
  }
};

TEST_F(GivenTwiceTheLoadAnEngineCanServe, InOrderOfArrivalNearlyAllAreLate)
{
  EXPECT_LT(InTime(Play(QueueingPolicy::kByRouteUrgency)), 8);
}

TEST_F(GivenTwiceTheLoadAnEngineCanServe, ByObjectiveMostOfThoseServedAreInTime)
{
  // The engine can serve 20 in that time.
  EXPECT_GE(InTime(Play(QueueingPolicy::kByObjective)), 15);
}

TEST_F(GivenTwiceTheLoadAnEngineCanServe,
       LateOnesAreServedWithTheRemainingCapacity)
{
  const auto requests = Play(QueueingPolicy::kByObjective);
  const auto served =
    std::count_if(requests.begin(), requests.end(), [](const auto& aOne) {
      return aOne.mFirst.has_value();
    });
  EXPECT_GT(served, InTime(requests));
}

TEST_F(GivenTwiceTheLoadAnEngineCanServe,
       RequestsThatWouldTimeOutAreRefusedAtOnce)
{
  const auto without = Play(QueueingPolicy::kByObjective);
  const auto with = Play(QueueingPolicy::kByObjectiveRejecting);
  EXPECT_GE(InTime(with), InTime(without));
  EXPECT_LE(TimedOut(with), TimedOut(without) / 2);
}

TEST_F(GivenTwiceTheLoadAnEngineCanServe, NoneIsRefusedWhileAllCanBeServed)
{
  constexpr int kRequests = 40;
  std::vector<SimulatedRequest> requests;
  requests.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    requests.push_back({ Millis(300 * i), 9000, Millis(600) });
  }
  EngineSimulation(40.0, QueueingPolicy::kByObjectiveRejecting, Millis(2400))
    .Play(requests);
  EXPECT_EQ(InTime(requests), kRequests);
}

/// Late requests at one engine.
class GivenLateRequests : public ::testing::Test
{
protected:
  static constexpr Millis kObjective{ 600 };

  ManualClock mClock;
  LateRequests mLateRequests;
};

TEST_F(GivenLateRequests, TheyAreStalledOnceOneHasWaitedForItsObjective)
{
  EXPECT_FALSE(mLateRequests.IsStalled(mClock.Now(), kObjective));
  const auto first = mClock.Now();
  mLateRequests.Add(first);
  mClock.Advance(kObjective);
  mLateRequests.Add(mClock.Now());
  EXPECT_FALSE(mLateRequests.IsStalled(mClock.Now(), kObjective));
  mClock.Advance(Millis(1));
  EXPECT_TRUE(mLateRequests.IsStalled(mClock.Now(), kObjective));
  {
    SCOPED_TRACE("the oldest has got its first token");
    mLateRequests.Remove(first);
    EXPECT_FALSE(mLateRequests.IsStalled(mClock.Now(), kObjective));
  }
}

TEST_F(GivenLateRequests, RetriesAreSpreadAfterTheQueueIsPrefilled)
{
  EXPECT_EQ(mLateRequests.RetryDelay(Millis(800), 0.0), Millis(800));
  EXPECT_EQ(mLateRequests.RetryDelay(Millis(800), 1.0), Millis(1600));
  EXPECT_EQ(mLateRequests.RetryDelay(Millis(10), 0.0), Millis(300));
}

} // namespace shuntjunction::state
