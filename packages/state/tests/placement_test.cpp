// Endpoint selection: rendezvous order, demand, groups, and the table of
// endpoints.

#include <set>

#include <gtest/gtest.h>

#include "shuntjunction/state/endpoint_chooser.h"

namespace shuntjunction::state {
namespace {

std::vector<RendezvousMember>
Members(std::size_t aCount)
{
  std::vector<RendezvousMember> members;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    members.push_back(
      { { i }, PlacementHash("endpoint-" + std::to_string(i)), 1.0 });
  }
  return members;
}

TEST(GivenRendezvousMembers, EveryProcessGetsTheSameOrder)
{
  auto members = Members(20);
  const auto order = RendezvousOrder(members, 42, 5);
  std::reverse(members.begin(), members.end());
  const auto again = RendezvousOrder(members, 42, 5);
  for (std::size_t i = 0; i < order.size(); ++i) {
    EXPECT_EQ(order[i].mHandle, again[i].mHandle);
  }
}

TEST(GivenRendezvousMembers, RemovingOneMovesOnlyItsOwnKeys)
{
  const auto members = Members(20);
  auto fewer = members;
  fewer.erase(fewer.begin() + 7);
  for (std::uint64_t key = 0; key < 500; ++key) {
    const auto before = RendezvousOrder(members, key, 1).front().mHandle;
    const auto after = RendezvousOrder(fewer, key, 1).front().mHandle;
    if (before.mIndex != 7) {
      EXPECT_EQ(before, after);
    }
  }
}

TEST(GivenRendezvousMembers, WeightsShareTheKeys)
{
  auto members = Members(2);
  members[0].mWeight = 3.0;
  int first = 0;
  constexpr int kKeys = 4000;
  for (std::uint64_t key = 0; key < kKeys; ++key) {
    first += RendezvousOrder(members, key, 1).front().mHandle.mIndex == 0;
  }
  EXPECT_NEAR(static_cast<double>(first) / kKeys, 0.75, 0.03);
}

class GivenDemand : public ::testing::Test
{
protected:
  ManualClock mClock;
  DemandTracker mTracker{ { std::chrono::duration<double>(2.0), 100 } };
};

TEST_F(GivenDemand, ASteadyRateIsMeasuredAndDecays)
{
  for (int i = 0; i < 400; ++i) {
    mTracker.Add(1, 0.03, mClock.Now()); // 0.3 s per second
    mClock.Advance(Millis(100));
  }
  EXPECT_NEAR(mTracker.Rate(1, mClock.Now()), 0.3, 0.03);
  mClock.Advance(std::chrono::seconds(20));
  EXPECT_LT(mTracker.Rate(1, mClock.Now()), 0.001);
}

TEST_F(GivenDemand, MemoryIsBoundedAndTheColdestGoFirst)
{
  mTracker.Add(7, 100.0, mClock.Now());
  for (std::uint64_t key = 1000; key < 3000; ++key) {
    mTracker.Add(key, 0.1, mClock.Now());
  }
  EXPECT_LE(mTracker.Size(), 100U);
  EXPECT_GT(mTracker.Rate(7, mClock.Now()), 1.0);
}

class GivenEndpoints : public ::testing::Test
{
protected:
  void SetUp() override { Fill(12); }

  void Fill(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      const std::string name = "e" + std::to_string(i);
      EndpointConfig config;
      config.mName = name;
      config.mModel = "m";
      mConfig.mEndpoints.emplace(name, config);
      mInstances.push_back(
        { name, "127.0.0.1:" + std::to_string(9000 + i), "z", "companion" });
    }
    mTable.Update(mConfig, mInstances);
  }

  std::vector<EndpointHandle> Usable()
  {
    return mTable.Usable("m", mClock.Now());
  }

  ManualClock mClock;
  ConfigSnapshot mConfig;
  std::vector<InstanceInfo> mInstances;
  EndpointTable mTable{ EndpointTableSettings{} };
};

TEST_F(GivenEndpoints, AllThatAreListedAndConfiguredMayGetRequests)
{
  EXPECT_EQ(Usable().size(), 12U);
  EXPECT_TRUE(mTable.Usable("another", mClock.Now()).empty());
}

TEST_F(GivenEndpoints, OneThatReportsItsLeavingGetsNoneWhateverTheListSays)
{
  const auto handle = mTable.Find("e3");
  mTable.NoteLeaving(handle, mClock.Now());
  EXPECT_EQ(Usable().size(), 11U);
  mTable.Update(mConfig, mInstances); // It is still listed as live.
  EXPECT_EQ(Usable().size(), 11U);
  {
    SCOPED_TRACE("its report expires in the end");
    mClock.Advance(kReportedLeavingTtl);
    EXPECT_EQ(Usable().size(), 12U);
  }
}

TEST_F(GivenEndpoints, OneThatIsListedAsLeavingGetsNone)
{
  mInstances[5].mIsLeaving = true;
  mTable.Update(mConfig, mInstances);
  EXPECT_EQ(Usable().size(), 11U);
}

TEST_F(GivenEndpoints, HandlesStayWhenOthersGo)
{
  const auto handle = mTable.Find("e9");
  mInstances.erase(mInstances.begin());
  mTable.Update(mConfig, mInstances);
  EXPECT_EQ(mTable.Find("e9"), handle);
  EXPECT_EQ(mTable.At(handle).mInstance.mName, "e9");
  EXPECT_EQ(Usable().size(), 11U);
}

