#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "shuntjunction/state/rollout/rollout_comparison.h"

// Model of relays, two deciders and the store on generated schedules of faults,
// against a checker of exposure, time and stopping. The same schedules must
// break the checker when a mechanism is taken out.

namespace shuntjunction::state {

namespace {

constexpr Millis kTick{ 50 };
constexpr Millis kWithin{ 12000 };
constexpr Millis kEnd{ 20000 };
constexpr double kRequestsPerSecond = 240;
/// While relays are cut off the 50th bad answer must come early, so that the
/// bound in time is tested.
constexpr double kRequestsWithFaults = 800;
constexpr std::uint64_t kBadAnswersThatCount = 50;

enum class Badness : std::uint8_t
{
  kGood,
  kFails,     ///< 40% of its answers fail
  kSlow,      ///< four times slower
  kFailsLate, ///< from 4 s on
  kOneRoute,  ///< 60% fail on one of three routes
  kUnderLoad, ///< 60% fail while it has over a third of the requests
};

constexpr EnumNames<Badness, 6> kBadnessNames{
  { "good", "fails", "slow", "fails-late", "one-route", "under-load" }
};

/// Mechanisms that a run is made without.
struct Without
{
  bool mLease = false;         ///< relays keep to the last step that they know
  bool mRevisionCheck = false; ///< the store takes each write
  bool mAgeCheck = false;      ///< deciders confirm steps of any age
};

struct Scenario
{
  unsigned mSeed = 0;
  Badness mBadness = Badness::kGood;
  std::size_t mRelays = 20;
  bool mHasFaults = false;
  Without mWithout;
};

/// What a run broke, and its figures.
struct Verdicts
{
  std::uint64_t mAll = 0;
  std::uint64_t mExposed = 0; ///< until the deadline
  std::uint64_t mBadAnswers = 0;
  std::uint64_t mLateSends = 0; ///< after the bound on rolling back
  std::uint64_t mCut = 0;       ///< requests at old versions when completed
  RolloutState mOutcome = RolloutState::kRunning;
  Millis mOutcomeAt{ 0 };
  bool mWasReversed = false; ///< an outcome was replaced by another

  bool IsExposureKept() const
  {
    return static_cast<double>(mExposed) <=
           0.1 * static_cast<double>(mAll) + 50;
  }
};

class World
{
public:
  explicit World(const Scenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mDecider(mBounds, RolloutSchedule{}, mComparison)
  {
    mStored.mOrder = { 9, "s", "v2", kWithin };
    mStored.mRevision = 1;
    for (std::size_t i = 0; i < aScenario.mRelays; ++i) {
      mRelays.push_back(std::make_unique<Relay>(mBounds));
      mRelays.back()->mReport.mRelay = "relay-" + std::to_string(i);
      mRelays.back()->mReport.mOrderId = 9;
    }
    if (aScenario.mHasFaults) {
      DrawFaults();
    }
  }

  Verdicts Run()
  {
    for (mNow = TimePoint(); mNow < TimePoint() + kEnd; mNow += kTick) {
      for (auto& relay : mRelays) {
        Advance(*relay);
      }
      for (std::size_t i = 0; i < mDeciders.size(); ++i) {
        Advance(i);
      }
    }
    return mVerdicts;
  }

private:
  struct Request
  {
    TimePoint mAnswersAt;
    TimePoint mEndsAt;
    bool mIsCounted = false;
    bool mIsTarget = false;
    RolloutKey mKey;
    bool mIsFailed = false;
    Millis mLatency{ 0 };
  };

  struct Relay
  {
    explicit Relay(const RolloutBounds& aBounds)
      : mExposure(aBounds)
    {
    }

    Rollout mKnown;
    bool mIsKnown = false;
    RolloutExposure mExposure;
    RolloutReport mReport;
    TimePoint mConfirmedAt{ Millis(-100000) };
    TimePoint mNoticeAt{ Millis(-100000) };
    TimePoint mPollAt;
    TimePoint mReportAt;
    std::vector<Request> mRunning;
    TimePoint mFrozenUntil;
    TimePoint mCutUntil;   ///< from the store and from the second decider
    TimePoint mAloneUntil; ///< from both deciders
    TimePoint mRestartAt = TimePoint::max();
  };

  struct Decider
  {
    Rollout mKnown;
    bool mIsKnown = false;
    RolloutEvidence mEvidence{ 9 };
    TimePoint mListedAt{ Millis(-100000) };
    TimePoint mNextAt;
    TimePoint mNoticeAt;
    Millis mFreezeFor{ 0 }; ///< at its first decision after the fault
    TimePoint mFrozenUntil;
    TimePoint mCutUntil; ///< from the store
    std::optional<std::pair<RolloutStatus, std::uint64_t>> mPending;
  };

  Millis Draw(int aFrom, int aTo)
  {
    return Millis(std::uniform_int_distribution<int>(aFrom, aTo)(mRandom));
  }
  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
  }

