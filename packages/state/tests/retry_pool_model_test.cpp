// Simulates relays that repeat failed requests within the budget of a service,
// and the companions that own the pool of its slack, under faults. Checks what
// all relays repeat in any window, and how many failures are repeated.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

#include "repeat_counts.h"
#include "shuntjunction/state/retry_charge.h"
#include "shuntjunction/state/retry_pool.h"

namespace shuntjunction::state {

namespace {

using namespace std::chrono_literals;

constexpr Millis kStep{ 20 };
constexpr std::size_t kCompanions = 6;
constexpr std::size_t kEndpoints = 20;

/// Time without bytes after which relays move a request elsewhere.
constexpr Millis kSilence{ 1300 };

/// Where a relay takes a repeat from that the ratio does not allow.
enum class Slack : std::uint8_t
{
  kPool,       ///< the pool that companions grant from
  kFixedShare, ///< its part of the slack, divided by twice the relays
  kUnbounded,  ///< each relay has all of it
};

/// Parameters of a run.
struct Scenario
{
  std::size_t mRelays = 356;
  double mPerSecond = 0.24; ///< first requests at each relay
  double mFailures = 0.14;  ///< share of the attempts that fail
  Slack mSlack = Slack::kPool;
  bool mHasFaults = false;
  /// Whether half of the endpoints stop for some seconds, again and again.
  /// Relays then move requests from them to others. Attempts fail some seconds
  /// later only.
  bool mHasStops = false;
  WindowBudgetSettings mBudget{ 0.2, 1040.0, 10s };
};

class Simulation
{
public:
  Simulation(std::uint64_t aSeed, const Scenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aSeed)
  {
    for (std::size_t i = 0; i < kCompanions; ++i) {
      mHosts.push_back("10.0.0." + std::to_string(100 + i));
      mCompanions.push_back(NewCompanion(i));
    }
    std::map<std::string, std::string> zones;
    for (const auto& host : mHosts) {
      zones[host] = "a";
    }
    for (std::size_t i = 0; i < mScenario.mRelays; ++i) {
      mRelays.push_back({ NewBudget(), ShareDirectory(i) });
      mRelays.back().mOwners.SetHosts(zones);
    }
  }

  void Run(Millis aTime)
  {
    std::poisson_distribution<int> arrivals(
      mScenario.mPerSecond * std::chrono::duration<double>(kStep).count());
    for (Millis passed{ 0 }; passed < aTime; passed += kStep) {
      mClock.Advance(kStep);
      mSteps.emplace_back();
      if (mScenario.mHasFaults) {
        InjectFaults();
      }
      if (mScenario.mHasStops) {
        StopAndResume();
        MoveWaiting();
      }
      for (auto& relay : mRelays) {
        for (int i = arrivals(mRandom); i > 0; --i) {
          Serve(relay);
        }
      }
    }
  }

  /// Share of the failed first attempts that were repeated.
  double RepeatedShare() const
  {
    return static_cast<double>(mRepeated) / std::max(mFailed, 1);
  }

  void ResetCounts()
  {
    mFailed = 0;
    mRepeated = 0;
  }

  double Excess() const
  {
    return LargestExcess(mSteps, kStep, mScenario.mBudget);
  }

  double CountedExcess() const
  {
    return LargestCountedExcess(mSteps, kStep, mScenario.mBudget);
  }

private:
  struct Relay
  {
    std::shared_ptr<WindowBudget> mOwn;
    ShareDirectory mOwners;
  };

  /// One request and what arrived of it.
  struct Request
  {
    Relay* mRelay = nullptr;
    int mArrivals = 0;
    RetryChargePtr mCharge; ///< of its repeat, while a send has not arrived
  };
  using RequestPtr = std::shared_ptr<Request>;

  /// A request that was sent to an endpoint while that had stopped.
  struct WaitingSend
  {
    RequestPtr mRequest;
    TimePoint mSentAt;
    bool mIsMoved = false;
  };

  struct Endpoint
  {
    bool mIsStopped = false;
    std::vector<WaitingSend> mWaiting;
  };

