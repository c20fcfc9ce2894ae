// Decisions of a relay: which endpoints exist, when engines load new weights,
// where a request is sent, and how many repeats are allowed.

#include <deque>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "shuntjunction/state/endpoint_directory.h"
#include "shuntjunction/state/freshness.h"
#include "shuntjunction/state/load_schedule.h"
#include "shuntjunction/state/part_index.h"
#include "shuntjunction/state/part_record_table.h"
#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/relay_choice.h"
#include "shuntjunction/state/relay_config.h"

namespace shuntjunction::state {
namespace {

using namespace std::chrono_literals;

EndpointInfo
Endpoint(std::string aId,
         std::string aAddress,
         std::uint64_t aRevision = 1,
         std::uint64_t aWeights = 1)
{
  EndpointInfo info;
  info.mId = std::move(aId);
  info.mService = "s";
  info.mAddress = std::move(aAddress);
  info.mModels = { { "m", aWeights } };
  info.mRevision = aRevision;
  return info;
}

std::vector<std::string>
IdsOf(const EndpointDirectory& aDirectory)
{
  std::vector<std::string> ids;
  for (const auto& endpoint : aDirectory.Endpoints()) {
    ids.push_back(endpoint.mId);
  }
  return ids;
}

using Ids = std::vector<std::string>;

class GivenADirectory : public ::testing::Test
{
protected:
  GivenADirectory()
  {
    mDirectory.MergeList({ Endpoint("a", "1:1"), Endpoint("b", "2:1") },
                         mClock.Now());
  }

  ManualClock mClock;
  EndpointDirectory mDirectory;
};

TEST_F(GivenADirectory, AnEntryRemovedWhileTheListIsAvailableIsGoneAtOnce)
{
  mDirectory.Remove("a", mClock.Now());
  EXPECT_EQ(IdsOf(mDirectory), Ids{ "b" });
}

class WhoseStoreFailsACall : public GivenADirectory
{
protected:
  /// A call that fails and is answered when it is repeated.
  void Fail(Millis aTime)
  {
    mDirectory.NoteFailure(mClock.Now(), mClock.Now());
    mClock.Advance(aTime);
    mDirectory.NoteAnswer(mClock.Now());
  }

