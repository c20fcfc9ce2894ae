#include <random>

#include <gtest/gtest.h>

#include "shuntjunction/state/rollout/rollout_comparison.h"

// Tests which versions are called good and bad, and how often wrongly.

namespace shuntjunction::state {

namespace {

/// How a version answers.
struct Behaviour
{
  double mFailShare = 0;
  double mSlowFactor = 1; ///< of its latency
};

/// Bad answers until the verdict: a version is rolled back within five seconds
/// of its 50th. Of 20 exposed requests a second that leaves 150, and one
/// second's worth of these is left for the messages.
constexpr int kMaxBadAnswers = 130;

constexpr std::uint64_t kReads = 1;
constexpr std::uint64_t kWrites = 2;

} // namespace

class GivenTwoVersions : public ::testing::Test
{
protected:
  /// Adds a request; its latency is exponential with a mean of 60 ms.
  void Answer(std::uint64_t aRoute,
              std::uint64_t aEndpoint,
              const Behaviour& aBehaviour)
  {
    std::bernoulli_distribution fails(aBehaviour.mFailShare);
    std::exponential_distribution<double> latency(1.0 / 60.0);
    auto& row = mOutcomes[{ aRoute, aEndpoint != 0, aEndpoint }];
    ++row.mRequests;
    const bool isSlow = aBehaviour.mSlowFactor > 1;
    const bool isFailed = fails(mRandom);
    mBadAnswers += aEndpoint != 0 && (isFailed || isSlow) ? 1 : 0;
    if (isFailed) {
      ++row.mFailed;
      return;
    }
    const auto time = latency(mRandom) * aBehaviour.mSlowFactor;
    ++row.mLatency[RolloutLatencyBucket(
      Millis(static_cast<std::int64_t>(time)))];
  }

  /// Sends requests of both routes, one of twelve to the target version, until
  /// a verdict or a number of them; looks at the evidence after each.
  void Compare(const Behaviour& aReads, const Behaviour& aWrites, int aRequests)
  {
    const SequentialComparison comparison;
    for (int i = 0; i < aRequests; ++i) {
      const bool isTarget = i % 12 == 0;
      const auto route = i % 5 < 2 ? kReads : kWrites;
      const std::uint64_t endpoint =
        isTarget ? 1 + static_cast<std::uint64_t>(i / 12) % mEndpoints : 0;
      const bool isDefective = endpoint != 0 && endpoint == mDefective;
      const Behaviour normal{ route == kReads ? mNaturalFailures : 0.0, 1 };
      Answer(route,
             endpoint,
             isDefective ? Behaviour{ 0.9, 1 }
             : isTarget  ? (route == kReads ? aReads : aWrites)
                         : normal);
      mFinding = comparison.Compare(mOutcomes);
      mWasGood = mWasGood || mFinding.mVerdict == RolloutVerdict::kGood;
      if (mFinding.mVerdict == RolloutVerdict::kBad) {
        break;
      }
    }
  }

  std::mt19937_64 mRandom{ 11 };
  double mNaturalFailures = 0.14; ///< of reads, at any version
  std::uint64_t mEndpoints = 3;   ///< of the target version
  std::uint64_t mDefective = 0;   ///< one of them; 0: none
  RolloutOutcomeTable mOutcomes;
  RolloutFinding mFinding;
  bool mWasGood = false;
  int mBadAnswers = 0; ///< failed, or slow by nature of the target version
};

TEST_F(GivenTwoVersions, WithoutRequestsNothingIsDecided)
{
  EXPECT_EQ(SequentialComparison().Compare({}).mVerdict,
            RolloutVerdict::kUndecided);
}

TEST_F(GivenTwoVersions, AGoodOneIsCalledGoodAfterAFewDozenRequests)
{
  Compare({ 0.14, 1 }, { 0, 1 }, 1200);
  EXPECT_EQ(mFinding.mVerdict, RolloutVerdict::kGood) << mFinding.mReason;
}

TEST_F(GivenTwoVersions, OneThatFailsIsFoundInTime)
{
  Compare({ 0.5, 1 }, { 0.4, 1 }, 6000);
  EXPECT_EQ(mFinding.mVerdict, RolloutVerdict::kBad);
  EXPECT_LT(mBadAnswers, kMaxBadAnswers) << mFinding.mReason;
}

TEST_F(GivenTwoVersions, OneThatIsFourTimesSlowerIsFoundTheSameWay)
{
  Compare({ 0.14, 4 }, { 0, 4 }, 6000);
  EXPECT_EQ(mFinding.mVerdict, RolloutVerdict::kBad);
  EXPECT_LT(mBadAnswers, kMaxBadAnswers) << mFinding.mReason;
}

TEST_F(GivenTwoVersions, OneThatFailsOnOneRouteOnlyIsFoundToo)
{
  Compare({ 0.14, 1 }, { 0.5, 1 }, 6000);
  EXPECT_EQ(mFinding.mVerdict, RolloutVerdict::kBad);
  EXPECT_LT(mBadAnswers, kMaxBadAnswers) << mFinding.mReason;
}

// Guards against blaming a version for one defective or cold endpoint.
TEST_F(GivenTwoVersions, OneDefectiveEndpointIsNotHeldAgainstTheVersion)
{
  mDefective = 2;
  Compare({ 0.14, 1 }, { 0, 1 }, 1200);
  EXPECT_NE(mFinding.mVerdict, RolloutVerdict::kBad) << mFinding.mReason;
}

// Guards against blaming a version for a burst that both versions suffer.
TEST_F(GivenTwoVersions, WhatBothSufferIsNotHeldAgainstTheTarget)
{
  const SequentialComparison comparison;
  for (int i = 0; i < 2400; ++i) {
    const bool isBurst = i > 800 && i < 1600;
    const Behaviour both{ isBurst ? 0.4 : 0.0, isBurst ? 6.0 : 1.0 };
    Answer(
      kWrites, i % 12 == 0 ? 1 + static_cast<std::uint64_t>(i) % 3 : 0, both);
    ASSERT_NE(comparison.Compare(mOutcomes).mVerdict, RolloutVerdict::kBad)
      << "after " << i << " requests";
  }
}

// The bound is the stated rate of wrong verdicts: one in 1,000 good versions
// called bad, looked at after each request. Three of 1,000 have a probability
// of .08 at that rate, six one of .0006.
TEST_F(GivenTwoVersions, OfAThousandGoodOnesHardlyAnyIsCalledBad)
{
  int wrong = 0;
  for (unsigned seed = 0; seed < 1000; ++seed) {
    mRandom.seed(seed);
    mOutcomes.clear();
    Compare({ 0.14, 1 }, { 0, 1 }, 600);
    wrong += mFinding.mVerdict == RolloutVerdict::kBad ? 1 : 0;
  }
  EXPECT_LE(wrong, 5);
}

TEST_F(GivenTwoVersions, OfAHundredBadOnesFewAreEverCalledGood)
{
  int wrong = 0;
  for (unsigned seed = 0; seed < 100; ++seed) {
    mRandom.seed(seed);
    mOutcomes.clear();
    mWasGood = false;
    Compare({ 0.5, 1 }, { 0.45, 1 }, 600);
    wrong += mWasGood ? 1 : 0;
  }
  // At most one in twenty, by the stated rate.
  EXPECT_LE(wrong, 10);
}

} // namespace shuntjunction::state