  bool Happens(double aChance)
  {
    return std::uniform_real_distribution(0.0, 1.0)(mRandom) < aChance;
  }

  std::shared_ptr<WindowBudget> NewBudget() const
  {
    auto settings = mScenario.mBudget;
    if (mScenario.mSlack == Slack::kPool) {
      settings = RelayRetryBudget(settings);
    } else if (mScenario.mSlack == Slack::kFixedShare) {
      const auto relays = static_cast<double>(mScenario.mRelays);
      settings.mSlack = std::floor(settings.mSlack / (2 * relays));
    }
    return std::make_shared<WindowBudget>(settings, mClock.Now());
  }

  std::unique_ptr<LimitShares> NewCompanion(std::size_t aIndex) const
  {
    auto companion =
      std::make_unique<LimitShares>(LimitSharesSettings{}, mHosts[aIndex]);
    companion->SetHosts(mHosts, mClock.Now());
    return companion;
  }

  void InjectFaults()
  {
    constexpr double kRestarts = 0.004;
    constexpr double kFullRestarts = 0.0005;
    if (Happens(kRestarts)) {
      const auto at = mRandom() % kCompanions;
      mCompanions[at] = NewCompanion(at);
    }
    if (Happens(kRestarts)) {
      mRelays[mRandom() % mRelays.size()].mOwn = NewBudget();
    }
    if (Happens(kFullRestarts)) {
      for (auto& relay : mRelays) {
        relay.mOwn = NewBudget();
      }
      for (std::size_t i = 0; i < kCompanions; ++i) {
        mCompanions[i] = NewCompanion(i);
      }
    }
  }

  void Serve(Relay& aRelay)
  {
    aRelay.mOwn->NoteFirst(mClock.Now());
    ++mSteps.back().mFirsts;
    if (mScenario.mHasStops) {
      SendToAny(std::make_shared<Request>(Request{ &aRelay, 0, nullptr }));
      return;
    }
    if (!Happens(mScenario.mFailures)) {
      return;
    }
    ++mFailed;
    if (aRelay.mOwn->TryRepeat(mClock.Now()) || TakeFromPool(aRelay)) {
      ++mRepeated;
      ++mSteps.back().mRepeats;
    }
  }

  /// Time since the current cycle began. In each the endpoints work, half of
  /// them stop, all work again, and then fail.
  TimePoint::duration Phase() const
  {
    return mClock.Now().time_since_epoch() % 24s;
  }

  /// Stops half of the endpoints for four seconds; those that resume receive
  /// what waits there.
  void StopAndResume()
  {
    const auto phase = Phase();
    for (std::size_t i = 0; i < mEndpoints.size(); ++i) {
      auto& endpoint = mEndpoints[i];
      endpoint.mIsStopped = i % 2 == 0 && phase >= 8s && phase < 12s;
      if (!endpoint.mIsStopped) {
        for (const auto& send : std::exchange(endpoint.mWaiting, {})) {
          NoteArrival(send.mRequest);
          send.mRequest->mCharge = nullptr;
        }
      }
    }
  }

  /// Moves what has waited at stopped endpoints for long, if it is allowed.
  void MoveWaiting()
  {
    std::vector<RequestPtr> moved;
    for (auto& endpoint : mEndpoints) {
      for (auto& send : endpoint.mWaiting) {
        const bool isDue =
          !send.mIsMoved && mClock.Now() - send.mSentAt >= kSilence;
        if (!isDue) {
          continue;
        }
        send.mIsMoved = true;
        if (MayRepeat(send.mRequest)) {
          moved.push_back(send.mRequest);
        }
      }
    }
    for (const auto& request : moved) {
      NoteArrival(request);
    }
  }

  bool MayRepeat(const RequestPtr& aRequest)
  {
    auto& relay = *aRequest->mRelay;
    const auto now = mClock.Now();
    const bool isOwn = relay.mOwn->TryOpen(now);
    if (!isOwn && !TakeFromPool(relay)) {
      return false;
    }
    aRequest->mCharge = std::make_shared<RetryCharge>(
      relay.mOwn, isOwn ? RetryGrant::kRatio : RetryGrant::kPool, now, mClock);
    return true;
  }