  /// Whether an entry that is removed now is kept.
  bool IsKept()
  {
    mDirectory.Remove("a", mClock.Now());
    return IdsOf(mDirectory).size() == 2;
  }
};

// Guards against requests to endpoints that left, after a watch was cut.
TEST_F(WhoseStoreFailsACall, ARemovedEntryIsDroppedAtOnce)
{
  Fail(100ms);
  EXPECT_FALSE(IsKept());
}

TEST_F(WhoseStoreFailsACall, SoItIsWhenSeveralFailOneAfterTheOther)
{
  for (int i = 0; i < 10; ++i) {
    Fail(kShortestEntryLifetime - 1ms);
  }
  EXPECT_FALSE(IsKept());
}

TEST_F(WhoseStoreFailsACall, AnEntryIsKeptOnceItMayHaveExpiredMeanwhile)
{
  Fail(kShortestEntryLifetime);
  EXPECT_TRUE(IsKept());
}

TEST_F(WhoseStoreFailsACall, ACallThatTimedOutCountsFromWhenItWasMade)
{
  mClock.Advance(kShortestEntryLifetime);
  EXPECT_TRUE(mDirectory.NoteFailure(mClock.Now() - kShortestEntryLifetime,
                                     mClock.Now()));
  mDirectory.NoteAnswer(mClock.Now());
  EXPECT_TRUE(IsKept());
}

TEST_F(WhoseStoreFailsACall, ALongWaitDoesNotCountFromBeforeTheLastAnswer)
{
  mClock.Advance(20s);
  mDirectory.NoteAnswer(mClock.Now());
  mClock.Advance(100ms);
  EXPECT_FALSE(mDirectory.NoteFailure(mClock.Now() - 20s, mClock.Now()));
  mDirectory.NoteAnswer(mClock.Now());
  EXPECT_FALSE(IsKept());
}

TEST_F(WhoseStoreFailsACall, OneDuringTheGraceOfAnEntryDoesNotExtendIt)
{
  Fail(kShortestEntryLifetime);
  ASSERT_TRUE(IsKept());
  EXPECT_EQ(mDirectory.NextRemoval(mClock.Now()),
            mClock.Now() + kExpiredEntryGrace);
  mClock.Advance(900ms);
  Fail(100ms);
  mClock.Advance(kExpiredEntryGrace - 1000ms);
  EXPECT_TRUE(mDirectory.Expire(mClock.Now()));
  EXPECT_EQ(IdsOf(mDirectory), Ids{ "b" });
}

class WhoseSourceReportsAnOutage : public WhoseStoreFailsACall
{
protected:
  WhoseSourceReportsAnOutage() { mDirectory.NoteOutage(mClock.Now()); }
};

TEST_F(WhoseSourceReportsAnOutage, AnEntryIsKeptForAsLongAsTheOutageLasts)
{
  ASSERT_TRUE(IsKept());
  for (int i = 0; i < 20; ++i) {
    mClock.Advance(500ms);
    mDirectory.NoteAnswer(mClock.Now());
    mDirectory.NoteOutage(mClock.Now());
    mDirectory.Expire(mClock.Now());
  }
  EXPECT_EQ(IdsOf(mDirectory), (Ids{ "a", "b" }));
  mClock.Advance(kExpiredEntryGrace);
  EXPECT_TRUE(mDirectory.Expire(mClock.Now()));
}

TEST_F(WhoseSourceReportsAnOutage, OutagesFarApartDoNotKeepItForever)
{
  ASSERT_TRUE(IsKept());
  for (int i = 0; i < 4; ++i) {
    mClock.Advance(1900ms);
    mDirectory.NoteOutage(mClock.Now());
    mDirectory.Expire(mClock.Now());
  }
  EXPECT_EQ(IdsOf(mDirectory), Ids{ "b" });
}

TEST_F(GivenADirectory, ARestartedEndpointReplacesItsFormerEntry)
{
  mDirectory.Put(Endpoint("c", "1:1", 9), mClock.Now());
  EXPECT_EQ(IdsOf(mDirectory), (Ids{ "b", "c" }));
  // Updates of the former entry don't make it the newer one.
  mDirectory.Put(Endpoint("a", "1:1", 12), mClock.Now());
  EXPECT_EQ(IdsOf(mDirectory), (Ids{ "b", "c" }));
}

class WhoseListWasUnavailable : public GivenADirectory
{
protected:
  WhoseListWasUnavailable()
  {
    mDirectory.NoteFailure(mClock.Now(), mClock.Now());
    mClock.Advance(kShortestEntryLifetime);
    EXPECT_TRUE(mDirectory.NoteAnswer(mClock.Now()));
  }
};

TEST_F(WhoseListWasUnavailable, AnExpiredEntryStaysUntilTheGraceHasPassed)
{
  mDirectory.MergeList({ Endpoint("b", "2:1") }, mClock.Now());
  EXPECT_EQ(IdsOf(mDirectory), (Ids{ "a", "b" }));
  mClock.Advance(kExpiredEntryGrace - 1ms);
  EXPECT_FALSE(mDirectory.Expire(mClock.Now()));
  mClock.Advance(1ms);
  EXPECT_TRUE(mDirectory.Expire(mClock.Now()));
  EXPECT_EQ(IdsOf(mDirectory), Ids{ "b" });
}

TEST_F(WhoseListWasUnavailable, AnEntryThatComesBackStays)
{
  mDirectory.Remove("a", mClock.Now());
  mDirectory.Put(Endpoint("a", "1:1"), mClock.Now());
  mClock.Advance(10s);
  mDirectory.Expire(mClock.Now());
  EXPECT_EQ(IdsOf(mDirectory), (Ids{ "a", "b" }));
}

// Guards against requests that are sent to endpoints seconds after these
// reported that they leave; see WhoseWatchOfTheListIsDead. The removal of an
// entry is received soon after an outage. Then the list is available, but now
// and then a call fails, such as one over the rate limit. Each failed call
// postponed the end of every removed entry by the grace period.
TEST_F(WhoseListWasUnavailable, CallsThatFailNowAndThenDoNotKeepARemovedEntry)
{
  mDirectory.Remove("a", mClock.Now());
  for (int i = 0; i < 20; ++i) {
    mClock.Advance(400ms);
    mDirectory.NoteAnswer(mClock.Now());
    mClock.Advance(100ms);
    mDirectory.NoteFailure(mClock.Now(), mClock.Now());
    mDirectory.Expire(mClock.Now());
  }
  EXPECT_EQ(IdsOf(mDirectory), Ids{ "b" });
}

TEST_F(WhoseListWasUnavailable, AnotherOutageKeepsOneForAsLongAsItLasts)
{
  mDirectory.Remove("a", mClock.Now());
  for (int i = 0; i < 10; ++i) {
    mClock.Advance(1s);
    mDirectory.NoteFailure(mClock.Now(), mClock.Now());
    mDirectory.Expire(mClock.Now());
  }
  EXPECT_EQ(IdsOf(mDirectory), (Ids{ "a", "b" }));
  EXPECT_FALSE(mDirectory.NextRemoval(mClock.Now()));
  mDirectory.NoteAnswer(mClock.Now());
  mClock.Advance(kExpiredEntryGrace);
  mDirectory.Expire(mClock.Now());
  EXPECT_EQ(IdsOf(mDirectory), Ids{ "b" });
}

TEST_F(WhoseListWasUnavailable, OneThatReportedItsLeavingIsRemovedAtOnce)
{
  auto leaving = Endpoint("a", "1:1");
  leaving.mIsLeaving = true;
  mDirectory.Put(leaving, mClock.Now());
  mDirectory.Remove("a", mClock.Now());
  EXPECT_EQ(IdsOf(mDirectory), Ids{ "b" });
}

class GivenEngines : public ::testing::Test
{
protected:
  GivenEngines()
  {
    for (int i = 0; i < 9; ++i) {
      mEngines.push_back(Endpoint(
        "e" + std::to_string(i), std::to_string(i) + ":1", 1, i == 4 ? 1 : 2));
    }
  }