  void DrawFaults()
  {
    const auto at = TimePoint() + Draw(500, 5000);
    const auto until = at + Draw(4000, 12000);
    mFaultAt = at;
    for (auto& relay : mRelays) {
      if (Chance(0.15)) {
        relay->mCutUntil = until;
        relay->mAloneUntil = Chance(0.5) ? until : TimePoint();
      } else if (Chance(0.1)) {
        relay->mFrozenUntil = until;
      } else if (Chance(0.1)) {
        relay->mRestartAt = at + Draw(0, 3000);
      }
    }
    // The first decider stands still, or is cut off from the store, and another
    // takes over.
    mTakeOverAt = at + Draw(0, 1500);
    if (Chance(0.5)) {
      mDeciders[0].mFreezeFor = Draw(1000, 6000);
    } else {
      mDeciders[0].mCutUntil = until;
    }
    if (Chance(0.3)) {
      mStoreDownAt = at + Draw(0, 2000);
      mStoreDownUntil = mStoreDownAt + Draw(500, 2500);
    }
  }

  bool IsFaulty(TimePoint aUntil) const
  {
    return mNow >= mFaultAt && mNow < aUntil;
  }
  bool IsStoreDown() const
  {
    return mNow >= mStoreDownAt && mNow < mStoreDownUntil;
  }

  // Relays.

  void Advance(Relay& aRelay)
  {
    if (IsFaulty(aRelay.mFrozenUntil)) {
      return;
    }
    if (mNow >= aRelay.mRestartAt) {
      aRelay.mRestartAt = TimePoint::max();
      aRelay.mExposure = RolloutExposure(mBounds);
      aRelay.mReport.mOutcomes.clear();
      ++aRelay.mReport.mRelayStart;
      aRelay.mRunning.clear();
      aRelay.mIsKnown = false;
    }
    if (mNow >= aRelay.mPollAt) {
      aRelay.mPollAt = mNow + Draw(300, 600);
      if (!IsFaulty(aRelay.mCutUntil) && !IsStoreDown()) {
        Learn(aRelay, mStored, mNow);
      }
    }
    FinishRequests(aRelay);
    SendRequests(aRelay);
    if (mNow >= aRelay.mReportAt) {
      aRelay.mReportAt = mNow + Millis(200);
      Report(aRelay);
    }
  }

  static void Learn(Relay& aRelay, const Rollout& aRollout, TimePoint aAt)
  {
    const auto step = [](const Rollout& aOne) {
      return aOne.mStatus ? aOne.mStatus->mStep : 0;
    };
    if (!aRelay.mIsKnown || step(aRollout) > step(aRelay.mKnown) ||
        (step(aRollout) == step(aRelay.mKnown) && aRelay.mKnown.IsRunning())) {
      aRelay.mKnown = aRollout;
      aRelay.mIsKnown = true;
    }
    aRelay.mConfirmedAt = std::max(aRelay.mConfirmedAt, aAt);
  }

