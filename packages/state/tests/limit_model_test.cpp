// Simulates relays and the companions that own the shares of a team's limit,
// under faults, and checks what all relays admit over any period.
//
// Relays and companions see changes of the list of companions late, each with
// its own delay; replies are lost after a grant; companions and relays restart,
// singly or all at once; companions leave the list and return; the limit
// changes. The demand is several times the limit.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include "shuntjunction/state/limit_shares.h"

namespace shuntjunction::state {

namespace {

constexpr Millis kStep{ 10 };
constexpr Millis kWindow{ 8000 };
constexpr Millis kHandover{ 3000 };
constexpr int kCompanions = 5;
constexpr int kRelays = 6;
constexpr TeamHash kTeam = 42;

/// An admitted request and the amount it used.
struct Usage
{
  TimePoint mAt;
  double mAmount = 0;
};

/// Maximum usage within any window.
double
MaxInAnyWindow(const std::vector<Usage>& aUsages, Millis aWindow)
{
  double most = 0;
  double sum = 0;
  std::size_t first = 0;
  for (const auto& usage : aUsages) {
    sum += usage.mAmount;
    while (aUsages[first].mAt + aWindow <= usage.mAt) {
      sum -= aUsages[first].mAmount;
      ++first;
    }
    most = std::max(most, sum);
  }
  return most;
}

/// Usage that the operator tolerates in a window: ten percent above rate and
/// burst.
double
Allowed(const UsageLimit& aLimit)
{
  constexpr double kOverage = 1.1;
  const std::chrono::duration<double> window = kWindow;
  return (aLimit.mPerSecond * window.count() + aLimit.mBurst) * kOverage;
}

/// Parameters of a run, including what it disables in the mechanism.
struct Scenario
{
  double mDemand = 4.0;        ///< relative to the limit
  double mListChanges = 0.004; ///< probability per step
  bool mHasFaults = true;
  Millis mHandover = kHandover;
  bool mStartsWithFullBuckets = false;  ///< of restarted companions
  std::size_t mReachedRelays = kRelays; ///< that the callers connect to
};

class Simulation
{
public:
  Simulation(std::uint64_t aSeed, const Scenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aSeed)
  {
    for (int i = 0; i < kCompanions; ++i) {
      mHosts.push_back("10.0.0." + std::to_string(100 + i));
    }
    mListed = std::vector<bool>(kCompanions, true);
    for (int i = 0; i < kRelays; ++i) {
      mDirectories.emplace_back(static_cast<std::uint64_t>(i));
    }
    mCompanions.resize(kCompanions);
    mListDelay.resize(kCompanions + kRelays);
    PublishList();
    for (int i = 0; i < kCompanions; ++i) {
      Restart(i);
    }
  }

  void Run(std::chrono::seconds aTime)
  {
    const auto end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(kStep);
      if (mScenario.mHasFaults) {
        InjectFaults();
      }
      UpdateLists();
      for (std::size_t i = 0; i < mScenario.mReachedRelays; ++i) {
        Ask(i);
      }
    }
  }

  std::vector<Usage> mUsages;
  int mRefused = 0;
  UsageLimit mLimit{ 100000, 100000 };

private:
  double Chance() { return std::uniform_real_distribution(0.0, 1.0)(mRandom); }
  int Draw(int aCount)
  {
    return std::uniform_int_distribution(0, aCount - 1)(mRandom);
  }

  std::vector<std::string> Listed() const
  {
    std::vector<std::string> hosts;
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      if (mListed[i]) {
        hosts.push_back(mHosts[i]);
      }
    }
    return hosts;
  }

  void PublishList()
  {
    mLists.emplace_back(mClock.Now(), Listed());
    for (auto& delay : mListDelay) {
      // A relay uses an old list for less than the handover time.
      delay = Millis(Draw(static_cast<int>(kHandover.count()) - 100));
    }
  }

