// A model of relays and companions that keep teams' limits among faults,
// against a checker that sums what all relays let through in any time.
//
// Relays and companions see the list of companions late, each by its own delay;
// answers are lost after something was given; companions and relays start anew,
// one or all of them; companions are listed no more and come back; the limit
// changes. What is wanted is several times what the limit allows.

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

/// Something that ran, and how much of the limit it used.
struct Used
{
  TimePoint mAt;
  double mAmount = 0;
};

/// The most that was used in any window.
double
MostInAWindow(const std::vector<Used>& aUsed, Millis aWindow)
{
  double most = 0;
  double sum = 0;
  std::size_t first = 0;
  for (const auto& used : aUsed) {
    sum += used.mAmount;
    while (aUsed[first].mAt + aWindow <= used.mAt) {
      sum -= aUsed[first].mAmount;
      ++first;
    }
    most = std::max(most, sum);
  }
  return most;
}

/// What the operator allows in a window: a tenth beyond rate and burst.
double
Allowed(const UsageLimit& aLimit)
{
  constexpr double kOverage = 1.1;
  const std::chrono::duration<double> window = kWindow;
  return (aLimit.mPerSecond * window.count() + aLimit.mBurst) * kOverage;
}

/// What is played, and what is taken out of the mechanism for it.
struct Play
{
  double mDemand = 4.0;        ///< as a part of the limit
  double mListChanges = 0.004; ///< of a step
  bool mHasFaults = true;
  Millis mHandover = kHandover;
  bool mStartsFull = false;             ///< companions forget that they forgot
  std::size_t mReachedRelays = kRelays; ///< that the team's callers meet
};

class World
{
public:
  World(std::uint64_t aSeed, const Play& aPlay)
    : mPlay(aPlay)
    , mRandom(aSeed)
  {
    for (int i = 0; i < kCompanions; ++i) {
      mHosts.push_back("10.0.0." + std::to_string(100 + i));
    }
    mListed = std::vector<bool>(kCompanions, true);
    for (int i = 0; i < kRelays; ++i) {
      mDirectories.emplace_back(static_cast<std::uint64_t>(i));
    }
    mKeepers.resize(kCompanions);
    mListDelay.resize(kCompanions + kRelays);
    NoteList();
    for (int i = 0; i < kCompanions; ++i) {
      Restart(i);
    }
  }

  void Run(std::chrono::seconds aTime)
  {
    const auto end = mClock.Now() + aTime;
    while (mClock.Now() < end) {
      mClock.Advance(kStep);
      if (mPlay.mHasFaults) {
        Fault();
      }
      Look();
      for (std::size_t i = 0; i < mPlay.mReachedRelays; ++i) {
        Ask(i);
      }
    }
  }

  std::vector<Used> mUsed;
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

  void NoteList()
  {
    mLists.emplace_back(mClock.Now(), Listed());
    for (auto& delay : mListDelay) {
      // A relay believes an old list for less than a handover takes.
      delay = Millis(Draw(static_cast<int>(kHandover.count()) - 100));
    }
  }

  /// The list as a process sees it whose news come so late.
  const std::vector<std::string>& Seen(Millis aDelay) const
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
    settings.mOwnership.mHandover = mPlay.mHandover;
    const auto at = static_cast<std::size_t>(aCompanion);
    mKeepers[at] = std::make_unique<LimitShares>(settings, mHosts[at]);
    const auto since =
      mPlay.mStartsFull ? mClock.Now() - std::chrono::minutes(1) : mClock.Now();
    // It reads the list as it is now.
    mKeepers[at]->SetHosts(Listed(), since);
    mListDelay[at] = Millis(0);
  }

  void Fault()
  {
    constexpr double kOften = 0.004;
    if (Chance() < mPlay.mListChanges) {
      const int companion = Draw(kCompanions);
      const auto at = static_cast<std::size_t>(companion);
      mListed[at] = !mListed[at];
      NoteList();
    }
    if (Chance() < kOften) {
      Restart(Draw(kCompanions));
    }
    constexpr double kSeldom = 0.0008;
    if (Chance() < kSeldom) {
      for (int i = 0; i < kCompanions; ++i) {
        Restart(i);
      }
    }
  }

  void Look()
  {
    for (std::size_t i = 0; i < mKeepers.size(); ++i) {
      mKeepers[i]->SetHosts(Seen(mListDelay[i]), mClock.Now());
    }
    for (std::size_t i = 0; i < mDirectories.size(); ++i) {
      std::map<std::string, std::string> hosts;
      for (const auto& host : Seen(mListDelay[mKeepers.size() + i])) {
        hosts[host] = "a";
      }
      mDirectories[i].SetHosts(std::move(hosts));
    }
  }

  void Ask(std::size_t aRelay)
  {
    const std::chrono::duration<double> step = kStep;
    constexpr double kMeanAmount = 1000;
    const double wanted = mLimit.mPerSecond * step.count() * mPlay.mDemand /
                          static_cast<double>(mPlay.mReachedRelays);
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
      auto& keeper = KeeperAt(source.mHost);
      const auto grant = keeper.Take(
        { source.mKey, mLimit, mVersion, aAmount - sum }, mClock.Now());
      const bool isLost = mPlay.mHasFaults && Chance() < 0.01;
      if (!isLost) {
        sum += grant.mAmount;
        held.emplace_back(source, grant.mAmount);
      }
    }
    if (sum >= aAmount) {
      mUsed.push_back({ mClock.Now(), static_cast<double>(aAmount) });
      return;
    }
    ++mRefused;
    for (const auto& [source, amount] : held) {
      KeeperAt(source.mHost).GiveBack(source.mKey, amount);
    }
  }

  LimitShares& KeeperAt(const std::string& aHost)
  {
    const auto found = std::find(mHosts.begin(), mHosts.end(), aHost);
    return *mKeepers[static_cast<std::size_t>(found - mHosts.begin())];
  }

  Play mPlay;
  ManualClock mClock;
  RandomSource mRandom;
  std::uint64_t mVersion = 1;
  std::vector<std::string> mHosts;
  std::vector<bool> mListed;
  std::deque<std::pair<TimePoint, std::vector<std::string>>> mLists;
  std::vector<Millis> mListDelay; ///< of companions, then relays
  std::vector<std::unique_ptr<LimitShares>> mKeepers;
  std::vector<ShareDirectory> mDirectories;
};