class SomeOfThemFailing : public GivenEndpoints
{
protected:
  void Fail(std::size_t aCount)
  {
    for (std::uint32_t i = 0; i < aCount; ++i) {
      for (int failure = 0; failure < 2; ++failure) {
        mTable.At({ i }).mHealth.Failed(mClock.Now());
      }
    }
  }
};

TEST_F(SomeOfThemFailing, ASingleFailureEjectsNone)
{
  mTable.At({ 0 }).mHealth.Failed(mClock.Now());
  EXPECT_EQ(mTable.At({ 0 }).mHealth.State(), HealthState::kSuspect);
  EXPECT_EQ(Usable().size(), 12U);
}

TEST_F(SomeOfThemFailing, ConsecutiveFailuresEjectAndATrialReadmits)
{
  Fail(2);
  EXPECT_EQ(Usable().size(), 10U);
  mClock.Advance(Millis(501));
  EXPECT_EQ(Usable().size(), 12U);
  EXPECT_EQ(mTable.At({ 0 }).mHealth.State(), HealthState::kTrial);
  {
    SCOPED_TRACE("a failed trial ejects for longer");
    mTable.At({ 0 }).mHealth.Failed(mClock.Now());
    mClock.Advance(Millis(501));
    EXPECT_EQ(Usable().size(), 11U);
  }
  {
    SCOPED_TRACE("a successful trial makes it healthy");
    mTable.At({ 1 }).mHealth.Succeeded();
    EXPECT_EQ(mTable.At({ 1 }).mHealth.State(), HealthState::kHealthy);
  }
}

TEST_F(SomeOfThemFailing, WhenTooManyAreEjectedAllAreUsedAgain)
{
  Fail(6);
  EXPECT_EQ(Usable().size(), 6U);
  Fail(7);
  EXPECT_EQ(Usable().size(), 12U);
}

class WithChooserPolicies : public GivenEndpoints
{
protected:
  std::unique_ptr<EndpointChooser> Make(ChoicePolicy aPolicy)
  {
    ChooserSettings settings;
    settings.mPolicy = aPolicy;
    return MakeChooser(settings, mTable, mRouters, mRandom);
  }

  ChoiceQuery Query()
  {
    ChoiceQuery query;
    query.mTeam = "t";
    query.mServedName = "m";
    query.mLevels = mLevels;
    query.mBlocks = 40;
    return query;
  }

  std::set<std::uint32_t> Chosen(EndpointChooser& aChooser,
                                 int aTimes,
                                 std::size_t aLimit = 3)
  {
    std::set<std::uint32_t> chosen;
    for (int i = 0; i < aTimes; ++i) {
      for (const auto handle :
           aChooser.Candidates(Query(), Usable(), aLimit, mClock.Now())) {
        chosen.insert(handle.mIndex);
      }
    }
    return chosen;
  }

  std::size_t mRouters = 1;
  RandomSource mRandom{ 5 };
  std::vector<PrefixLevel> mLevels{ { 77, 20 }, { 88, 36 } };
};

TEST_F(WithChooserPolicies, EveryPolicyChoosesOnlyUsableEndpoints)
{
  mTable.NoteLeaving({ 4 }, mClock.Now());
  for (std::size_t i = 0; i < 5; ++i) {
    SCOPED_TRACE(kChoicePolicyNames.mNames[i]);
    auto chooser = Make(static_cast<ChoicePolicy>(i));
    const auto chosen = Chosen(*chooser, 50);
    EXPECT_FALSE(chosen.empty());
    EXPECT_FALSE(chosen.contains(4));
    EXPECT_TRUE(chooser->Candidates(Query(), {}, 3, mClock.Now()).empty());
  }
}

TEST_F(WithChooserPolicies, AColdPrefixStaysOnTheSameThreeEndpoints)
{
  auto chooser = Make(ChoicePolicy::kNestedGroups);
  EXPECT_EQ(Chosen(*chooser, 50).size(), 3U);
}

TEST_F(WithChooserPolicies, ByDefaultAColdPrefixAlwaysProbesTheSameEndpoints)
{
  auto chooser = Make(ChoicePolicy::kNestedGroups);
  const std::size_t probes = ChooserSettings().mProbes;
  EXPECT_EQ(Chosen(*chooser, 50, probes).size(), probes);
}

TEST_F(WithChooserPolicies, TheGroupOfAHotPrefixGrowsWithItsDemand)
{
  auto chooser = Make(ChoicePolicy::kNestedGroups);
  for (int i = 0; i < 100; ++i) {
    chooser->NoteSent(Query(), 0.2, mClock.Now()); // 2 s per second
    mClock.Advance(Millis(100));
  }
  const auto width = Chosen(*chooser, 100).size();
  EXPECT_GE(width, 4U);
  EXPECT_LE(width, 5U);
  {
    SCOPED_TRACE("it is larger if more routers share the traffic");
    mRouters = 2;
    EXPECT_GT(Chosen(*chooser, 100).size(), width);
  }
}

TEST_F(WithChooserPolicies, LeastLoadCountsRequestsSentSinceTheLastReport)
{
  auto chooser = Make(ChoicePolicy::kLeastLoad);
  for (std::uint32_t i = 0; i < 12; ++i) {
    mTable.NoteLoad({ i }, { i == 6 ? 0 : 5000, 100, mClock.Now() });
  }
  const auto first =
    chooser->Candidates(Query(), Usable(), 1, mClock.Now()).front();
  EXPECT_EQ(first.mIndex, 6U);
  mTable.At({ 6 }).mSentMicros = 9000;
  const auto next =
    chooser->Candidates(Query(), Usable(), 1, mClock.Now()).front();
  EXPECT_NE(next.mIndex, 6U);
}

} // namespace
} // namespace shuntjunction::state
