// Tests of the watchers: a few per zone, the same for all processes, and
// replaced when they leave.

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

  std::set<std::string> WatcherNames(const std::string& aZone) const
  {
    std::set<std::string> names;
    for (const auto& watcher : SelectWatchers(mInstances, aZone, 3)) {
      names.insert(watcher.mName);
    }
    return names;
  }

  std::size_t CountWatching(const std::vector<InstanceInfo>& aInstances) const
  {
    return static_cast<std::size_t>(std::count_if(
      aInstances.begin(), aInstances.end(), [&](const auto& aInstance) {
        return IsWatcher(
          aInstances, aInstance.mName, aInstance.mZone, mSettings);
      }));
  }

  std::vector<InstanceInfo> mInstances;
  WatcherSettings mSettings;
};

TEST_F(GivenAFleetOfThreeZones, ThreeCompanionsPerZoneWatch)
{
  EXPECT_EQ(CountWatching(mInstances), 9U);
  for (const auto& watcher : SelectWatchers(mInstances, "zone-1", 3)) {
    EXPECT_EQ(watcher.mZone, "zone-1");
    EXPECT_EQ(watcher.mRole, "companion");
  }
}

TEST_F(GivenAFleetOfThreeZones, AListInAnotherOrderSelectsTheSame)
{
  const auto before = WatcherNames("zone-2");
  std::reverse(mInstances.begin(), mInstances.end());
  EXPECT_EQ(WatcherNames("zone-2"), before);
}

TEST_F(GivenAFleetOfThreeZones, OneThatLeavesIsReplacedByOne)
{
  const auto before = WatcherNames("zone-0");
  const auto leaving = std::find_if(
    mInstances.begin(), mInstances.end(), [&](const auto& aInstance) {
      return before.contains(aInstance.mName);
    });
  leaving->mIsLeaving = true;
  const auto after = WatcherNames("zone-0");
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
  std::erase_if(mInstances, [](const auto& aInstance) {
    return aInstance.mZone == "zone-1" && aInstance.mRole == "companion";
  });
  EXPECT_EQ(CountWatching(mInstances), 6U + 20U);
}

TEST_F(GivenAFleetOfThreeZones, EachHasAFewPeersOfItsOwnAndNeverItself)
{
  std::set<std::string> queried;
  for (const auto& instance : mInstances) {
    const auto peers = SelectPeers(mInstances, instance.mName, 3);
    ASSERT_EQ(peers.size(), 3U);
    for (const auto& peer : peers) {
      EXPECT_NE(peer.mName, instance.mName);
      EXPECT_EQ(peer.mRole, "companion");
      queried.insert(peer.mName);
    }
  }
  EXPECT_GT(queried.size(), 50U);
}

TEST_F(GivenAFleetOfThreeZones, InASmallFleetAllWatch)
{
  mInstances.resize(mSettings.mAllBelow - 1);
  EXPECT_EQ(CountWatching(mInstances), mInstances.size());
}

} // namespace
} // namespace shuntjunction::state