  void SendToAny(const RequestPtr& aRequest)
  {
    auto& endpoint = mEndpoints[mRandom() % mEndpoints.size()];
    if (endpoint.mIsStopped) {
      endpoint.mWaiting.push_back({ aRequest, mClock.Now() });
      return;
    }
    NoteArrival(aRequest);
    if (Phase() >= 18s && Happens(mScenario.mFailures) && MayRepeat(aRequest)) {
      NoteArrival(aRequest);
      aRequest->mCharge = nullptr;
    }
  }

  void NoteArrival(const RequestPtr& aRequest)
  {
    mSteps.back().mRepeats += aRequest->mArrivals++ > 0 ? 1 : 0;
  }

  bool TakeFromPool(Relay& aRelay)
  {
    if (mScenario.mSlack != Slack::kPool) {
      return false;
    }
    const auto hash = HashOfRetryPool("s");
    for (const auto& source : aRelay.mOwners.SourcesOf(hash, "a")) {
      const auto owner =
        std::find(mHosts.begin(), mHosts.end(), source.mHost) - mHosts.begin();
      const ShareRequest request{
        source.mKey, RetryPoolLimit(mScenario.mBudget), 1, 1
      };
      auto& companion = *mCompanions[static_cast<std::size_t>(owner)];
      if (companion.Take(request, mClock.Now()).mAmount > 0) {
        return true;
      }
    }
    return false;
  }

  Scenario mScenario;
  ManualClock mClock;
  RandomSource mRandom;
  std::vector<std::string> mHosts;
  std::vector<std::unique_ptr<LimitShares>> mCompanions;
  std::vector<Relay> mRelays;
  std::vector<Endpoint> mEndpoints{ kEndpoints };
  std::vector<StepCount> mSteps;
  int mFailed = 0;
  int mRepeated = 0;
};

/// Share of the failures that are to be repeated.
constexpr double kAim = 0.98;

/// A slack that grows with the fleet, as operators set it.
double
SlackOf(std::size_t aRelays)
{
  return 40.0 + 2.8 * static_cast<double>(aRelays);
}

/// A service that fails 14 of 100 attempts, with the same requests a relay
/// whatever the number of relays.
double
RepeatedShareOf(std::size_t aRelays, Slack aSlack)
{
  Scenario scenario;
  scenario.mRelays = aRelays;
  scenario.mSlack = aSlack;
  scenario.mBudget.mSlack = SlackOf(aRelays);
  Simulation simulation(aRelays, scenario);
  // The pool of companions that just started fills first.
  simulation.Run(10s);
  simulation.ResetCounts();
  simulation.Run(60s);
  EXPECT_LE(simulation.Excess(), 0) << aRelays << " relays";
  return simulation.RepeatedShare();
}

} // namespace

class AFleetOfRelays : public ::testing::TestWithParam<std::size_t>
{};

INSTANTIATE_TEST_SUITE_P(Sizes,
                         AFleetOfRelays,
                         ::testing::Values(5, 32, 356, 2000));

TEST_P(AFleetOfRelays, RepeatsNearlyEveryFailureThatTheSlackAllows)
{
  EXPECT_GE(RepeatedShareOf(GetParam(), Slack::kPool), kAim);
}

TEST(AFleetWithFixedShares, LeavesFailuresUnrepeatedThoughSlackIsUnused)
{
  EXPECT_LT(RepeatedShareOf(356, Slack::kFixedShare), kAim);
}

class WhoseServiceAlwaysFails : public ::testing::TestWithParam<std::size_t>
{
protected:
  /// Largest excess over some seeds.
  static double LargestExcessOf(Slack aSlack)
  {
    constexpr std::uint64_t kSeeds = 5;
    Scenario scenario;
    scenario.mRelays = GetParam();
    scenario.mBudget.mSlack = SlackOf(GetParam());
    scenario.mPerSecond = 2.5;
    scenario.mFailures = 1.0;
    scenario.mSlack = aSlack;
    scenario.mHasFaults = true;
    double largest = -scenario.mBudget.mSlack;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Simulation simulation(seed, scenario);
      simulation.Run(40s);
      largest = std::max(largest, simulation.Excess());
    }
    return largest;
  }
};