  std::vector<EndpointInfo> mEngines;
  LoadScheduleSettings mSettings;
};

TEST_F(GivenEngines, AFifthLoadsAtATimeAndEachIsScheduled)
{
  const auto order = WeightLoadSequence(mEngines, { "m", 3 });
  ASSERT_EQ(order.size(), 9U);
  std::map<Millis, int> loadsByStart;
  for (const auto& engine : mEngines) {
    ++loadsByStart[LoadStartOf(order, engine.mId, mSettings).value()];
  }
  EXPECT_EQ(loadsByStart.size(), 5U);
  for (const auto& [start, count] : loadsByStart) {
    EXPECT_LE(count, 2);
  }
}

TEST_F(GivenEngines, TheOneThatMissedAVersionGoesFirst)
{
  EXPECT_EQ(WeightLoadSequence(mEngines, { "m", 3 }).front(), "e4");
}

TEST_F(GivenEngines, LeavingOnesAreNotScheduled)
{
  mEngines[4].mIsLeaving = true;
  const auto order = WeightLoadSequence(mEngines, { "m", 3 });
  EXPECT_FALSE(LoadStartOf(order, "e4", mSettings).has_value());
}

// A process that starts amid the loads waited for the turns of all engines.
TEST_F(GivenEngines, ThoseThatHaveLoadedAreNotScheduled)
{
  for (std::size_t i = 0; i < 4; ++i) {
    mEngines[i].mModels.front().mVersion = 3;
  }
  const auto order = WeightLoadSequence(mEngines, { "m", 3 });
  EXPECT_EQ(order.size(), 5U);
  EXPECT_FALSE(LoadStartOf(order, "e0", mSettings).has_value());
}

class GivenCandidates : public ::testing::Test
{
protected:
  GivenCandidates()
  {
    for (std::uint64_t i = 0; i < 5; ++i) {
      RelayCandidate candidate;
      candidate.mNameHash = i * 7919 + 1;
      candidate.mVersion = 1;
      candidate.mSlots = 8;
      mCandidates.push_back(candidate);
    }
  }

  std::size_t Choose() const
  {
    return *ChooseByPart(mCandidates, 42, mSettings);
  }

