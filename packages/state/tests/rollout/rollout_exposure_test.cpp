#include <random>

#include <gtest/gtest.h>

#include "shuntjunction/state/rollout/rollout_exposure.h"

// Tests how many requests a relay sends to the target version of a roll-out.

namespace shuntjunction::state {

class GivenARelayWithAnOrder : public ::testing::Test
{
protected:
  /// Sets the step that the relay knows.
  void SetStep(RolloutState aState, double aShare)
  {
    RolloutStatus status;
    status.mState = aState;
    status.mShare = aShare;
    mRollout.mStatus = status;
  }

  VersionChoice Choose(Millis aConfirmedAge = Millis(0), bool aIsRepeat = false)
  {
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    return mExposure.Choose(
      mRollout, aConfirmedAge, aConfirmedAge, draw(mRandom), aIsRepeat);
  }

  /// Sends a number of requests; returns how many reached the target version.
  std::uint64_t Send(int aRequests, Millis aConfirmedAge = Millis(0))
  {
    const auto before = mExposure.Exposed();
    for (int i = 0; i < aRequests; ++i) {
      mExposure.NoteSent(Choose(aConfirmedAge) == VersionChoice::kTarget);
    }
    return mExposure.Exposed() - before;
  }

  std::mt19937_64 mRandom{ 7 };
  Rollout mRollout;
  RolloutExposure mExposure{ RolloutBounds{ 0.1, 50, Millis(5000) } };
};

TEST_F(GivenARelayWithAnOrder, BeforeTheFirstStepOnlyOldVersionsGetRequests)
{
  EXPECT_EQ(Send(1000), 0U);
}

TEST_F(GivenARelayWithAnOrder, AfterCompletionOnlyTheTargetGetsRequests)
{
  SetStep(RolloutState::kCompleted, 1.0);
  EXPECT_EQ(Send(1000, Millis::max()), 1000U);
}

TEST_F(GivenARelayWithAnOrder, AfterARollBackOnlyOldVersionsGetRequests)
{
  SetStep(RolloutState::kRolledBack, 0.0);
  EXPECT_EQ(Send(1000), 0U);
}

class AtTheCanary : public GivenARelayWithAnOrder
{
protected:
  AtTheCanary() { SetStep(RolloutState::kRunning, 0.08); }
};

TEST_F(AtTheCanary, TheBoundHoldsAtEachMoment)
{
  for (int sent = 1; sent <= 20000; ++sent) {
    Send(1);
    ASSERT_LE(static_cast<double>(mExposure.Exposed()), 0.1 * sent + 50);
  }
  EXPECT_NEAR(static_cast<double>(mExposure.Exposed()), 0.08 * 20000, 200);
}

// Guards against a canary that gets nothing: in a fleet of many relays each has
// only a few requests.
TEST_F(AtTheCanary, RelaysWithFewRequestsExposeTheirShareToo)
{
  std::uint64_t exposed = 0;
  for (int relay = 0; relay < 2000; ++relay) {
    mExposure = RolloutExposure({ 0.1, 50, Millis(5000) });
    exposed += Send(5);
  }
  EXPECT_NEAR(static_cast<double>(exposed), 0.08 * 10000, 150);
}

TEST_F(AtTheCanary, ARelayWithoutConfirmationUsesOldVersions)
{
  EXPECT_GT(Send(1000, RolloutExposure::kLease), 0U);
  EXPECT_EQ(Send(1000, RolloutExposure::kLease + Millis(1)), 0U);
}

TEST_F(AtTheCanary, ARepeatedRequestIsNotExposedAgain)
{
  for (int i = 0; i < 1000; ++i) {
    ASSERT_EQ(Choose(Millis(0), true), VersionChoice::kOld);
    mExposure.NoteSent(false);
  }
}

// Guards against bursts at the target version after a pause of its use.
TEST_F(AtTheCanary, RequestsThatWereNotExposedAreNotMadeUpFor)
{
  Send(1000, Millis::max());
  EXPECT_LE(Send(100), 25U);
}

class BeyondTheCanary : public GivenARelayWithAnOrder
{};

TEST_F(BeyondTheCanary, AStepSendsItsShare)
{
  SetStep(RolloutState::kRunning, 0.25);
  const auto exposed = Send(10000);
  EXPECT_GT(exposed, 2200U);
  EXPECT_LT(exposed, 2800U);
}

TEST_F(BeyondTheCanary, TheLastStepSendsEverythingAlsoRepeats)
{
  SetStep(RolloutState::kRunning, 1.0);
  EXPECT_EQ(Send(100), 100U);
  EXPECT_EQ(Choose(Millis(0), true), VersionChoice::kTarget);
  EXPECT_EQ(Choose(RolloutExposure::kRampLease), VersionChoice::kTarget);
  EXPECT_EQ(Choose(RolloutExposure::kRampLease + Millis(1)),
            VersionChoice::kOld);
}

} // namespace shuntjunction::state
