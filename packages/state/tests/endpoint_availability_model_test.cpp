// A model of one relay and one endpoint among generated schedules, against a
// checker of what the endpoint advertised.
//
// Answers take their own time and pass each other; the endpoint drains, asks
// for cooldowns and starts again under its id; lists come late, and lapse; the
// machine of the relay is suspended. Requests are sent right after the choice,
// or after a wait.

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "shuntjunction/state/endpoint_availability.h"

namespace shuntjunction::state {

namespace {

constexpr Millis kStep{ 10 };
constexpr Millis kCooldownHeard{ 500 };
constexpr std::size_t kCooldownSlack = 2;
constexpr int kLongestAnswer = 300;
constexpr int kLongestWait = 750;
constexpr int kLatestList = 4000;
/// An incarnation that does not drain is used at least so often, whatever the
/// lists did.
constexpr Millis kUsedWithin{ 10000 };

/// What is taken out of the mechanism for a play.
enum class Without
{
  kNothing,
  kAskingAtTheSend,
  kLongestCooldown, ///< the one that was asked for last holds
  kIncarnation,     ///< answers count for whatever is believed to be there
  kMemoryOfRemoved,
};

/// One incarnation as it really is.
struct Incarnation
{
  EndpointIncarnation mEndpointIncarnation;
  TimePoint mFrom;
  bool mIsDraining = false;
  TimePoint mRefusesUntil;
  std::optional<TimePoint> mDrainHeardAt; ///< by the relay, in an answer
  std::vector<TimePoint> mArrivals;
  /// Cooldowns that reached the relay: from the refusal to the end.
  std::vector<std::pair<TimePoint, TimePoint>> mCooldowns;
};

using IncarnationPtr = std::shared_ptr<Incarnation>;

class World
{
public:
  World(std::uint64_t aSeed, Without aWithout)
    : mWithout(aWithout)
    , mRandom(aSeed)
  {
    Restart();
    MergeList({ mEndpoint->mEndpointIncarnation, true });
  }

  void Run(std::chrono::seconds aTime)
  {
    const auto end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(kStep);
      Fault();
      while (!mQueue.empty() && mQueue.top().mAt <= mClock.Now()) {
        const auto call = mQueue.top().mCall;
        mQueue.pop();
        call();
      }
      if (Chance(0.2) && !IsSuspended()) {
        Want();
      }
      CheckUse();
    }
  }

  bool IsBroken() const { return mIsBroken; }
  std::size_t Cooldowns() const { return mCooldowns; }
  std::size_t Drains() const { return mDrains; }

private:
  struct Listing
  {
    EndpointIncarnation mEndpointIncarnation;
    bool mIsListed = true;
  };

  struct Later
  {
    TimePoint mAt;
    std::uint64_t mOrder;
    std::function<void()> mCall;
    bool operator<(const Later& aOther) const
    {
      return std::pair(aOther.mAt, aOther.mOrder) < std::pair(mAt, mOrder);
    }
  };

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution(0.0, 1.0)(mRandom) < aShare;
  }
  Millis Draw(int aFrom, int aTo)
  {
    return Millis(std::uniform_int_distribution(aFrom, aTo)(mRandom));
  }
  void In(Millis aTime, std::function<void()> aCall)
  {
    mQueue.push({ mClock.Now() + aTime, ++mOrder, std::move(aCall) });
  }
  bool IsSuspended() const { return mClock.Now() < mSuspendedUntil; }

  /// Runs what the relay does once its machine goes on.
  void OnRelay(std::function<void()> aCall)
  {
    if (IsSuspended()) {
      const auto left =
        std::chrono::ceil<Millis>(mSuspendedUntil - mClock.Now());
      In(left, [this, aCall] { OnRelay(aCall); });
    } else {
      aCall();
    }
  }