  std::vector<RelayCandidate> mCandidates;
  RelayChoiceSettings mSettings;
};

TEST_F(GivenCandidates, APartAlwaysGoesToTheSameOne)
{
  EXPECT_EQ(Choose(), Choose());
}

TEST_F(GivenCandidates, ItMovesIfMuchMoreIsQueuedThere)
{
  const auto first = Choose();
  mCandidates[first].mQueuedTokens = mSettings.mMaxLeadTokens;
  EXPECT_EQ(Choose(), first);
  mCandidates[first].mQueuedTokens = mSettings.mMaxLeadTokens + 1;
  EXPECT_NE(Choose(), first);
}

TEST_F(GivenCandidates, TheSecondTakesItIfItAloneHasThePartCached)
{
  const auto first = Choose();
  mCandidates[first].mQueuedTokens = mSettings.mMaxLeadTokens + 1;
  const auto second = Choose();
  mCandidates[first].mQueuedTokens = 0;
  mCandidates[second].mHoldsPart = true;
  EXPECT_EQ(Choose(), second);
  mCandidates[first].mHoldsPart = true;
  EXPECT_EQ(Choose(), first);
}

TEST_F(GivenCandidates, ASuspectIsTakenOnlyIfThereIsNoOther)
{
  const auto first = Choose();
  mCandidates[first].mIsSuspect = true;
  EXPECT_NE(Choose(), first);
  for (auto& candidate : mCandidates) {
    candidate.mIsSuspect = true;
  }
  EXPECT_EQ(Choose(), first);
}

TEST_F(GivenCandidates, ThoseOnOlderWeightsKeepTheirParts)
{
  const auto first = Choose();
  for (auto& candidate : mCandidates) {
    candidate.mVersion = 2;
  }
  mCandidates[first].mVersion = 1;
  EXPECT_EQ(Choose(), first);
}

TEST_F(GivenCandidates, ASmallPromptGoesToTheLeastLoaded)
{
  RandomSource random(1);
  for (auto& candidate : mCandidates) {
    candidate.mDistance = Distance::kSameZone;
    candidate.mQueuedTokens = 3 * mSettings.mTokensPerRequest;
  }
  mCandidates[2].mQueuedTokens = 0;
  mCandidates[2].mRunning = 2;
  EXPECT_EQ(ChooseByLoad(mCandidates, std::nullopt, mSettings, random), 2U);
  mCandidates[2].mRunning = 4;
  EXPECT_NE(ChooseByLoad(mCandidates, std::nullopt, mSettings, random), 2U);
}

// One of ten requests crashed the endpoint that they shared. Placed by prompt,
// all ten would share an endpoint again; placed apart, the others share one
// with the request that crashed it only by chance.
TEST(ChooseForSuspect, SpreadsRequestsThatRanTogether)
{
  constexpr std::uint64_t kEndpoints = 8;
  constexpr int kRequests = 800;
  std::vector<RelayCandidate> candidates(kEndpoints);
  for (std::uint64_t i = 0; i < kEndpoints; ++i) {
    candidates[i].mNameHash = PlacementHash("endpoint " + std::to_string(i));
  }
  std::map<std::size_t, int> chosen;
  for (int i = 0; i < kRequests; ++i) {
    const auto key = PlacementHash("request " + std::to_string(i));
    const auto index = ChooseForSuspect(candidates, key, {});
    ASSERT_TRUE(index);
    EXPECT_EQ(ChooseForSuspect(candidates, key, {}), index);
    ++chosen[*index];
  }
  for (const auto& [index, count] : chosen) {
    EXPECT_LT(count, kRequests / 4) << index;
  }
  EXPECT_EQ(chosen.size(), kEndpoints);
  EXPECT_FALSE(ChooseForSuspect({}, 1, {}));
  {
    SCOPED_TRACE("an endpoint that runs another of them is avoided");
    const auto first = *ChooseForSuspect(candidates, 1, {});
    candidates[first].mSuspectRequests = 1;
    EXPECT_NE(ChooseForSuspect(candidates, 1, {}), first);
    for (auto& candidate : candidates) {
      candidate.mSuspectRequests = 1;
    }
    EXPECT_EQ(ChooseForSuspect(candidates, 1, {}), first);
  }
}

// Small prompts of a team share 200 tokens, too few for a transfer of their
// parts. They are prefilled on every engine that gets such a prompt.
class GivenSmallPromptsOfManyTeams : public ::testing::Test
{
protected:
  static constexpr std::size_t kEngines = 30;
  static constexpr std::uint64_t kTeams = 200;
  static constexpr int kRequests = 6000;

