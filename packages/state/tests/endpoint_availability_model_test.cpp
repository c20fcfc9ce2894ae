// Simulates one relay and one endpoint under generated schedules and checks
// that the relay respects what the endpoint advertised.
//
// Responses have random delays and overtake each other; the endpoint drains,
// asks for cooldowns and restarts under its id; lists arrive late and entries
// expire; the relay's machine is suspended. Requests are sent right after the
// choice of the endpoint, or after a wait.

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "shuntjunction/state/endpoint_availability.h"

namespace shuntjunction::state {

namespace {

constexpr Millis kStep{ 10 };
constexpr Millis kCooldownGrace{ 500 };
constexpr std::size_t kAllowedInCooldown = 2;
constexpr int kMaxResponseDelay = 300;
constexpr int kLongestWait = 750;
constexpr int kLatestList = 4000;
/// An incarnation that does not drain gets a request at least this often,
/// whatever the lists contained.
constexpr Millis kMaxIdle{ 10000 };

/// The part of the mechanism that a run disables, to show that the checker
/// notices.
enum class Disabled
{
  kNothing,
  kCheckAtSend,
  kLongestCooldown, ///< the latest request for a cooldown wins
  kIncarnation,     ///< responses are applied to the current incarnation
  kRetentionOfRemoved,
};

/// Actual state of one incarnation.
struct Incarnation
{
  EndpointIncarnation mEndpointIncarnation;
  TimePoint mFrom;
  bool mIsDraining = false;
  TimePoint mRefusesUntil;
  std::optional<TimePoint>
    mDrainHeardAt; ///< time at which the relay got it in a response
  std::vector<TimePoint> mArrivals;
  /// Cooldowns whose response reached the relay: from the refusal to the end.
  std::vector<std::pair<TimePoint, TimePoint>> mCooldowns;
};

using IncarnationPtr = std::shared_ptr<Incarnation>;

class Simulation
{
public:
  Simulation(std::uint64_t aSeed, Disabled aDisabled)
    : mDisabled(aDisabled)
    , mRandom(aSeed)
  {
    Restart();
    HandleList({ mEndpoint->mEndpointIncarnation, true });
  }

  void Run(std::chrono::seconds aTime)
  {
    const auto end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(kStep);
      InjectFaults();
      while (!mQueue.empty() && mQueue.top().mAt <= mClock.Now()) {
        const auto call = mQueue.top().mCall;
        mQueue.pop();
        call();
      }
      if (Chance(0.2) && !IsSuspended()) {
        StartRequest();
      }
      CheckIdle();
    }
  }

  bool IsViolated() const { return mIsViolated; }
  std::size_t Cooldowns() const { return mCooldowns; }
  std::size_t Drains() const { return mDrains; }

private:
  struct Listing
  {
    EndpointIncarnation mEndpointIncarnation;
    bool mIsListed = true;
  };

  struct ScheduledCall
  {
    TimePoint mAt;
    std::uint64_t mOrder;
    std::function<void()> mCall;
    bool operator<(const ScheduledCall& aOther) const
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
  void After(Millis aTime, std::function<void()> aCall)
  {
    mQueue.push({ mClock.Now() + aTime, ++mOrder, std::move(aCall) });
  }
  bool IsSuspended() const { return mClock.Now() < mSuspendedUntil; }

  /// Runs a call on the relay as soon as its machine is not suspended.
  void OnRelay(std::function<void()> aCall)
  {
    if (IsSuspended()) {
      const auto left =
        std::chrono::ceil<Millis>(mSuspendedUntil - mClock.Now());
      After(left, [this, aCall] { OnRelay(aCall); });
    } else {
      aCall();
    }
  }

