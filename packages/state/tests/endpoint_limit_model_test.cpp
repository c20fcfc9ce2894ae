// Simulates relays, one endpoint that advertises a rate limit and the companion
// that owns the rate, under faults, and checks how many requests reach the
// endpoint in any four seconds.
//
// Messages have random delays and some are lost; relays are suspended, cut off
// from the owner or restarted; the owner restarts too; the rate changes, ends
// and returns. The demand is many times the rate.

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "shuntjunction/state/endpoint_limits.h"

namespace shuntjunction::state {

namespace {

constexpr Millis kWindow{ 4000 };
constexpr Millis kSettlingTime{ 3000 };
constexpr Millis kPropagation{ 500 };
constexpr Millis kStep{ 10 };
constexpr int kRelays = 6;
constexpr LimitedEndpoint kEndpoint{ 7, true };

/// The part of the mechanism that a run disables, to show that the checker
/// notices.
enum class Disabled
{
  kNothing,
  kSharedOwner, ///< each relay enforces the rate on its own
  kSingleUse,   ///< a used permit is returned as well
};

/// A rate and since when it is in force.
struct RatePeriod
{
  std::optional<double> mPerSecond;
  TimePoint mFrom;
};

class Simulation
{
public:
  Simulation(std::uint64_t aSeed, Disabled aDisabled)
    : mDisabled(aDisabled)
    , mRandom(aSeed)
    , mRelays(kRelays)
  {
    ChangeRate(std::nullopt);
    StartOwner();
    for (auto& relay : mRelays) {
      relay.mOwn = NewLimits();
    }
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
      for (std::size_t i = 0; i < mRelays.size(); ++i) {
        if (Chance(0.1)) {
          StartRequest(i);
        }
      }
    }
  }

  /// Whether some window of four seconds saw more requests than one and a half
  /// times the rate, plus five.
  bool IsViolated() const
  {
    std::size_t first = 0;
    for (std::size_t i = 0; i < mArrivals.size(); ++i) {
      while (mArrivals[first] + kWindow <= mArrivals[i]) {
        ++first;
      }
      const auto rate = LargestRate(mArrivals[i]);
      const auto count = static_cast<double>(i + 1 - first);
      if (rate && count > *rate * 1.5 * 4 + 5) {
        return true;
      }
    }
    return false;
  }

  std::size_t Arrivals() const { return mArrivals.size(); }

  /// Requests that arrived after no rate had been advertised for some seconds.
  std::size_t UnlimitedArrivals() const { return mUnlimitedArrivals; }

private:
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

  struct Relay
  {
    std::optional<double> mRate;
    std::optional<TimePoint> mRateKnownSince; ///< first response with a rate
    TimePoint mSuspendedUntil;
    TimePoint mCutUntil; ///< cut off from the owner
    TimePoint mExcusedUntil;
    int mProcess = 0;
    std::unique_ptr<EndpointLimits> mOwn;
  };

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution(0.0, 1.0)(mRandom) < aShare;
  }
  Millis Draw(int aFrom, int aTo)
  {
    return Millis(std::uniform_int_distribution(aFrom, aTo)(mRandom));
  }
  std::unique_ptr<EndpointLimits> NewLimits()
  {
    return std::make_unique<EndpointLimits>(
      EndpointLimitsSettings{},
      mOwnership,
      static_cast<std::uint32_t>(mRandom()));
  }

  void After(Millis aTime, std::function<void()> aCall)
  {
    mQueue.push({ mClock.Now() + aTime, mOrder++, std::move(aCall) });
  }

  /// Runs a call on a relay once it is not suspended; drops it if the relay was
  /// restarted meanwhile.
  void AtRelay(std::size_t aRelay, Millis aTime, std::function<void()> aCall)
  {
    const auto process = mRelays[aRelay].mProcess;
    After(aTime, [this, aRelay, process, aCall] {
      const auto& relay = mRelays[aRelay];
      if (relay.mProcess != process) {
        return;
      }
      if (mClock.Now() < relay.mSuspendedUntil) {
        const auto left = relay.mSuspendedUntil - mClock.Now();
        AtRelay(aRelay, std::chrono::duration_cast<Millis>(left), aCall);
        return;
      }
      aCall();
    });
  }