  GivenSmallPromptsOfManyTeams()
    : mCandidates(kEngines)
  {
    for (std::size_t i = 0; i < kEngines; ++i) {
      mCandidates[i].mNameHash = PlacementHash("engine " + std::to_string(i));
      mCandidates[i].mDistance =
        i < kEngines / 2 ? Distance::kSameZone : Distance::kSameRegion;
    }
  }

  std::size_t Choose(std::uint64_t aTeam)
  {
    const auto key =
      mIsByLoadAlone
        ? std::nullopt
        : std::optional(PlacementHash("team " + std::to_string(aTeam)));
    return ChooseByLoad(mCandidates, key, mSettings, mRandom).value();
  }

  /// Places requests, of which some are always running. Counts those for which
  /// the engine had no request of the team before.
  int CountPrefills()
  {
    std::set<std::pair<std::size_t, std::uint64_t>> prefilled;
    std::deque<std::size_t> inFlight;
    for (int i = 0; i < kRequests; ++i) {
      const auto team = mRandom() % kTeams;
      const auto engine = Choose(team);
      prefilled.emplace(engine, team);
      ++mCandidates[engine].mRunning;
      mMaxRunning = std::max(mMaxRunning, mCandidates[engine].mRunning);
      inFlight.push_back(engine);
      if (inFlight.size() > kEngines / 2) {
        --mCandidates[inFlight.front()].mRunning;
        inFlight.pop_front();
      }
    }
    return static_cast<int>(prefilled.size());
  }

  std::vector<RelayCandidate> mCandidates;
  RelayChoiceSettings mSettings;
  RandomSource mRandom{ 7 };
  std::int64_t mMaxRunning = 0;
  bool mIsByLoadAlone = false;
};

// For 200 teams there are 2,012 prefills by load alone, 221 by their parts.
TEST_F(GivenSmallPromptsOfManyTeams, MostFindTheirPartsCached)
{
  EXPECT_LT(CountPrefills(), 2 * static_cast<int>(kTeams));
  {
    SCOPED_TRACE("by load alone they are prefilled on many engines");
    mIsByLoadAlone = true;
    EXPECT_GT(CountPrefills(), 5 * static_cast<int>(kTeams));
  }
}

TEST_F(GivenSmallPromptsOfManyTeams, ATeamThatSendsMuchIsSpread)
{
  std::set<std::size_t> engines;
  for (int i = 0; i < 40; ++i) {
    const auto engine = Choose(1);
    ++mCandidates[engine].mRunning;
    engines.insert(engine);
  }
  EXPECT_GT(engines.size(), 5U);
}

TEST_F(GivenSmallPromptsOfManyTeams, NoEngineIsOverloaded)
{
  CountPrefills();
  EXPECT_LE(mMaxRunning, mSettings.mMaxSmallPartLead + 3);
}

class GivenThreeKvStores : public ::testing::Test
{
protected:
  static constexpr int kParts = 300;

  /// Number of parts that each store keeps.
  std::map<std::string, int> Shares() const
  {
    std::map<std::string, int> shares;
    for (int i = 0; i < kParts; ++i) {
      ++shares[KvStoreOfPart(mStores, "s/" + std::to_string(i), "z")->mAddress];
    }
    return shares;
  }