  /// The list as seen by a process that learns of changes after aDelay.
  const std::vector<std::string>& ListAsOf(Millis aDelay) const
  {
    const auto found =
      std::find_if(mLists.rbegin(), mLists.rend(), [&](const auto& aList) {
        return aList.first + aDelay <= mClock.Now();
      });
    if (found != mLists.rend()) {
      return found->second;
    }
    return mLists.front().second;
  }

  void Restart(int aCompanion)
  {
    LimitSharesSettings settings;
    settings.mOwnership.mHandover = mScenario.mHandover;
    const auto at = static_cast<std::size_t>(aCompanion);
    mCompanions[at] = std::make_unique<LimitShares>(settings, mHosts[at]);
    const auto since = mScenario.mStartsWithFullBuckets
                         ? mClock.Now() - std::chrono::minutes(1)
                         : mClock.Now();
    // It reads the current list.
    mCompanions[at]->SetHosts(Listed(), since);
    mListDelay[at] = Millis(0);
  }

  void InjectFaults()
  {
    constexpr double kRestartChance = 0.004;
    if (Chance() < mScenario.mListChanges) {
      const int companion = Draw(kCompanions);
      const auto at = static_cast<std::size_t>(companion);
      mListed[at] = !mListed[at];
      PublishList();
    }
    if (Chance() < kRestartChance) {
      Restart(Draw(kCompanions));
    }
    constexpr double kFullRestartChance = 0.0008;
    if (Chance() < kFullRestartChance) {
      for (int i = 0; i < kCompanions; ++i) {
        Restart(i);
      }
    }
  }

  void UpdateLists()
  {
    for (std::size_t i = 0; i < mCompanions.size(); ++i) {
      mCompanions[i]->SetHosts(ListAsOf(mListDelay[i]), mClock.Now());
    }
    for (std::size_t i = 0; i < mDirectories.size(); ++i) {
      std::map<std::string, std::string> hosts;
      for (const auto& host : ListAsOf(mListDelay[mCompanions.size() + i])) {
        hosts[host] = "a";
      }
      mDirectories[i].SetHosts(std::move(hosts));
    }
  }

  void Ask(std::size_t aRelay)
  {
    const std::chrono::duration<double> step = kStep;
    constexpr double kMeanAmount = 1000;
    const double wanted = mLimit.mPerSecond * step.count() * mScenario.mDemand /
                          static_cast<double>(mScenario.mReachedRelays);
    std::poisson_distribution<int> requests(wanted / kMeanAmount);
    for (int i = requests(mRandom); i > 0; --i) {
      AskOnce(aRelay, static_cast<std::uint32_t>(1 + Draw(1999)));
    }
  }

  void AskOnce(std::size_t aRelay, std::uint32_t aAmount)
  {
    std::vector<std::pair<ShareSource, std::uint32_t>> held;
    std::uint32_t sum = 0;
    for (const auto& source : mDirectories[aRelay].SourcesOf(kTeam, "a")) {
      if (sum >= aAmount) {
        break;
      }
      auto& shares = CompanionAt(source.mHost);
      const auto grant = shares.Take(
        { source.mKey, mLimit, mVersion, aAmount - sum }, mClock.Now());
      const bool isLost = mScenario.mHasFaults && Chance() < 0.01;
      if (!isLost) {
        sum += grant.mAmount;
        held.emplace_back(source, grant.mAmount);
      }
    }
    if (sum >= aAmount) {
      mUsages.push_back({ mClock.Now(), static_cast<double>(aAmount) });
      return;
    }
    ++mRefused;
    for (const auto& [source, amount] : held) {
      CompanionAt(source.mHost).GiveBack(source.mKey, amount);
    }
  }

  LimitShares& CompanionAt(const std::string& aHost)
  {
    const auto found = std::find(mHosts.begin(), mHosts.end(), aHost);
    return *mCompanions[static_cast<std::size_t>(found - mHosts.begin())];
  }