  void AtOwner(std::size_t aRelay, std::function<void()> aCall)
  {
    if (mClock.Now() >= mRelays[aRelay].mCutUntil && !Chance(0.01)) {
      After(Draw(1, 12), std::move(aCall));
    }
  }

  EndpointLimits& LimitsOf(std::size_t aRelay)
  {
    return mDisabled == Disabled::kSharedOwner ? *mRelays[aRelay].mOwn
                                               : *mOwner;
  }

  void StartRequest(std::size_t aRelay)
  {
    AtRelay(aRelay, Millis(0), [this, aRelay] {
      const auto& relay = mRelays[aRelay];
      if (!relay.mRate) {
        Send(aRelay, std::nullopt);
        return;
      }
      const auto askedAt = mClock.Now();
      const PlaceAsk ask{ kEndpoint, *relay.mRate, true };
      AtOwner(aRelay, [this, aRelay, ask, askedAt] {
        const auto grant = LimitsOf(aRelay).Take(ask, mClock.Now());
        AtRelay(aRelay, Draw(1, 12), [this, aRelay, grant, askedAt] {
          const bool isInTime = mClock.Now() - askedAt < Millis(100);
          if (grant.mIsGranted && isInTime) {
            Send(aRelay, grant.mRateVersion);
          }
        });
      });
    });
  }

  void Send(std::size_t aRelay, std::optional<std::uint32_t> aVersion)
  {
    // The connection to the endpoint may have to be opened first.
    After(Chance(0.1) ? Draw(50, 400) : Draw(1, 3), [this, aRelay, aVersion] {
      Arrive(aRelay);
      if (aVersion && mDisabled == Disabled::kSingleUse) {
        LimitsOf(aRelay).GiveBack(kEndpoint.mHash);
      }
      After(Draw(10, 400), [this, aRelay, aVersion] {
        const auto rate = mRates.back().mPerSecond;
        AtRelay(aRelay, Draw(1, 30), [this, aRelay, rate, aVersion] {
          HandleResponse(aRelay, rate, aVersion);
        });
      });
    });
  }

  void Arrive(std::size_t aRelay)
  {
    const auto now = mClock.Now();
    const auto& relay = mRelays[aRelay];
    const auto& period = mRates.back();
    if (!period.mPerSecond) {
      mUnlimitedArrivals += now >= period.mFrom + kSettlingTime ? 1 : 0;
      return;
    }
    const bool isLimited =
      relay.mRateKnownSince &&
      now >= std::max(*relay.mRateKnownSince, period.mFrom) + kPropagation &&
      now >= relay.mExcusedUntil;
    if (isLimited) {
      mArrivals.push_back(now);
    }
  }

  void HandleResponse(std::size_t aRelay,
                      std::optional<double> aRate,
                      std::optional<std::uint32_t> aVersion)
  {
    auto& relay = mRelays[aRelay];
    if (aRate) {
      relay.mRate = aRate;
      relay.mRateKnownSince = relay.mRateKnownSince.value_or(mClock.Now());
    }
    const bool isEnd = !aRate && relay.mRate && aVersion;
    if (!aRate && !isEnd) {
      return;
    }
    const EndpointRate rate{ aRate ? RateNotice::kAdvertised
                                   : RateNotice::kAbsent,
                             aRate.value_or(0) };
    const RateReport report{ kEndpoint, rate, aVersion.value_or(0) };
    AtOwner(aRelay, [this, aRelay, report] { HandleReport(aRelay, report); });
  }

  void HandleReport(std::size_t aRelay, const RateReport& aReport)
  {
    const auto update = LimitsOf(aRelay).Note(aReport, mClock.Now());
    for (std::size_t i = 0; update && i < mRelays.size(); ++i) {
      const bool isReached = mClock.Now() >= mRelays[i].mCutUntil;
      if (isReached && (mDisabled != Disabled::kSharedOwner || i == aRelay)) {
        AtRelay(i, Draw(1, 12), [this, i, rate = update->mPerSecond] {
          mRelays[i].mRate = rate;
        });
      }
    }
  }