  void SendRequests(Relay& aRelay)
  {
    const double perSecond =
      mScenario.mHasFaults ? kRequestsWithFaults : kRequestsPerSecond;
    const double mean = perSecond *
                        std::chrono::duration<double>(kTick).count() /
                        static_cast<double>(mRelays.size());
    const int count = std::poisson_distribution<int>(mean)(mRandom);
    for (int i = 0; i < count; ++i) {
      SendRequest(aRelay);
    }
  }

  void SendRequest(Relay& aRelay)
  {
    const auto ageOf = [&](TimePoint aAt) {
      return mScenario.mWithout.mLease
               ? Millis(0)
               : std::chrono::duration_cast<Millis>(mNow - aAt);
    };
    const double draw = std::uniform_real_distribution<double>(0, 1)(mRandom);
    const bool isTarget = aRelay.mIsKnown && aRelay.mExposure.Choose(
                                               aRelay.mKnown,
                                               ageOf(aRelay.mConfirmedAt),
                                               ageOf(aRelay.mNoticeAt),
                                               draw,
                                               false) == VersionChoice::kTarget;
    aRelay.mExposure.NoteSent(isTarget);
    CheckSend(isTarget);
    Request request;
    request.mIsTarget = isTarget;
    request.mKey.mRoute = 1 + mRandom() % 3;
    request.mKey.mIsTarget = isTarget;
    request.mKey.mEndpoint = isTarget ? 1 + mRandom() % 6 : 0;
    // Look-ups of the first route fail by nature.
    double failShare = request.mKey.mRoute == 1 ? 0.14 : 0.0;
    double factor = 1;
    if (isTarget) {
      ApplyBadness(request.mKey.mRoute, failShare, factor);
    }
    const double latency =
      std::exponential_distribution<double>(1.0 / 60)(mRandom) * factor;
    request.mLatency = Millis(static_cast<std::int64_t>(latency));
    request.mIsFailed = Chance(failShare);
    request.mAnswersAt = mNow + request.mLatency;
    request.mEndsAt = mNow + request.mLatency + Draw(0, 1500);
    mVerdicts.mBadAnswers +=
      isTarget && (request.mIsFailed || factor > 1) ? 1 : 0;
    if (mVerdicts.mBadAnswers >= kBadAnswersThatCount && !mBoundAt &&
        mScenario.mBadness != Badness::kGood) {
      mBoundAt = mNow + mBounds.mRollbackDeadline;
    }
    aRelay.mRunning.push_back(request);
  }

  void ApplyBadness(std::uint64_t aRoute, double& aFailShare, double& aFactor)
  {
    switch (mScenario.mBadness) {
      case Badness::kGood:
        break;
      case Badness::kFails:
        aFailShare = 0.4;
        break;
      case Badness::kSlow:
        aFactor = 4;
        break;
      case Badness::kFailsLate:
        aFailShare = mNow >= TimePoint() + Millis(4000) ? 0.5 : aFailShare;
        break;
      case Badness::kOneRoute:
        aFailShare = aRoute == 2 ? 0.6 : aFailShare;
        break;
      case Badness::kUnderLoad:
        aFailShare = mStored.Share() > 0.34 ? 0.6 : aFailShare;
        break;
    }
  }

  void FinishRequests(Relay& aRelay)
  {
    auto& running = aRelay.mRunning;
    for (auto& request : running) {
      if (request.mAnswersAt > mNow || request.mIsCounted) {
        continue;
      }
      request.mIsCounted = true;
      auto& row = aRelay.mReport.mOutcomes[request.mKey];
      ++row.mRequests;
      if (request.mIsFailed) {
        ++row.mFailed;
      } else {
        ++row.mLatency[RolloutLatencyBucket(request.mLatency)];
      }
    }
    std::erase_if(running,
                  [&](const auto& aOne) { return aOne.mEndsAt <= mNow; });
  }

