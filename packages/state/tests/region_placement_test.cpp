#include <random>
#include <set>

#include <gtest/gtest.h>

#include "shuntjunction/state/followed_companions.h"
#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/relay_choice.h"

// Tests placement, stores and followed companions in a fleet of regions.

namespace shuntjunction::state {

class GivenEnginesOfThreeRegions : public ::testing::Test
{
protected:
  GivenEnginesOfThreeRegions()
  {
    for (int i = 0; i < 18; ++i) {
      RelayCandidate candidate;
      candidate.mNameHash = PlacementHash("engine-" + std::to_string(i));
      candidate.mSlots = 48;
      candidate.mVersion = 1;
      candidate.mDistance = i < 3   ? Distance::kSameZone
                            : i < 6 ? Distance::kSameRegion
                                    : Distance::kOtherRegion;
      mCandidates.push_back(candidate);
    }
  }

  /// Engines that some parts are placed on.
  std::set<std::size_t> PlaceParts() const
  {
    std::set<std::size_t> chosen;
    for (int part = 0; part < 200; ++part) {
      chosen.insert(*ChooseByPart(
        mCandidates, PlacementHash(std::to_string(part)), mSettings));
    }
    return chosen;
  }

  std::vector<RelayCandidate> mCandidates;
  RelayChoiceSettings mSettings;
};

TEST_F(GivenEnginesOfThreeRegions, PartsAreSpreadOverTheOwnRegion)
{
  const auto chosen = PlaceParts();
  EXPECT_EQ(chosen, (std::set<std::size_t>{ 0, 1, 2, 3, 4, 5 }));
}

TEST_F(GivenEnginesOfThreeRegions, WithOneHomeInTheFleetOverAll)
{
  mSettings.mPartScope = PartScope::kFleet;
  EXPECT_EQ(PlaceParts().size(), mCandidates.size());
}

TEST_F(GivenEnginesOfThreeRegions, AShortQueueHereIsNoReasonToLeave)
{
  for (std::size_t i = 0; i < 6; ++i) {
    mCandidates[i].mQueuedTokens = mSettings.mMaxRegionLeadTokens;
  }
  EXPECT_LT(*PlaceParts().rbegin(), 6U);
}

TEST_F(GivenEnginesOfThreeRegions, ALongQueueHereIs)
{
  for (std::size_t i = 0; i < 6; ++i) {
    mCandidates[i].mQueuedTokens = mSettings.mMaxRegionLeadTokens + 1;
  }
  EXPECT_GE(*PlaceParts().begin(), 6U);
}

// Guards against callers that are refused although another region could serve
// them.
TEST_F(GivenEnginesOfThreeRegions, WithoutHealthyOnesHereOtherRegionsAreUsed)
{
  for (std::size_t i = 0; i < 6; ++i) {
    mCandidates[i].mIsSuspect = true;
  }
  EXPECT_GE(*PlaceParts().begin(), 6U);
}

// Guards against sending to engines of other regions that may be down: only of
// some of them it is known that they run.
TEST_F(GivenEnginesOfThreeRegions, UnknownOnesElsewhereAreTheLastResort)
{
  for (std::size_t i = 0; i < 18; ++i) {
    mCandidates[i].mIsSuspect = i >= 8;
    mCandidates[i].mQueuedTokens = i < 6 ? 50000 : 0;
  }
  const auto chosen = PlaceParts();
  EXPECT_EQ(chosen, (std::set<std::size_t>{ 6, 7 }));
}

TEST_F(GivenEnginesOfThreeRegions, ShortPromptsStayNear)
{
  std::mt19937_64 random(3);
  for (std::size_t i = 0; i < 3; ++i) {
    mCandidates[i].mRunning = mSettings.mMaxZoneLead + 1;
  }
  for (int i = 0; i < 200; ++i) {
    const auto chosen =
      *ChooseByLoad(mCandidates, std::nullopt, mSettings, random);
    EXPECT_GE(chosen, 3U);
    EXPECT_LT(chosen, 6U);
  }
}

class GivenEnginesOfOneRegion : public ::testing::Test
{};

// In one region the scope of parts has no effect, whatever the load.
TEST_F(GivenEnginesOfOneRegion, TheScopeOfPartsChangesNoChoice)
{
  std::mt19937_64 random(5);
  RelayChoiceSettings fleet;
  fleet.mPartScope = PartScope::kFleet;
  for (int round = 0; round < 2000; ++round) {
    std::vector<RelayCandidate> candidates(1 + random() % 12);
    for (auto& candidate : candidates) {
      candidate.mNameHash = random();
      candidate.mDistance =
        random() % 2 == 0 ? Distance::kSameZone : Distance::kSameRegion;
      candidate.mIsSuspect = random() % 4 == 0;
      candidate.mIsLimited = random() % 8 == 0;
      candidate.mSlots = 4;
      candidate.mRunning = static_cast<std::int64_t>(random() % 6);
      candidate.mQueuedTokens = static_cast<std::int64_t>(random() % 20000);
      candidate.mHoldsPart = random() % 3 == 0;
    }
    const auto key = random();
    ASSERT_EQ(ChooseByPart(candidates, key, {}),
              ChooseByPart(candidates, key, fleet));
  }
}

class GivenStoresInSomeZones : public ::testing::Test
{
protected:
  std::string StoreOf(const std::string& aPart, const std::string& aZone) const
  {
    return KvStoreOfPart(mStores, aPart, aZone, mTopology)->mZone;
  }

  Topology mTopology{
    { { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" } }
  };
  std::vector<KvStoreRule> mStores{ { "one", "1:1", "a1", 100 },
                                    { "two", "2:1", "b1", 100 } };
};

// A move between regions takes ten times as long as one within a zone.
TEST_F(GivenStoresInSomeZones, AZoneWithoutOneUsesThatOfItsRegion)
{
  for (int i = 0; i < 50; ++i) {
    const auto part = "s/" + std::to_string(i);
    EXPECT_EQ(StoreOf(part, "a1"), "a1");
    EXPECT_EQ(StoreOf(part, "a2"), "a1");
    EXPECT_EQ(StoreOf(part, "b2"), "b1");
  }
}

class GivenCompanionsOfRegions : public ::testing::Test
{
protected:
  FollowedCompanions mFollowed{ FollowSettings{ 64, 2 } };
};

TEST_F(GivenCompanionsOfRegions, ThePinnedAndTheLastUsedAreFollowed)
{
  mFollowed.SetListed({ "n1", "n2", "f1", "f2", "f3" }, { "n1", "n2" });
  EXPECT_FALSE(mFollowed.FollowsAll());
  EXPECT_EQ(mFollowed.Followed(), (std::set<std::string>{ "n1", "n2" }));
  EXPECT_FALSE(mFollowed.Use("f1"));
  EXPECT_FALSE(mFollowed.Use("f2"));
  EXPECT_EQ(mFollowed.Use("f3"), "f1");
  EXPECT_EQ(mFollowed.Followed(),
            (std::set<std::string>{ "n1", "n2", "f2", "f3" }));
}

} // namespace shuntjunction::state
