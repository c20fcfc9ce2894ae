// Whatever crashes engines, a deadly part is refused after a few crashes and no
// sound part ever is; requests beside it go on.

#include <gtest/gtest.h>

#include <iomanip>
#include <iostream>

#include "part_crash_simulation.h"

namespace shuntjunction::state::part_crash {
namespace {

constexpr std::size_t kMaxLateArrivals = 3;

Outcome
Play(const Scenario& aScenario)
{
  auto outcome = Simulation(aScenario).Run();
  std::cout << std::fixed << std::setprecision(2) << aScenario.mName << ", "
            << aScenario.mEngines << " engines, " << aScenario.mRelays
            << " relays, " << aScenario.mDeadlyPerSecond << "/s, seed "
            << aScenario.mSeed << ": verdict at " << outcome.mUntilVerdict
            << ", crashes " << outcome.mCrashes << ", arrivals "
            << outcome.mArrivals << ", late " << outcome.mLateArrivals
            << ", sound refused " << outcome.mSoundCondemned.size()
            << ::testing::PrintToString(outcome.mSoundCondemned)
            << ", same part " << outcome.mSameFirst.mBefore << " then "
            << outcome.mSameFirst.mAfter << ", same team "
            << outcome.mSameTeam.mBefore << " then " << outcome.mSameTeam.mAfter
            << "\n";
  return outcome;
}

void
ExpectToGoOn(const Shares& aShares)
{
  EXPECT_GE(aShares.mAfter, aShares.mBefore / 2);
}

void
ExpectSound(const Scenario& aScenario)
{
  SCOPED_TRACE(aScenario.mName + ", seed " + std::to_string(aScenario.mSeed));
  const auto outcome = Play(aScenario);
  EXPECT_TRUE(outcome.mSoundCondemned.empty());
  EXPECT_LE(outcome.mLateArrivals, kMaxLateArrivals);
  ExpectToGoOn(outcome.mSameFirst);
  ExpectToGoOn(outcome.mSameTeam);
  ExpectToGoOn(outcome.mOthers);
}

/// A fleet, from a few engines to the size the system is designed for.
struct Fleet
{
  std::size_t mEngines;
  std::size_t mRelays;
  std::uint64_t mSeeds;
};

Scenario
Named(const std::string& aName, const Fleet& aFleet)
{
  Scenario scenario;
  scenario.mName = aName;
  scenario.mEngines = aFleet.mEngines;
  scenario.mRelays = aFleet.mRelays;
  return scenario;
}

void
ExpectSoundForAllSeeds(Scenario aScenario, const Fleet& aFleet)
{
  for (std::uint64_t seed = 1; seed <= aFleet.mSeeds; ++seed) {
    aScenario.mSeed = seed;
    ExpectSound(aScenario);
  }
}

std::string
NameOf(const Fleet& aFleet)
{
  return std::to_string(aFleet.mEngines) + "Engines";
}

const auto kFleets = ::testing::Values(Fleet{ 5, 4, 3 },
                                       Fleet{ 9, 8, 3 },
                                       Fleet{ 60, 20, 3 },
                                       Fleet{ 600, 100, 1 });

/// Deadly requests at several rates a second.
class GivenAFleetAndARate
  : public ::testing::TestWithParam<std::tuple<Fleet, int>>
{
protected:
  void Expect(Scenario aScenario) const
  {
    aScenario.mDeadlyPerSecond = std::get<1>(GetParam());
    ExpectSoundForAllSeeds(aScenario, mFleet);
  }

  const Fleet mFleet = std::get<0>(GetParam());
};

TEST_P(GivenAFleetAndARate, ADeadlyInnerPartIsRefusedAndItsFirstPartServed)
{
  Expect(Named("inner", mFleet));
}

TEST_P(GivenAFleetAndARate, ADeadlyFirstPartIsRefusedAndItsInnerPartsServed)
{
  auto scenario = Named("first", mFleet);
  scenario.mIsFirst = true;
  Expect(scenario);
}

TEST_P(GivenAFleetAndARate, RequestsOfSeveralTeamsAndRepeatsAreRefusedAsWell)
{
  auto scenario = Named("teams, repeats", mFleet);
  scenario.mTeams = 4;
  scenario.mAttempts = 2;
  Expect(scenario);
}

TEST_P(GivenAFleetAndARate, TwoDeadlyPartsAtOnceAreBothRefused)
{
  auto scenario = Named("two parts", mFleet);
  scenario.mDeadlyParts = 2;
  Expect(scenario);
}

TEST_P(GivenAFleetAndARate, APartThatWasAnsweredAMomentAgoIsRefused)
{
  auto scenario = Named("sound before", mFleet);
  scenario.mWasSound = true;
  Expect(scenario);
}

INSTANTIATE_TEST_SUITE_P(PartCrashes,
                         GivenAFleetAndARate,
                         ::testing::Combine(kFleets,
                                            ::testing::Values(1, 10, 100)),
                         [](const auto& aInfo) {
                           return NameOf(std::get<0>(aInfo.param)) + "Rate" +
                                  std::to_string(std::get<1>(aInfo.param));
                         });

/// A cause of crashes beside the deadly requests.
class GivenAFleetAndAFault
  : public ::testing::TestWithParam<std::tuple<Fleet, Fault>>
{
protected:
  void Expect(const std::string& aName, double aDeadlyPerSecond) const
  {
    const auto fault = std::get<1>(GetParam());
    const auto name = aName + std::string(kFaultNames.Name(fault));
    auto scenario = Named(name, mFleet);
    scenario.mFault = fault;
    scenario.mDeadlyPerSecond = aDeadlyPerSecond;
    ExpectSoundForAllSeeds(scenario, mFleet);
  }

  const Fleet mFleet = std::get<0>(GetParam());
};

TEST_P(GivenAFleetAndAFault, NoSoundPartIsRefused)
{
  Expect("", 0);
}

TEST_P(GivenAFleetAndAFault, ADeadlyPartIsToldFromIt)
{
  Expect("deadly part and ", 10);
}

INSTANTIATE_TEST_SUITE_P(
  PartCrashes,
  GivenAFleetAndAFault,
  ::testing::Combine(kFleets,
                     ::testing::Values(Fault::kRack,
                                       Fault::kZone,
                                       Fault::kAllEngines,
                                       Fault::kFlapping,
                                       Fault::kBadRelease)),
  [](const auto& aInfo) {
    return NameOf(std::get<0>(aInfo.param)) +
           std::string(kFaultNames.Name(std::get<1>(aInfo.param)));
  });

class WithoutAMechanismOfPartCrashes : public ::testing::Test
{
protected:
  Outcome PlayWithout(Disabled aDisabled)
  {
    mScenario.mDisabled = aDisabled;
    return Play(mScenario);
  }