  void Report(Relay& aRelay)
  {
    auto& report = aRelay.mReport;
    report.mStep = aRelay.mKnown.mStatus ? aRelay.mKnown.mStatus->mStep : 0;
    report.mSent = aRelay.mExposure.Sent();
    report.mExposed = aRelay.mExposure.Exposed();
    report.mOldRunning = static_cast<std::uint32_t>(std::count_if(
      aRelay.mRunning.begin(), aRelay.mRunning.end(), [](const auto& aOne) {
        return !aOne.mIsTarget;
      }));
    const auto owner = Owner();
    if (IsConnected(aRelay, owner)) {
      mDeciders[owner].mEvidence.Apply(report, mNow);
    }
  }

  /// Relays that are cut off from the store reach the first decider only, which
  /// may be on their side of the cut.
  bool IsConnected(const Relay& aRelay, std::size_t aDecider) const
  {
    return !IsFaulty(aRelay.mAloneUntil) &&
           (aDecider == 0 || !IsFaulty(aRelay.mCutUntil));
  }

  // Deciders.

  std::size_t Owner() const { return mNow >= mTakeOverAt ? 1 : 0; }

  void Advance(std::size_t aIndex)
  {
    auto& decider = mDeciders[aIndex];
    if (mNow < decider.mFrozenUntil) {
      return;
    }
    if (decider.mPending) {
      // It went on after standing still between its decision and the write.
      const auto pending = *std::exchange(decider.mPending, std::nullopt);
      Write(decider, pending.first, pending.second);
      return;
    }
    if (mNow < decider.mNextAt) {
      return;
    }
    decider.mNextAt = mNow + Millis(200);
    const bool isCut = IsFaulty(decider.mCutUntil) || IsStoreDown();
    if (!isCut) {
      decider.mKnown = mStored;
      decider.mIsKnown = true;
      decider.mListedAt = mNow;
    }
    // A decider that is cut off keeps its place: it doesn't see the new list.
    const bool isOwner = Owner() == aIndex || IsFaulty(decider.mCutUntil);
    if (decider.mIsKnown && isOwner) {
      Decide(aIndex);
    }
  }

  void Decide(std::size_t aIndex)
  {
    auto& decider = mDeciders[aIndex];
    const RolloutEndpoints endpoints{ 6, 6, 36, 36 };
    const auto decision = mDecider.Decide(
      decider.mKnown,
      decider.mEvidence,
      endpoints,
      mNow,
      std::chrono::duration_cast<Millis>(mNow.time_since_epoch()).count());
    if (!decision.mStatus) {
      Confirm(aIndex);
      return;
    }
    if (decision.mIsHalt) {
      Notify(aIndex, *decision.mStatus);
    }
    const bool willFreeze = mNow >= mFaultAt && decider.mFreezeFor > Millis(0);
    if (willFreeze) {
      decider.mFrozenUntil =
        mNow + std::exchange(decider.mFreezeFor, Millis(0));
      decider.mPending = { *decision.mStatus, decider.mKnown.mRevision };
    } else if (!IsFaulty(decider.mCutUntil) && !IsStoreDown()) {
      Write(decider, *decision.mStatus, decider.mKnown.mRevision);
    }
  }

  void Write(Decider& aDecider,
             const RolloutStatus& aStatus,
             std::uint64_t aRevision)
  {
    if (aRevision != mStored.mRevision && !mScenario.mWithout.mRevisionCheck) {
      return;
    }
    const bool wasEnded = !mStored.IsRunning();
    mStored.mStatus = aStatus;
    mStored.mStepLearnedAt = mNow;
    ++mStored.mRevision;
    aDecider.mKnown = mStored;
    mVerdicts.mWasReversed = mVerdicts.mWasReversed || wasEnded;
    if (!mStored.IsRunning()) {
      mVerdicts.mOutcome = aStatus.mState;
      mVerdicts.mOutcomeAt =
        std::chrono::duration_cast<Millis>(mNow.time_since_epoch());
      CheckCompletion();
    }
    Notify(&aDecider == &mDeciders[0] ? 0 : 1, aStatus);
  }