INSTANTIATE_TEST_SUITE_P(Sizes,
                         WhoseServiceAlwaysFails,
                         ::testing::Values(5, 100));

TEST_P(WhoseServiceAlwaysFails, NoWindowExceedsTheBudget)
{
  EXPECT_LE(LargestExcessOf(Slack::kPool), 0);
}

TEST_P(WhoseServiceAlwaysFails, ItIsExceededWhenEachRelayHasTheSlack)
{
  EXPECT_GT(LargestExcessOf(Slack::kUnbounded), 0);
}

// Requests that were moved from stopped machines arrived there as well once the
// machines resumed, in a window that allowed as many repeats again.
class WhoseEndpointsStopAndResume : public ::testing::TestWithParam<double>
{};

INSTANTIATE_TEST_SUITE_P(Slack,
                         WhoseEndpointsStopAndResume,
                         ::testing::Values(0.0, 86.0));

TEST_P(WhoseEndpointsStopAndResume, LateArrivalsStayWithinTheBudget)
{
  constexpr std::uint64_t kSeeds = 5;
  Scenario scenario;
  scenario.mRelays = 23;
  scenario.mPerSecond = 10.6;
  scenario.mFailures = 0.4;
  scenario.mHasStops = true;
  scenario.mBudget.mSlack = GetParam();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation(seed, scenario);
    simulation.Run(60s);
    EXPECT_LE(simulation.CountedExcess(), 0);
  }
}

TEST(GivenARetryPool, ItsLimitFitsIntoAWindowWithLateArrivals)
{
  const WindowBudgetSettings budget{ 0.2, 56.0, 10s };
  const auto limit = RetryPoolLimit(budget);
  constexpr double kLongest = 11.0;
  EXPECT_LE(limit.mPerSecond * kLongest + limit.mBurst, budget.mSlack);
  EXPECT_GE(limit.mBurst, budget.mSlack / 2);
}

/// A process that knows no owner of the slack.
class GivenAFallbackSlack : public ::testing::Test
{
protected:
  double Slack() const { return mSlack.Slack(mClock.Now()); }

  void Update(bool aHasOwners) { mSlack.Update(aHasOwners, mClock.Now()); }

  ManualClock mClock;
  FallbackSlack mSlack{ { 0.2, 100.0, 10s }, mClock.Now() };
};

TEST_F(GivenAFallbackSlack, AProcessThatJustStartedHasNone)
{
  mClock.Advance(10s - 1ms);
  EXPECT_EQ(Slack(), 0.0);
}

TEST_F(GivenAFallbackSlack, AllProcessesTogetherStayWithinTheSlack)
{
  mClock.Advance(10s);
  EXPECT_EQ(Slack(), 3.0);
  EXPECT_LE(Slack() * FallbackSlack::kMaxProcesses, 100.0);
}

class ThatIsInUse : public GivenAFallbackSlack
{
protected:
  ThatIsInUse() { mClock.Advance(10s); }
};

TEST_F(ThatIsInUse, ItEndsWhenOwnersAreKnown)
{
  Update(true);
  EXPECT_EQ(Slack(), 0.0);
  {
    SCOPED_TRACE("and begins a window after they are gone");
    mClock.Advance(60s);
    Update(true);
    Update(false);
    mClock.Advance(9s);
    Update(false);
    EXPECT_EQ(Slack(), 0.0);
    mClock.Advance(1s);
    EXPECT_GT(Slack(), 0.0);
  }
}

TEST(GivenARetryPool, ItIsApartFromATeamOfTheSameName)
{
  EXPECT_NE(HashOfRetryPool("s"), HashOfTeam("s"));
}

} // namespace shuntjunction::state