  Scenario mScenario;
  ManualClock mClock;
  RandomSource mRandom;
  std::uint64_t mVersion = 1;
  std::vector<std::string> mHosts;
  std::vector<bool> mListed;
  std::deque<std::pair<TimePoint, std::vector<std::string>>> mLists;
  std::vector<Millis> mListDelay; ///< of companions, then relays
  std::vector<std::unique_ptr<LimitShares>> mCompanions;
  std::vector<ShareDirectory> mDirectories;
};

/// Probability of a list change per step: one change each second.
constexpr double kFrequentListChanges = 0.01;

/// Number of seeds with a violation of the limit.
int
CountViolations(const Scenario& aScenario)
{
  constexpr std::uint64_t kSeeds = 40;
  int violations = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, aScenario);
    simulation.Run(std::chrono::seconds(40));
    violations +=
      MaxInAnyWindow(simulation.mUsages, kWindow) > Allowed(simulation.mLimit);
  }
  return violations;
}

} // namespace

TEST(GeneratedFaultsOfLimits, NoWindowSeesMoreThanIsAllowed)
{
  EXPECT_EQ(CountViolations({}), 0);
}

TEST(GeneratedFaultsOfLimits, NorWhileCompanionsJoinAndLeaveAllTheTime)
{
  Scenario scenario;
  scenario.mListChanges = kFrequentListChanges;
  EXPECT_EQ(CountViolations(scenario), 0);
}

TEST(GeneratedFaultsOfLimits, AShareGrantedByTwoCompanionsAtOnceExceedsIt)
{
  Scenario scenario;
  scenario.mListChanges = kFrequentListChanges;
  scenario.mHandover = Millis(0);
  EXPECT_GT(CountViolations(scenario), 0);
}

TEST(GeneratedFaultsOfLimits, ACompanionThatStartsWithAFullShareExceedsIt)
{
  Scenario scenario;
  scenario.mStartsWithFullBuckets = true;
  EXPECT_GT(CountViolations(scenario), 0);
}

TEST(GeneratedFaultsOfLimits, TheCheckerFindsABurstAcrossTwoOfItsWindows)
{
  const TimePoint start;
  const std::vector<Usage> bad{ { start + Millis(7900), 600000 },
                                { start + Millis(8100), 600000 } };
  EXPECT_GT(MaxInAnyWindow(bad, kWindow), Allowed({ 100000, 100000 }));
  const std::vector<Usage> good{ { start, 600000 },
                                 { start + kWindow, 600000 } };
  EXPECT_EQ(MaxInAnyWindow(good, kWindow), 600000);
}

TEST(LimitsWithoutFaults,
     ATeamBelowFourFifthsIsNeverRefusedWhereverItsCallersConnect)
{
  for (const std::size_t relays : { 1U, 2U, 6U }) {
    Scenario scenario;
    scenario.mDemand = 0.8;
    scenario.mHasFaults = false;
    scenario.mReachedRelays = relays;
    Simulation simulation(relays, scenario);
    // In the first second there is no burst to draw from.
    simulation.Run(std::chrono::seconds(1));
    simulation.mRefused = 0;
    simulation.Run(std::chrono::seconds(60));
    EXPECT_EQ(simulation.mRefused, 0) << relays << " relays";
  }
}

TEST(LimitsWithoutFaults, ATeamFarBeyondGetsItsLimitAndNoMore)
{
  Scenario scenario;
  scenario.mHasFaults = false;
  Simulation simulation(1, scenario);
  constexpr int kSeconds = 40;
  simulation.Run(std::chrono::seconds(kSeconds));
  double sum = 0;
  for (const auto& usage : simulation.mUsages) {
    sum += usage.mAmount;
  }
  EXPECT_NEAR(sum / (simulation.mLimit.mPerSecond * kSeconds), 1.0, 0.05);
}

} // namespace shuntjunction::state