  void Fault()
  {
    if (Chance(0.0006)) {
      mEndpoint->mIsDraining = true;
      ++mDrains;
    }
    if (Chance(0.002)) {
      mEndpoint->mRefusesUntil = mClock.Now() + Draw(200, 4000);
    }
    if (Chance(0.0004)) {
      // It may drain right before, so that its last answers come afterwards.
      if (Chance(0.5)) {
        mEndpoint->mIsDraining = true;
      }
      const auto ended = mEndpoint;
      In(Draw(20, kLongestAnswer), [this, ended] {
        if (mEndpoint == ended) {
          Restart();
        }
      });
    }
    if (Chance(0.004)) {
      // A list as it was some time ago, or one without a lapsed entry.
      const Listing listing{ mEndpoint->mEndpointIncarnation, !Chance(0.2) };
      In(Draw(0, kLatestList),
         [this, listing] { OnRelay([=, this] { MergeList(listing); }); });
    }
    if (Chance(0.0003)) {
      mSuspendedUntil = mClock.Now() + Draw(200, 5000);
      mExcusedUntil = mSuspendedUntil;
    }
  }

  void Restart()
  {
    mEndpoint = std::make_shared<Incarnation>();
    mEndpoint->mEndpointIncarnation = EndpointIncarnation(mClock.WallMillis());
    mEndpoint->mFrom = mClock.Now();
    const Listing listing{ mEndpoint->mEndpointIncarnation, true };
    In(Chance(0.5) ? Draw(0, kLongestAnswer) : Draw(0, kLatestList),
       [this, listing] { OnRelay([=, this] { MergeList(listing); }); });
  }

  // The relay.

  void MergeList(const Listing& aListing)
  {
    if (!aListing.mIsListed) {
      mBook.NoteRemoved("i-1");
      if (mWithout == Without::kMemoryOfRemoved) {
        mBook = AvailabilityRegistry();
      }
      mBelieved = nullptr;
      // The next heartbeat lists it again.
      In(Draw(100, 2000), [this] {
        OnRelay([this] {
          MergeList({ mEndpoint->mEndpointIncarnation, true });
        });
      });
      return;
    }
    if (!mBelieved) {
      mTracker = IncarnationTracker();
      mBelieved = mBook.Find("i-1", aListing.mEndpointIncarnation);
    }
    const auto word =
      mTracker.Take(aListing.mEndpointIncarnation, mClock.Now());
    if (word == IncarnationUpdate::kNewer) {
      mBelieved = mBook.Begin("i-1", mTracker.Current());
    }
    mBelieved->SetListing(true, false);
  }

  void Want()
  {
    const auto chosen = mBelieved;
    if (!chosen || chosen->ObstacleAt(mClock.Now()) != Obstacle::kNone) {
      return;
    }
    const auto wait = Chance(0.3) ? Draw(0, kLongestWait) : Millis(0);
    In(wait, [this, chosen] { OnRelay([this, chosen] { Send(chosen); }); });
  }

  void Send(const AvailabilityRegistry::Ptr& aChosen)
  {
    const auto obstacle = aChosen->ObstacleAtSend(mClock.Now(), {});
    if (obstacle != Obstacle::kNone && mWithout != Without::kAskingAtTheSend) {
      return;
    }
    const auto clearance =
      std::make_shared<SendClearance>(aChosen->GrantClearance(mClock.Now()));
    const auto there = mEndpoint;
    Arrive(*there);
    EndpointNotice notice;
    notice.mIsDraining = there->mIsDraining;
    const auto left = there->mRefusesUntil - mClock.Now();
    if (left > Millis(0)) {
      notice.mRetryAfter = { RetryAfterForm::kDelay,
                             std::chrono::ceil<Millis>(left),
                             0 };
    }
    const auto sentAt = mClock.Now();
    In(Draw(1, kLongestAnswer), [=, this] {
      OnRelay([=, this] {
        TakeAnswer(aChosen, there, notice, sentAt);
        aChosen->Settle(std::move(*clearance), left <= Millis(0));
      });
    });
  }