  std::vector<KvStoreRule> mStores{ { "x", "a:1", "z", 1 },
                                    { "y", "b:1", "z", 1 },
                                    { "z", "c:1", "z", 1 } };
};

TEST_F(GivenThreeKvStores, EachKeepsItsShare)
{
  for (const auto& [store, parts] : Shares()) {
    EXPECT_GT(parts, kParts / 5) << store;
  }
  EXPECT_EQ(Shares().size(), 3U);
}

TEST_F(GivenThreeKvStores, RemovingOneMovesOnlyWhatItKept)
{
  auto left = mStores;
  left.pop_back();
  for (int i = 0; i < kParts; ++i) {
    const auto name = "s/" + std::to_string(i);
    const auto before = KvStoreOfPart(mStores, name, "z")->mAddress;
    if (before != mStores.back().mAddress) {
      EXPECT_EQ(KvStoreOfPart(left, name, "z")->mAddress, before);
    }
  }
}

TEST_F(GivenThreeKvStores, AnEngineSavesToTheOneOfItsZone)
{
  mStores[1].mZone = "own";
  for (int i = 0; i < kParts; ++i) {
    const auto name = "s/" + std::to_string(i);
    EXPECT_EQ(KvStoreOfPart(mStores, name, "own")->mAddress, "b:1");
    EXPECT_NE(KvStoreOfPart(mStores, name, "z")->mAddress, "b:1");
  }
}

TEST_F(GivenThreeKvStores, InAZoneWithoutAStoreAllAreUsed)
{
  std::set<std::string> stores;
  for (int i = 0; i < kParts; ++i) {
    const auto name = "s/" + std::to_string(i);
    stores.insert(KvStoreOfPart(mStores, name, "none")->mAddress);
  }
  EXPECT_EQ(stores.size(), 3U);
}

TEST_F(GivenThreeKvStores, WithoutAnyThereIsNone)
{
  EXPECT_EQ(KvStoreOfPart({}, "s/1", "z"), nullptr);
}

TEST(GivenAConfirmation, ItsAgeIsCountedFromTheQuery)
{
  ManualClock clock;
  Freshness freshness;
  EXPECT_EQ(freshness.Age(clock.Now()), Millis::max());
  freshness.Confirm(clock.Now());
  clock.Advance(3s);
  EXPECT_EQ(freshness.Age(clock.Now()), 3s);
  // A late answer to an older query changes nothing.
  freshness.Confirm(clock.Now() - 5s);
  EXPECT_EQ(freshness.Age(clock.Now()), 3s);
}

TEST(GivenAnIndexOfParts, HoldersAreAddedAndRemoved)
{
  PartIndex index;
  index.Apply("e1", true, { "s/a", "s/b" }, {});
  index.Apply("e2", false, { "s/a" }, {});
  EXPECT_EQ(index.Holders("s/a"), (Ids{ "e1", "e2" }));
  index.Apply("e1", false, {}, { "s/a" });
  EXPECT_EQ(index.Holders("s/a"), Ids{ "e2" });
  index.Apply("e1", true, {}, {});
  EXPECT_FALSE(index.Holds("e1", "s/b"));
  index.Forget("e2");
  EXPECT_TRUE(index.Holders("s/a").empty());
}

TEST(GivenPartRecords, TheLeastRecentlyUsedIsEvicted)
{
  ManualClock clock;
  PartRecordTable records(2);
  records.At("s/a").mServedAt = clock.Now();
  records.At("s/b").mServedAt = clock.Now();
  records.At("s/a");
  records.At("s/c");
  EXPECT_EQ(records.Size(), 2U);
  EXPECT_EQ(records.At("s/a").mServedAt, clock.Now());
  EXPECT_EQ(records.At("s/b").mServedAt, TimePoint());
}

class GivenRules : public ::testing::Test
{
protected:
  GivenRules()
  {
    for (const auto* prefix : { "/a/", "/a/b/" }) {
      RouteRule route;
      route.mName = prefix;
      route.mHost = "Host.example";
      route.mPathPrefix = prefix;
      mRules.mRoutes.push_back(route);
    }
    mRules.mTeams.push_back({ "team", { "k1", "k2" }, {}, false });
  }

  RelayRules mRules;
};

TEST_F(GivenRules, TheLongestPathPrefixOfTheHostIsChosen)
{
  const RelayConfig config(mRules);
  EXPECT_EQ(config.RouteOf("host.example:80", "/a/b/c")->mName, "/a/b/");
  EXPECT_EQ(config.RouteOf("HOST.example", "/a/x")->mName, "/a/");
  EXPECT_EQ(config.RouteOf("host.example", "/b/"), nullptr);
  EXPECT_EQ(config.RouteOf("other.example", "/a/"), nullptr);
}

TEST_F(GivenRules, EachOfATeamsKeysIdentifiesIt)
{
  const RelayConfig config(mRules);
  EXPECT_EQ(config.TeamOf("k2")->mName, "team");
  EXPECT_EQ(config.TeamOf("k3"), nullptr);
}

} // namespace
} // namespace shuntjunction::state
