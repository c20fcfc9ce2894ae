// The story of the watchers: a few a zone, the same for everybody, replaced
// when they go.

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "shuntjunction/state/watchers.h"

namespace shuntjunction::state {
namespace {

class GivenAFleetOfThreeZones : public ::testing::Test
{
protected:
  void SetUp() override
  {
    for (int i = 0; i < 60; ++i) {
      const std::string number = std::to_string(i);
      const std::string zone = "zone-" + std::to_string(i % 3);
      mInstances.push_back({ "c" + number, "", zone, "companion" });
      mInstances.push_back({ "r" + number, "", zone, "router" });
    }
  }

  std::set<std::string> Names(const std::string& aZone) const
  {
    std::set<std::string> names;
    for (const auto& watcher : SelectWatchers(mInstances, aZone, 3)) {
      names.insert(watcher.mName);
    }
    return names;
  }

  std::size_t Watching(const std::vector<InstanceInfo>& aInstances) const
  {
    return static_cast<std::size_t>(std::count_if(
      aInstances.begin(), aInstances.end(), [&](const auto& aOne) {
        return IsWatcher(aInstances, aOne.mName, aOne.mZone, mSettings);
      }));
  }

  std::vector<InstanceInfo> mInstances;
  WatcherSettings mSettings;
};

TEST_F(GivenAFleetOfThreeZones, ThreeCompanionsAZoneWatch)
{
  EXPECT_EQ(Watching(mInstances), 9U);
  for (const auto& watcher : SelectWatchers(mInstances, "zone-1", 3)) {
    EXPECT_EQ(watcher.mZone, "zone-1");
    EXPECT_EQ(watcher.mRole, "companion");
  }
}

TEST_F(GivenAFleetOfThreeZones, AListInAnotherOrderNamesTheSame)
{
  const auto before = Names("zone-2");
  std::reverse(mInstances.begin(), mInstances.end());
  EXPECT_EQ(Names("zone-2"), before);
}

TEST_F(GivenAFleetOfThreeZones, OneThatLeavesIsReplacedByOne)
{
  const auto before = Names("zone-0");
  const auto leaving =
    std::find_if(mInstances.begin(), mInstances.end(), [&](const auto& aOne) {
      return before.contains(aOne.mName);
    });
  leaving->mIsLeaving = true;
  const auto after = Names("zone-0");
  EXPECT_EQ(after.size(), 3U);
  EXPECT_FALSE(after.contains(leaving->mName));
  std::vector<std::string> kept;
  std::set_intersection(before.begin(),
                        before.end(),
                        after.begin(),
                        after.end(),
                        std::back_inserter(kept));
  EXPECT_EQ(kept.size(), 2U);
}

TEST_F(GivenAFleetOfThreeZones, WhereAZoneHasNoCompanionItsRoutersWatch)
{
  std::erase_if(mInstances, [](const auto& aOne) {
    return aOne.mZone == "zone-1" && aOne.mRole == "companion";
  });
  EXPECT_EQ(Watching(mInstances), 6U + 20U);
}

TEST_F(GivenAFleetOfThreeZones, EachHasAFewPeersOfItsOwnAndNeverItself)
{
  std::set<std::string> asked;
  for (const auto& instance : mInstances) {
    const auto peers = SelectPeers(mInstances, instance.mName, 3);
    ASSERT_EQ(peers.size(), 3U);
    for (const auto& peer : peers) {
      EXPECT_NE(peer.mName, instance.mName);
      EXPECT_EQ(peer.mRole, "companion");
      asked.insert(peer.mName);
    }
  }
  EXPECT_GT(asked.size(), 50U);
}

TEST_F(GivenAFleetOfThreeZones, InASmallFleetAllWatch)
{
  mInstances.resize(mSettings.mAllBelow - 1);
  EXPECT_EQ(Watching(mInstances), mInstances.size());
}

} // namespace
} // namespace shuntjunction::state
