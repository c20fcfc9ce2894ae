#include <gtest/gtest.h>

#include "shuntjunction/state/topology.h"

// Tests the distance of two availability zones.

namespace shuntjunction::state {

TEST(GivenNoRegions, ZonesAreTheSameOrOfOneRegion)
{
  const Topology topology;
  EXPECT_FALSE(topology.HasSeveralRegions());
  EXPECT_EQ(topology.Between("a", "a"), Distance::kSameZone);
  EXPECT_EQ(topology.Between("a", "b"), Distance::kSameRegion);
}

TEST(GivenOneRegion, AZoneThatTheMapLacksIsOfItToo)
{
  const Topology topology({ { "a", "r" }, { "b", "r" } });
  EXPECT_FALSE(topology.HasSeveralRegions());
  EXPECT_EQ(topology.Between("a", "x"), Distance::kSameRegion);
}

class GivenTwoRegions : public ::testing::Test
{
protected:
  Topology mTopology{ { { "a", "r" }, { "b", "r" }, { "c", "s" } } };
};

TEST_F(GivenTwoRegions, DistancesAreOrderedAndTheSameBothWays)
{
  EXPECT_EQ(mTopology.Between("a", "a"), Distance::kSameZone);
  EXPECT_EQ(mTopology.Between("a", "b"), Distance::kSameRegion);
  EXPECT_EQ(mTopology.Between("a", "c"), Distance::kOtherRegion);
  EXPECT_EQ(mTopology.Between("c", "a"), Distance::kOtherRegion);
  EXPECT_LT(Distance::kSameZone, Distance::kSameRegion);
  EXPECT_LT(Distance::kSameRegion, Distance::kUnknown);
  EXPECT_LT(Distance::kUnknown, Distance::kOtherRegion);
}

TEST_F(GivenTwoRegions, AZoneThatTheMapLacksIsNeitherNearNorFar)
{
  EXPECT_EQ(mTopology.Between("a", "x"), Distance::kUnknown);
  EXPECT_EQ(mTopology.Between("x", "x"), Distance::kSameZone);
  EXPECT_EQ(mTopology.RegionOf("x"), "");
}

} // namespace shuntjunction::state