  void InjectFaults()
  {
    if (Chance(0.0006)) {
      mEndpoint->mIsDraining = true;
      ++mDrains;
    }
    if (Chance(0.002)) {
      mEndpoint->mRefusesUntil = mClock.Now() + Draw(200, 4000);
    }
    if (Chance(0.0004)) {
      // It may start draining right before, so that its last responses arrive
      // after the restart.
      if (Chance(0.5)) {
        mEndpoint->mIsDraining = true;
      }
      const auto ended = mEndpoint;
      After(Draw(20, kMaxResponseDelay), [this, ended] {
        if (mEndpoint == ended) {
          Restart();
        }
      });
    }
    if (Chance(0.004)) {
      // A list as of now that arrives later, or one that lacks the entry
      // because it expired.
      const Listing listing{ mEndpoint->mEndpointIncarnation, !Chance(0.2) };
      After(Draw(0, kLatestList),
            [this, listing] { OnRelay([=, this] { HandleList(listing); }); });
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
    After(Chance(0.5) ? Draw(0, kMaxResponseDelay) : Draw(0, kLatestList),
          [this, listing] { OnRelay([=, this] { HandleList(listing); }); });
  }

  // Relay.

  void HandleList(const Listing& aListing)
  {
    if (!aListing.mIsListed) {
      mRegistry.NoteRemoved("i-1");
      if (mDisabled == Disabled::kRetentionOfRemoved) {
        mRegistry = AvailabilityRegistry();
      }
      mCurrent = nullptr;
      // The next heartbeat lists it again.
      After(Draw(100, 2000), [this] {
        OnRelay([this] {
          HandleList({ mEndpoint->mEndpointIncarnation, true });
        });
      });
      return;
    }
    if (!mCurrent) {
      mTracker = IncarnationTracker();
      mCurrent = mRegistry.Find("i-1", aListing.mEndpointIncarnation);
    }
    const auto update =
      mTracker.Take(aListing.mEndpointIncarnation, mClock.Now());
    if (update == IncarnationUpdate::kNewer) {
      mCurrent = mRegistry.Begin("i-1", mTracker.Current());
    }
    mCurrent->SetListing(true, false);
  }

  void StartRequest()
  {
    const auto chosen = mCurrent;
    if (!chosen || chosen->ObstacleAt(mClock.Now()) != Obstacle::kNone) {
      return;
    }
    const auto wait = Chance(0.3) ? Draw(0, kLongestWait) : Millis(0);
    After(wait, [this, chosen] { OnRelay([this, chosen] { Send(chosen); }); });
  }

  void Send(const AvailabilityRegistry::Ptr& aChosen)
  {
    const auto obstacle = aChosen->ObstacleAtSend(mClock.Now(), {});
    if (obstacle != Obstacle::kNone && mDisabled != Disabled::kCheckAtSend) {
      return;
    }
    const auto clearance =
      std::make_shared<SendClearance>(aChosen->GrantClearance(mClock.Now()));
    const auto endpoint = mEndpoint;
    Arrive(*endpoint);
    EndpointNotice notice;
    notice.mIsDraining = endpoint->mIsDraining;
    const auto left = endpoint->mRefusesUntil - mClock.Now();
    if (left > Millis(0)) {
      notice.mRetryAfter = { RetryAfterForm::kDelay,
                             std::chrono::ceil<Millis>(left),
                             0 };
    }
    const auto sentAt = mClock.Now();
    After(Draw(1, kMaxResponseDelay), [=, this] {
      OnRelay([=, this] {
        HandleResponse(aChosen, endpoint, notice, sentAt);
        aChosen->Settle(std::move(*clearance), left <= Millis(0));
      });
    });
  }

  void HandleResponse(const AvailabilityRegistry::Ptr& aChosen,
                      const IncarnationPtr& aFrom,
                      const EndpointNotice& aNotice,
                      TimePoint aRefusedAt)
  {
    auto& current =
      mDisabled == Disabled::kIncarnation && mCurrent ? mCurrent : aChosen;
    const bool isCooldown = aNotice.mRetryAfter.mDelay > Millis(0);
    if (mDisabled == Disabled::kLongestCooldown && isCooldown) {
      const auto changed = std::make_shared<EndpointAvailability>();
      changed->Take({ current->IsDraining(), {}, {} }, mClock.Now(), 0);
      *current = *changed;
    }
    current->Take(aNotice, mClock.Now(), mClock.WallMillis());
    // Responses are attributed to the incarnation that was chosen.
    if (mTracker.Current() != aFrom->mEndpointIncarnation ||
        aChosen != mCurrent) {
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

  // Checker.

  void Arrive(Incarnation& aEndpoint)
  {
    const auto now = mClock.Now();
    mIsViolated = mIsViolated ||
                  (aEndpoint.mDrainHeardAt && now > *aEndpoint.mDrainHeardAt);
    aEndpoint.mArrivals.push_back(now);
    for (const auto& [from, until] : aEndpoint.mCooldowns) {
      const auto heard = from + kCooldownGrace;
      const auto count = static_cast<std::size_t>(
        std::count_if(aEndpoint.mArrivals.begin(),
                      aEndpoint.mArrivals.end(),
                      [&, until = until](TimePoint aAt) {
                        return aAt > heard && aAt < until;
                      }));
      mIsViolated =
        mIsViolated || (count > kAllowedInCooldown && from >= mExcusedUntil);
    }
  }

  void CheckIdle()
  {
    const auto& arrivals = mEndpoint->mArrivals;
    const auto last = arrivals.empty() ? mEndpoint->mFrom : arrivals.back();
    const bool isIdle = mClock.Now() - std::max(last, mExcusedUntil) > kMaxIdle;
    mIsViolated = mIsViolated || (isIdle && !mEndpoint->mIsDraining);
  }

  Disabled mDisabled;
  std::mt19937_64 mRandom;
  ManualClock mClock;
  std::priority_queue<ScheduledCall> mQueue;
  std::uint64_t mOrder = 0;
  IncarnationPtr mEndpoint;
  AvailabilityRegistry mRegistry;
  AvailabilityRegistry::Ptr mCurrent; ///< null: nothing is listed
  IncarnationTracker mTracker;
  TimePoint mSuspendedUntil;
  TimePoint mExcusedUntil;
  bool mIsViolated = false;
  std::size_t mCooldowns = 0;
  std::size_t mDrains = 0;
};

constexpr std::uint64_t kSeeds = 60;
constexpr std::chrono::seconds kTime{ 200 };

/// Number of seeds for which the checker finds a violation.
std::size_t
CountViolations(Disabled aDisabled)
{
  std::size_t violations = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, aDisabled);
    simulation.Run(kTime);
    violations += simulation.IsViolated() ? 1 : 0;
  }
  return violations;
}

} // namespace

TEST(GeneratedAdvertisements, AdvertisedDrainsAndCooldownsAreRespected)
{
  std::size_t cooldowns = 0;
  std::size_t drains = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Simulation simulation(seed, Disabled::kNothing);
    simulation.Run(kTime);
    EXPECT_FALSE(simulation.IsViolated());
    cooldowns += simulation.Cooldowns();
    drains += simulation.Drains();
  }
  EXPECT_GT(cooldowns, kSeeds);
  EXPECT_GT(drains, kSeeds);
}

TEST(GeneratedAdvertisements, TheCheckerFindsAMissingCheckAtSend)
{
  EXPECT_GT(CountViolations(Disabled::kCheckAtSend), 0U);
}

TEST(GeneratedAdvertisements,
     TheCheckerFindsAShorterCooldownThatOverridesALonger)
{
  EXPECT_GT(CountViolations(Disabled::kLongestCooldown), 0U);
}

TEST(GeneratedAdvertisements, TheCheckerFindsResponsesOfAFormerIncarnation)
{
  EXPECT_GT(CountViolations(Disabled::kIncarnation), 0U);
}

TEST(GeneratedAdvertisements, TheCheckerFindsAnExpiredEntryThatIsForgotten)
{
  EXPECT_GT(CountViolations(Disabled::kRetentionOfRemoved), 0U);
}

} // namespace shuntjunction::state