  void TakeAnswer(const AvailabilityRegistry::Ptr& aChosen,
                  const IncarnationPtr& aFrom,
                  const EndpointNotice& aNotice,
                  TimePoint aRefusedAt)
  {
    auto& belief =
      mWithout == Without::kIncarnation && mBelieved ? mBelieved : aChosen;
    const bool isCooldown = aNotice.mRetryAfter.mDelay > Millis(0);
    if (mWithout == Without::kLongestCooldown && isCooldown) {
      const auto changed = std::make_shared<EndpointAvailability>();
      changed->Take({ belief->IsDraining(), {}, {} }, mClock.Now(), 0);
      *belief = *changed;
    }
    belief->Take(aNotice, mClock.Now(), mClock.WallMillis());
    // The answer is attributed to the incarnation that was chosen.
    if (mTracker.Current() != aFrom->mEndpointIncarnation ||
        aChosen != mBelieved) {
      return;
    }
    if (aNotice.mIsDraining && !aFrom->mDrainHeardAt) {
      aFrom->mDrainHeardAt = mClock.Now();
    }
    if (isCooldown && aRefusedAt >= mExcusedUntil) {
      ++mCooldowns;
      aFrom->mCooldowns.emplace_back(aRefusedAt,
                                     aRefusedAt + aNotice.mRetryAfter.mDelay);
    }
  }

  // The checker.

  void Arrive(Incarnation& aThere)
  {
    const auto now = mClock.Now();
    mIsBroken =
      mIsBroken || (aThere.mDrainHeardAt && now > *aThere.mDrainHeardAt);
    aThere.mArrivals.push_back(now);
    for (const auto& [from, until] : aThere.mCooldowns) {
      const auto heard = from + kCooldownHeard;
      const auto count = static_cast<std::size_t>(
        std::count_if(aThere.mArrivals.begin(),
                      aThere.mArrivals.end(),
                      [&, until = until](TimePoint aAt) {
                        return aAt > heard && aAt < until;
                      }));
      mIsBroken =
        mIsBroken || (count > kCooldownSlack && from >= mExcusedUntil);
    }
  }

  void CheckUse()
  {
    const auto& arrivals = mEndpoint->mArrivals;
    const auto last = arrivals.empty() ? mEndpoint->mFrom : arrivals.back();
    const bool isIdle =
      mClock.Now() - std::max(last, mExcusedUntil) > kUsedWithin;
    mIsBroken = mIsBroken || (isIdle && !mEndpoint->mIsDraining);
  }

  Without mWithout;
  std::mt19937_64 mRandom;
  ManualClock mClock;
  std::priority_queue<Later> mQueue;
  std::uint64_t mOrder = 0;
  IncarnationPtr mEndpoint;
  AvailabilityRegistry mBook;
  AvailabilityRegistry::Ptr mBelieved; ///< null: nothing is listed
  IncarnationTracker mTracker;
  TimePoint mSuspendedUntil;
  TimePoint mExcusedUntil;
  bool mIsBroken = false;
  std::size_t mCooldowns = 0;
  std::size_t mDrains = 0;
};

constexpr std::uint64_t kSeeds = 60;
constexpr std::chrono::seconds kTime{ 200 };

/// Seeds of which the checker finds the world broken.
std::size_t
Broken(Without aWithout)
{
  std::size_t broken = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    World world(seed, aWithout);
    world.Run(kTime);
    broken += world.IsBroken() ? 1 : 0;
  }
  return broken;
}

} // namespace

TEST(GeneratedAdvertisements, WhatAnEndpointAdvertisesIsHeeded)
{
  std::size_t cooldowns = 0;
  std::size_t drains = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed, Without::kNothing);
    world.Run(kTime);
    EXPECT_FALSE(world.IsBroken());
    cooldowns += world.Cooldowns();
    drains += world.Drains();
  }
  EXPECT_GT(cooldowns, kSeeds);
  EXPECT_GT(drains, kSeeds);
}

TEST(GeneratedAdvertisements, TheCheckerFindsAPathThatDoesNotAskAtTheSend)
{
  EXPECT_GT(Broken(Without::kAskingAtTheSend), 0U);
}

TEST(GeneratedAdvertisements, TheCheckerFindsAShorterCooldownThatWins)
{
  EXPECT_GT(Broken(Without::kLongestCooldown), 0U);
}

TEST(GeneratedAdvertisements, TheCheckerFindsAnswersOfAFormerIncarnation)
{
  EXPECT_GT(Broken(Without::kIncarnation), 0U);
}

TEST(GeneratedAdvertisements, TheCheckerFindsALapseThatIsForgotten)
{
  EXPECT_GT(Broken(Without::kMemoryOfRemoved), 0U);
}

} // namespace shuntjunction::state
