// Warming before an event starts: its shared prefix is computed on the
// endpoints that routers will probe first, on as many as are configured.

#include <gtest/gtest.h>

#include "shuntjunction/state/endpoint_chooser.h"
#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/warming.h"

namespace shuntjunction::state {
namespace {

constexpr std::int64_t kSixOClock = 6LL * 3600 * 1000;

TEST(GivenAStart, TheTimeUntilItIsCountedOverMidnight)
{
  EXPECT_EQ(UntilStart("06:30", kSixOClock), Millis(30L * 60 * 1000));
  EXPECT_EQ(UntilStart("05:59", kSixOClock),
            Millis(24LL * 3600 * 1000 - 60L * 1000));
  EXPECT_EQ(UntilStart("06:00", kSixOClock), Millis(0));
}

class GivenAnEvent : public ::testing::Test
{
protected:
  void SetUp() override
  {
    mConfig.mModels["m"] = { "m", 1, {} };
    for (std::size_t i = 0; i < 10; ++i) {
      const std::string name = "e" + std::to_string(i);
      EndpointConfig endpoint;
      endpoint.mName = name;
      endpoint.mModel = i < 9 ? "m" : "another";
      mConfig.mEndpoints.emplace(name, endpoint);
      mInstances.push_back({ name, "127.0.0.1:9000", "z", "companion" });
    }
    ParametersConfig parameters;
    parameters.mTeam = "t";
    parameters.mTemplate = "slot";
    parameters.mModel = "m";
    parameters.mStartTimes = { "06:30" };
    parameters.mSharedText = { std::string(4 * kBlockBytes, 'r') };
    parameters.mWarmEndpoints = 2;
    mConfig.mParameters = { parameters };
  }

  std::vector<std::string> WarmingEndpoints(std::int64_t aBefore)
  {
    const std::int64_t start = kSixOClock + 30LL * 60 * 1000;
    std::vector<std::string> names;
    for (const auto& instance : mInstances) {
      if (!DueWarmTasks(mConfig, mInstances, instance.mName, start - aBefore)
             .empty()) {
        names.push_back(instance.mName);
      }
    }
    return names;
  }

  ConfigSnapshot mConfig;
  std::vector<InstanceInfo> mInstances;
};

TEST_F(GivenAnEvent, NoneWarmsLongBeforeOrAfter)
{
  EXPECT_TRUE(WarmingEndpoints(kWarmLead.count() + 1000).empty());
  EXPECT_TRUE(WarmingEndpoints(-1000).empty());
}

TEST_F(GivenAnEvent, JustBeforeItAsManyWarmAsAreConfigured)
{
  EXPECT_EQ(WarmingEndpoints(30000).size(), 2U);
  mConfig.mParameters[0].mWarmEndpoints = 5;
  EXPECT_EQ(WarmingEndpoints(30000).size(), 5U);
  mConfig.mParameters[0].mWarmEndpoints = 0;
  EXPECT_TRUE(WarmingEndpoints(30000).empty());
}

TEST_F(GivenAnEvent, OneThatLeavesIsReplaced)
{
  const auto before = WarmingEndpoints(30000);
  for (auto& instance : mInstances) {
    instance.mIsLeaving = instance.mName == before[0];
  }
  const auto after = WarmingEndpoints(30000);
  EXPECT_EQ(after.size(), 2U);
  EXPECT_EQ(std::count(after.begin(), after.end(), before[0]), 0);
  EXPECT_EQ(std::count(after.begin(), after.end(), before[1]), 1);
}

TEST_F(GivenAnEvent, TheyAreThoseThatRoutersProbeFirst)
{
  EndpointTable table{ EndpointTableSettings{} };
  table.Update(mConfig, mInstances);
  const std::size_t routers = 1;
  RandomSource random(1);
  const auto chooser = MakeChooser(ChooserSettings{}, table, routers, random);
  const auto now = ManualClock().Now();
  WarmTask task{ "t", "m", mConfig.mParameters[0].mSharedText };
  const auto chain = BuildPrefixChain({ "t", "m", 1 }, task.Levels());
  const ChoiceQuery query{ "t", "m", chain.mLevels, 40 };
  const auto candidates =
    chooser->Candidates(query, table.Usable("m", now), 3, now);
  for (const auto& name : WarmingEndpoints(30000)) {
    EXPECT_EQ(
      std::count(candidates.begin(), candidates.end(), table.Find(name)), 1)
      << name;
  }
}

} // namespace
} // namespace shuntjunction::state
