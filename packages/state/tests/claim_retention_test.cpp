// Tests of old claims: where they are stored, who deletes them, and which.

#include <gtest/gtest.h>

#include "shuntjunction/state/claim_machine.h"
#include "shuntjunction/state/claim_retention.h"

namespace shuntjunction::state {
namespace {

TEST(GivenClaimKeys, EachIsStoredUnderItsShard)
{
  const std::string key = ClaimKey("north", "booking-7");
  std::size_t below = 0;
  for (std::size_t shard = 0; shard < kClaimShards; ++shard) {
    below += key.starts_with(ClaimShardPrefix(shard)) ? 1 : 0;
  }
  EXPECT_EQ(below, 1U);
  EXPECT_NE(key, ClaimKey("south", "booking-7"));
}

TEST(GivenCompanions, EachShardIsSweptByOneOfThem)
{
  std::vector<InstanceInfo> instances;
  instances.reserve(8);
  for (int i = 0; i < 7; ++i) {
    instances.push_back({ "c" + std::to_string(i), "", "z", "companion" });
  }
  instances.push_back({ "r", "", "z", "router" });
  instances[3].mIsLeaving = true;
  for (std::size_t shard = 0; shard < kClaimShards; shard += 16) {
    std::vector<std::string> sweepers;
    for (const auto& instance : instances) {
      if (IsSweeperOf(instances, instance.mName, shard)) {
        sweepers.push_back(instance.mName);
      }
    }
    ASSERT_EQ(sweepers.size(), 1U) << shard;
    EXPECT_NE(sweepers.front(), "c3");
    EXPECT_NE(sweepers.front(), "r");
  }
}

class GivenAShard : public ::testing::Test
{
protected:
  static constexpr std::int64_t kNow = 1'000'000'000;
  static constexpr Millis kRetention{ 1000 };

  void Add(std::int64_t aAge)
  {
    ClaimRecord record;
    record.mNonce = "n";
    record.mBodyDigest = "d";
    record.mCreatedAtMillis = kNow - aAge;
    mObjects.push_back(
      { "claims/000/t/" + std::to_string(aAge), 1, WriteClaimRecord(record) });
  }

  std::size_t Expired(std::int64_t aWallMillis = kNow) const
  {
    return ExpiredClaims(mObjects, aWallMillis, kRetention).size();
  }

  std::vector<RawObject> mObjects;
};

TEST_F(GivenAShard, OnlyOldClaimsExpire)
{
  Add(0);
  Add(1000);
  Add(1001);
  ASSERT_EQ(Expired(), 1U);
  EXPECT_EQ(ExpiredClaims(mObjects, kNow, kRetention).front().mKey,
            "claims/000/t/1001");
}

TEST_F(GivenAShard, AClockAheadDeletesNothing)
{
  Add(0);
  Add(900);
  EXPECT_EQ(Expired(kNow + 3'600'000), 0U);
  {
    SCOPED_TRACE("nor does a claimant's clock that runs ahead");
    Add(-3'600'000);
    EXPECT_EQ(Expired(), 0U);
  }
}

TEST_F(GivenAShard, UnreadableClaimsAreKept)
{
  Add(0);
  mObjects.push_back({ "claims/000/t/x", 1, "half a rec" });
  EXPECT_EQ(Expired(), 0U);
}

} // namespace
} // namespace shuntjunction::state