  Scenario mScenario;
};

TEST_F(WithoutAMechanismOfPartCrashes, NoClearsASoundPartIsRefused)
{
  mScenario.mName = "without clears";
  mScenario.mFault = Fault::kBadRelease;
  EXPECT_FALSE(PlayWithout(Disabled::kClears).mSoundCondemned.empty());
}

TEST_F(WithoutAMechanismOfPartCrashes, NoTrialsAnOutageRefusesASoundPart)
{
  mScenario.mName = "without trials";
  mScenario.mFault = Fault::kAllEngines;
  mScenario.mDeadlyPerSecond = 0;
  EXPECT_FALSE(PlayWithout(Disabled::kTrials).mSoundCondemned.empty());
}

TEST_F(WithoutAMechanismOfPartCrashes, WholeRequestsLetAllEnginesCrash)
{
  mScenario.mName = "whole requests";
  mScenario.mEngines = 9;
  mScenario.mRelays = 4;
  const auto outcome = PlayWithout(Disabled::kParts);
  EXPECT_GE(outcome.mCrashes, mScenario.mEngines);
  EXPECT_GT(outcome.mLateArrivals, kMaxLateArrivals);
}

TEST_F(WithoutAMechanismOfPartCrashes, NoTrialDelayMoreRequestsReachEngines)
{
  mScenario.mName = "without trial delay";
  mScenario.mDeadlyPerSecond = 100;
  const auto without = PlayWithout(Disabled::kTrialDelay).mArrivals;
  EXPECT_GT(without, PlayWithout(Disabled::kNothing).mArrivals * 3 / 2);
}

} // namespace
} // namespace shuntjunction::state::part_crash