  void StartOwner() { mOwner = NewLimits(); }

  void ChangeRate(std::optional<double> aRate)
  {
    mRates.push_back({ aRate, mClock.Now() });
  }

  void InjectFaults()
  {
    const auto now = mClock.Now();
    constexpr double kFaultChance = 0.002;
    if (Chance(kFaultChance)) {
      constexpr std::array<double, 4> kSampleRates{ 0.5, 1.0, 2.3, 6.0 };
      const auto drawn = mRandom() % (kSampleRates.size() + 1);
      ChangeRate(drawn < kSampleRates.size()
                   ? std::optional(kSampleRates[drawn])
                   : std::nullopt);
    }
    if (Chance(kFaultChance)) {
      StartOwner();
    }
    auto& relay = mRelays[mRandom() % mRelays.size()];
    if (Chance(kFaultChance)) {
      relay.mSuspendedUntil = now + Draw(200, 4000);
      relay.mExcusedUntil = relay.mSuspendedUntil + kSettlingTime;
    }
    if (Chance(kFaultChance)) {
      relay.mCutUntil = now + Draw(200, 5000);
    }
    if (Chance(kFaultChance)) {
      ++relay.mProcess;
      relay.mExcusedUntil = now + kSettlingTime;
      const auto known = mOwner->Known();
      relay.mRate = known.empty() ? std::nullopt : known[0].mPerSecond;
    }
  }

  /// The highest rate that may apply in the window ending at aAt; empty while
  /// the limit is not yet in effect.
  std::optional<double> LargestRate(TimePoint aAt) const
  {
    std::optional<double> largest;
    for (std::size_t i = 0; i < mRates.size(); ++i) {
      const bool isLast = i + 1 == mRates.size();
      const auto until = isLast ? TimePoint::max() : mRates[i + 1].mFrom;
      const bool overlaps = mRates[i].mFrom <= aAt &&
                            (isLast || until + kPropagation >= aAt - kWindow);
      if (!overlaps) {
        continue;
      }
      if (!mRates[i].mPerSecond || mRates[i].mFrom + kSettlingTime > aAt) {
        return std::nullopt;
      }
      largest = std::max(largest.value_or(0), *mRates[i].mPerSecond);
    }
    return largest;
  }

  Disabled mDisabled;
  ManualClock mClock;
  std::mt19937_64 mRandom;
  ShareOwnership mOwnership{ {}, "10.0.0.1" };
  std::unique_ptr<EndpointLimits> mOwner;
  std::vector<Relay> mRelays;
  std::vector<RatePeriod> mRates;
  std::vector<TimePoint> mArrivals; ///< from relays that the rate applies to
  std::size_t mUnlimitedArrivals = 0;
  std::priority_queue<ScheduledCall> mQueue;
  std::uint64_t mOrder = 0;
};

/// Number of seeds with a violation of the limit.
int
CountViolations(Disabled aDisabled)
{
  constexpr std::uint64_t kSeeds = 40;
  int violations = 0;
  std::size_t arrivals = 0;
  std::size_t unlimited = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, aDisabled);
    simulation.Run(std::chrono::seconds(90));
    violations += simulation.IsViolated() ? 1 : 0;
    arrivals += simulation.Arrivals();
    unlimited += simulation.UnlimitedArrivals();
  }
  // An owner that grants nothing, or a rate that never ends, would make the
  // test meaningless.
  EXPECT_GT(arrivals, 1000U);
  EXPECT_GT(unlimited, 1000U);
  return violations;
}

} // namespace

TEST(GeneratedFaultsOfRates, AnEndpointGetsNoMoreThanItAdvertises)
{
  EXPECT_EQ(CountViolations(Disabled::kNothing), 0);
}

TEST(GeneratedFaultsOfRates, ItGetsMoreWhenEachRelayEnforcesTheRateAlone)
{
  EXPECT_GT(CountViolations(Disabled::kSharedOwner), 0);
}

TEST(GeneratedFaultsOfRates, ItGetsMoreWhenAPermitIsGrantedTwice)
{
  EXPECT_GT(CountViolations(Disabled::kSingleUse), 0);
}

} // namespace shuntjunction::state