/// Changes of the list, of a step: one each second.
constexpr double kStormOfChanges = 0.01;

/// Seeds of which a play broke the bound.
int
Broken(const Play& aPlay)
{
  constexpr std::uint64_t kSeeds = 40;
  int broken = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    World world(seed, aPlay);
    world.Run(std::chrono::seconds(40));
    broken += MostInAWindow(world.mUsed, kWindow) > Allowed(world.mLimit);
  }
  return broken;
}

} // namespace

TEST(GeneratedFaultsOfLimits, NoWindowSeesMoreThanIsAllowed)
{
  EXPECT_EQ(Broken({}), 0);
}

TEST(GeneratedFaultsOfLimits, NorWhileCompanionsComeAndGoAllTheTime)
{
  Play play;
  play.mListChanges = kStormOfChanges;
  EXPECT_EQ(Broken(play), 0);
}

TEST(GeneratedFaultsOfLimits, SharesThatAreGivenAtOnceByTwoBreakIt)
{
  Play play;
  play.mListChanges = kStormOfChanges;
  play.mHandover = Millis(0);
  EXPECT_GT(Broken(play), 0);
}

TEST(GeneratedFaultsOfLimits, ACompanionThatStartsWithAFullShareBreaksIt)
{
  Play play;
  play.mStartsFull = true;
  EXPECT_GT(Broken(play), 0);
}

TEST(GeneratedFaultsOfLimits, TheCheckerFindsABurstAcrossTwoOfItsWindows)
{
  const TimePoint start;
  const std::vector<Used> bad{ { start + Millis(7900), 600000 },
                               { start + Millis(8100), 600000 } };
  EXPECT_GT(MostInAWindow(bad, kWindow), Allowed({ 100000, 100000 }));
  const std::vector<Used> good{ { start, 600000 },
                                { start + kWindow, 600000 } };
  EXPECT_EQ(MostInAWindow(good, kWindow), 600000);
}

TEST(CalmLimits, ATeamBelowFourFifthsIsNeverRefusedWhereverItsCallersConnect)
{
  for (const std::size_t relays : { 1U, 2U, 6U }) {
    Play play;
    play.mDemand = 0.8;
    play.mHasFaults = false;
    play.mReachedRelays = relays;
    World world(relays, play);
    // The first second has no burst to draw from.
    world.Run(std::chrono::seconds(1));
    world.mRefused = 0;
    world.Run(std::chrono::seconds(60));
    EXPECT_EQ(world.mRefused, 0) << relays << " relays";
  }
}

TEST(CalmLimits, ATeamFarBeyondGetsItsLimitAndNoMore)
{
  Play play;
  play.mHasFaults = false;
  World world(1, play);
  constexpr int kSeconds = 40;
  world.Run(std::chrono::seconds(kSeconds));
  double sum = 0;
  for (const auto& used : world.mUsed) {
    sum += used.mAmount;
  }
  EXPECT_NEAR(sum / (world.mLimit.mPerSecond * kSeconds), 1.0, 0.05);
}

} // namespace shuntjunction::state