  void Confirm(std::size_t aIndex)
  {
    auto& decider = mDeciders[aIndex];
    const auto& status = decider.mKnown.mStatus;
    const bool isFresh =
      mNow - decider.mListedAt < Millis(1500) || mScenario.mWithout.mAgeCheck;
    const Millis interval(decider.mKnown.Share() > 0.1 ? 200 : 1000);
    if (status && decider.mKnown.IsRunning() && isFresh &&
        mNow - decider.mNoticeAt >= interval) {
      decider.mNoticeAt = mNow;
      Notify(aIndex, *status);
    }
  }

  void Notify(std::size_t aDecider, const RolloutStatus& aStatus)
  {
    auto rollout = mStored;
    rollout.mStatus = aStatus;
    for (auto& relay : mRelays) {
      const auto known =
        relay->mKnown.mStatus ? relay->mKnown.mStatus->mStep : 0;
      if (relay->mIsKnown && IsConnected(*relay, aDecider) &&
          !IsFaulty(relay->mFrozenUntil) && aStatus.mStep >= known) {
        Learn(*relay, rollout, mNow);
        relay->mNoticeAt = mNow;
      }
    }
  }

  // Checks, which know all that happens.

  void CheckSend(bool aIsTarget)
  {
    if (mNow <= TimePoint() + kWithin) {
      ++mVerdicts.mAll;
      mVerdicts.mExposed += aIsTarget ? 1 : 0;
    }
    if (aIsTarget && mBoundAt && mNow > *mBoundAt) {
      ++mVerdicts.mLateSends;
    }
  }

  void CheckCompletion()
  {
    if (mStored.mStatus->mState != RolloutState::kCompleted) {
      return;
    }
    for (const auto& relay : mRelays) {
      mVerdicts.mCut += static_cast<std::uint64_t>(std::count_if(
        relay->mRunning.begin(), relay->mRunning.end(), [](const auto& aOne) {
          return !aOne.mIsTarget;
        }));
    }
  }

  Scenario mScenario;
  std::mt19937_64 mRandom;
  RolloutBounds mBounds{ 0.1, 50, Millis(5000) };
  SequentialComparison mComparison;
  RolloutDecider mDecider;
  TimePoint mNow;
  Rollout mStored;
  std::vector<std::unique_ptr<Relay>> mRelays;
  std::array<Decider, 2> mDeciders;
  TimePoint mFaultAt = TimePoint::max();
  TimePoint mTakeOverAt = TimePoint::max();
  TimePoint mStoreDownAt = TimePoint::max();
  TimePoint mStoreDownUntil;
  std::optional<TimePoint> mBoundAt;
  Verdicts mVerdicts;
};

/// Bad versions of all kinds on schedules with faults; returns how many runs
/// broke the bound in time or reversed an outcome.
int
CountBroken(const Without& aWithout, std::size_t aRelays)
{
  int broken = 0;
  for (unsigned seed = 0; seed < 120; ++seed) {
    const auto badness = static_cast<Badness>(1 + seed % 5);
    const auto verdicts =
      World({ seed, badness, aRelays, true, aWithout }).Run();
    broken += verdicts.mLateSends > 0 || verdicts.mWasReversed ? 1 : 0;
  }
  return broken;
}

} // namespace

class GivenRelaysOfAnyNumber : public ::testing::TestWithParam<std::size_t>
{
protected:
  /// Schedules that are played; fewer in a large fleet, which takes longer.
  static unsigned Seeds() { return GetParam() > 100 ? 6 : 40; }
};

TEST_P(GivenRelaysOfAnyNumber, AGoodVersionIsCompletedAndCutsNothing)
{
  int rolledBack = 0;
  for (unsigned seed = 0; seed < Seeds(); ++seed) {
    const auto verdicts =
      World({ seed, Badness::kGood, GetParam(), false, {} }).Run();
    if (verdicts.mOutcome != RolloutState::kCompleted) {
      ++rolledBack;
      continue;
    }
    EXPECT_LT(verdicts.mOutcomeAt, kWithin) << "seed " << seed;
    // From .5 s before the deadline on, completion in time goes first.
    if (verdicts.mOutcomeAt < kWithin - Millis(500)) {
      EXPECT_EQ(verdicts.mCut, 0U) << "seed " << seed;
    }
  }
  EXPECT_EQ(rolledBack, 0);
}

TEST_P(GivenRelaysOfAnyNumber, ABadOneIsRolledBackWithinAllBounds)
{
  for (unsigned kind = 1; kind < kBadnessNames.Size(); ++kind) {
    const auto badness = static_cast<Badness>(kind);
    SCOPED_TRACE(std::string(kBadnessNames.Name(badness)));
    for (unsigned seed = 0; seed < Seeds(); ++seed) {
      const auto verdicts =
        World({ seed, badness, GetParam(), false, {} }).Run();
      EXPECT_EQ(verdicts.mOutcome, RolloutState::kRolledBack)
        << "seed " << seed;
      EXPECT_LT(verdicts.mOutcomeAt, kWithin) << "seed " << seed;
      EXPECT_TRUE(verdicts.IsExposureKept())
        << "seed " << seed << ": " << verdicts.mExposed << " of "
        << verdicts.mAll;
      EXPECT_EQ(verdicts.mLateSends, 0U) << "seed " << seed;
    }
  }
}

class GivenASlowVersion : public ::testing::Test
{};

// All its answers count as bad from the first on, at most a dozen a second, so
// that the 50th comes early and a verdict is due after some hundred.
TEST_F(GivenASlowVersion, NothingReachesItAfterTheBound)
{
  int broken = 0;
  for (unsigned seed = 0; seed < 200; ++seed) {
    const auto verdicts = World({ seed, Badness::kSlow, 23, false, {} }).Run();
    broken += verdicts.mLateSends > 0 ? 1 : 0;
  }
  EXPECT_EQ(broken, 0);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         GivenRelaysOfAnyNumber,
                         ::testing::Values(3, 23, 300));

class GivenFaultsDuringARollout : public ::testing::Test
{};

TEST_F(GivenFaultsDuringARollout, NothingReachesABadVersionAfterTheBound)
{
  EXPECT_EQ(CountBroken({}, 23), 0);
}

TEST_F(GivenFaultsDuringARollout, TheExposureOfABadVersionIsKept)
{
  for (unsigned seed = 0; seed < 120; ++seed) {
    const auto badness = static_cast<Badness>(1 + seed % 5);
    const auto verdicts = World({ seed, badness, 23, true, {} }).Run();
    EXPECT_TRUE(verdicts.IsExposureKept())
      << "seed " << seed << ": " << verdicts.mExposed << " of "
      << verdicts.mAll;
  }
}

TEST_F(GivenFaultsDuringARollout, WithoutTheLeaseTheBoundBreaks)
{
  EXPECT_GT(CountBroken({ true, false, false }, 23), 0);
}

TEST_F(GivenFaultsDuringARollout, WithoutTheRevisionCheckAnOutcomeIsReversed)
{
  EXPECT_GT(CountBroken({ false, true, false }, 23), 0);
}

TEST_F(GivenFaultsDuringARollout, WithoutTheAgeOfOrdersTheBoundBreaks)
{
  EXPECT_GT(CountBroken({ false, false, true }, 23), 0);
}

} // namespace shuntjunction::state
