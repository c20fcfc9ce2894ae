// Tests that the configuration is validated and activated, and never reverts,
// whatever the platform, its watches and the peers deliver.

#include <algorithm>
#include <array>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "history.h"
#include "shuntjunction/state/config_store.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/settings.h"

namespace shuntjunction::state::history {
namespace {

constexpr std::string_view kValidSettings = R"({
  // A router of the fleet.
  "name": "r1", "role": "router", "zone": "imanta",
  "platform": "127.0.0.1:2000", "secret": "sixteen letters!",
  "router": { "listen": "127.0.0.1:8080", "chooser": { "probes": 2 } },
})";

TEST(GivenSettings, CommentsAndTrailingCommasAreRead)
{
  const auto settings = ReadSettings(kValidSettings, "r1.json");
  ASSERT_TRUE(settings.has_value()) << settings.error().Describe();
  EXPECT_EQ(settings->mRouter.mChooser.mProbes, 2U);
  EXPECT_EQ(settings->mRouter.mChooser.mZone, "imanta");
}

class WithAMistake : public ::testing::Test
{
protected:
  static std::string Mistake(std::string_view aFrom, std::string_view aTo)
  {
    std::string text(kValidSettings);
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    const auto settings = ReadSettings(text, "r1.json");
    return settings ? "" : settings.error().mText;
  }
};

TEST_F(WithAMistake, TheErrorNamesKeyValueAndWhatIsAllowed)
{
  EXPECT_EQ(Mistake("\"router\", \"zone\"", "\"rooter\", \"zone\""),
            "r1.json: 'role' is \"rooter\"; allowed is one of router, "
            "companion");
  EXPECT_EQ(Mistake("\"probes\": 2", "\"probes\": 99"),
            "r1.json: 'router.chooser.probes' is 99; allowed is a whole "
            "number from 1 to 8");
  EXPECT_EQ(Mistake("\"probes\": 2", "\"probes\": \"two\""),
            "r1.json: 'router.chooser.probes' is \"two\"; allowed is a whole "
            "number from 1 to 8");
  EXPECT_NE(Mistake("\"name\"", "\"nmae\"").find("'name' is absent"),
            std::string::npos);
  EXPECT_NE(Mistake("\"probes\"", "\"prboes\"").find("an unknown key"),
            std::string::npos);
  EXPECT_NE(Mistake("127.0.0.1:2000", "localhost").find("IP:PORT"),
            std::string::npos);
  EXPECT_NE(Mistake("sixteen letters!", "short").find("'secret'"),
            std::string::npos);
  EXPECT_NE(Mistake("{", "").find("not valid JSON"), std::string::npos);
}

TEST(GivenObjects, EachKindIsCheckedByItsOwnRules)
{
  const auto check = [](std::string_view aKey, std::string_view aText) {
    const auto value = ParseJson(aText, aKey);
    const auto checked = CheckConfigObject(aKey, *value);
    return checked ? std::string("good") : checked.error().mText;
  };
  EXPECT_EQ(check("config/models/m", R"({"weights":1})"), "good");
  EXPECT_NE(check("config/models/m", R"({"weights":0})"), "good");
  EXPECT_NE(check("config/models/m", "[]"), "good");
  EXPECT_NE(check("config/moddels/m", R"({"weights":1})"), "good");
  EXPECT_NE(check("config/models/", R"({"weights":1})"), "good");
  EXPECT_NE(check("claims/x", "{}"), "good");
  EXPECT_EQ(check("config/teams/t", R"({"keyDigests":[]})"), "good");
  EXPECT_NE(check("config/teams/t", R"({"keyDigests":["plain key"]})"), "good");
  EXPECT_NE(check("config/teams/t", R"({"limit":{"burst":1}})"), "good");
  EXPECT_NE(check("config/endpoints/e", "{}"), "good");
  EXPECT_NE(check("config/endpoints/e", R"({"model":"m","service":"s"})"),
            "good");
  EXPECT_EQ(
    check("config/parameters/t/d", R"({"model":"m","starts":["06:30"]})"),
    "good");
  EXPECT_NE(
    check("config/parameters/t/d", R"({"model":"m","starts":["6:30"]})"),
    "good");
  EXPECT_NE(check("config/parameters/t", R"({"model":"m"})"), "good");
  EXPECT_NE(check("config/templates/t", R"({"event":"e","urgency":"now"})"),
            "good");
}

class GivenAStore : public ::testing::Test
{
protected:
  static RawObject Model(std::uint64_t aRevision, std::uint32_t aWeights)
  {
    return { "config/models/m",
             aRevision,
             R"({"weights":)" + std::to_string(aWeights) + "}" };
  }

  std::uint32_t Weights()
  {
    const auto model = mStore.Current()->mModels.find("m");
    return model == mStore.Current()->mModels.end() ? 0
                                                    : model->second.mWeights;
  }

  ConfigStore mStore;
};

TEST_F(GivenAStore, AListThenChangesAreActivated)
{
  EXPECT_EQ(mStore.ApplyList(5, { Model(3, 1) }), MergeOutcome::kApplied);
  EXPECT_EQ(Weights(), 1U);
  EXPECT_EQ(mStore.Version().mRevision, 3U);
  EXPECT_EQ(mStore.ApplyChanges(7, { Model(7, 2) }), MergeOutcome::kApplied);
  EXPECT_EQ(Weights(), 2U);
  {
    SCOPED_TRACE("a deletion is applied too");
    mStore.ApplyChanges(9, { { "config/models/m", 9, "" } });
    EXPECT_EQ(Weights(), 0U);
    EXPECT_EQ(mStore.Version().mRevision, 9U);
  }
}

TEST_F(GivenAStore, OneRevisionWithTwoContentsIsARestoredPlatform)
{
  mStore.ApplyList(5, { Model(3, 1) });
  EXPECT_EQ(mStore.ApplyList(5, { Model(4, 2) }), MergeOutcome::kOlder);
  EXPECT_EQ(Weights(), 1U);
}

class InForce : public GivenAStore
{
protected:
  void SetUp() override { mStore.ApplyList(10, { Model(8, 4) }); }
};

TEST_F(InForce, OlderResponsesChangeNothing)
{
  EXPECT_EQ(mStore.ApplyList(9, { Model(7, 3) }), MergeOutcome::kOlder);
  EXPECT_EQ(mStore.ApplyChanges(9, { Model(9, 5) }), MergeOutcome::kOlder);
  EXPECT_EQ(Weights(), 4U);
}

TEST_F(InForce, WritesElsewhereInThePlatformDoNotChangeTheVersion)
{
  EXPECT_EQ(mStore.ApplyChanges(500, {}), MergeOutcome::kUnchanged);
  EXPECT_EQ(mStore.ApplyList(900, { Model(8, 4) }), MergeOutcome::kUnchanged);
  EXPECT_EQ(mStore.Version().mRevision, 8U);
  EXPECT_EQ(mStore.Cursor().mRevision, 900U);
}

TEST_F(InForce, AnInvalidObjectIsQuarantinedAndTheLastValidOneStays)
{
  mStore.ApplyChanges(11, { { "config/models/m", 11, R"({"weights":"x"})" } });
  EXPECT_EQ(Weights(), 4U);
  ASSERT_EQ(mStore.Current()->mQuarantined.size(), 1U);
  EXPECT_NE(mStore.Current()->mQuarantined[0].mReason.find("weights"),
            std::string::npos);
  {
    SCOPED_TRACE("a full list with the invalid object keeps the valid one too");
    mStore.ApplyList(12,
                     { { "config/models/m", 11, R"({"weights":"x"})" },
                       { "config/models/n", 12, R"({"weights":1})" } });
    EXPECT_EQ(Weights(), 4U);
  }
  {
    SCOPED_TRACE("a peer that starts receives the valid and the invalid form");
    ConfigStore peer;
    ASSERT_TRUE(peer.ApplyPeer(mStore.Serialize(), "peer").has_value());
    EXPECT_EQ(peer.Current()->mModels.at("m").mWeights, 4U);
    EXPECT_EQ(peer.Current()->mQuarantined.size(), 1U);
  }
  {
    SCOPED_TRACE("a valid one replaces it");
    mStore.ApplyChanges(13, { Model(13, 6) });
    EXPECT_EQ(Weights(), 6U);
    EXPECT_TRUE(mStore.Current()->mQuarantined.empty());
  }
}

// Guards against a value that spoils the snapshot for all peers.
TEST_F(InForce, AnObjectThatIsNoUtf8IsQuarantinedAtPeersToo)
{
  mStore.ApplyChanges(11, { { "config/models/n", 11, "\"\xff\"" } });
  ASSERT_EQ(mStore.Current()->mQuarantined.size(), 1U);
  ConfigStore peer;
  const auto applied = peer.ApplyPeer(mStore.Serialize(), "peer");
  ASSERT_TRUE(applied.has_value()) << applied.error().Describe();
  EXPECT_EQ(peer.Current()->mModels.at("m").mWeights, 4U);
  EXPECT_EQ(peer.Current()->mQuarantined.size(), 1U);
}

TEST_F(InForce, ARestoredPlatformIsAcceptedOnlyInANewEpoch)
{
  EXPECT_EQ(mStore.ApplyList(6, { Model(5, 1) }), MergeOutcome::kOlder);
  EXPECT_EQ(Weights(), 4U);
  const RawObject epoch{ "config/epoch/current", 7, R"({"epoch":1})" };
  EXPECT_EQ(mStore.ApplyList(7, { Model(5, 1), epoch }),
            MergeOutcome::kApplied);
  EXPECT_EQ(Weights(), 1U);
  {
    SCOPED_TRACE("and peers of the old epoch are ignored");
    ConfigStore old;
    old.ApplyList(50, { Model(49, 9) });
    EXPECT_EQ(*mStore.ApplyPeer(old.Serialize(), "old"), MergeOutcome::kOlder);
    EXPECT_EQ(*old.ApplyPeer(mStore.Serialize(), "new"),
              MergeOutcome::kApplied);
  }
}

TEST_F(InForce, AProcessThatListedAfterADeletionAdoptsItsVersionFromPeers)
{
  mStore.ApplyChanges(12, { { "config/models/m", 12, "" } });
  ConfigStore late;
  late.ApplyList(20, {});
  EXPECT_LT(late.Version(), mStore.Version());
  EXPECT_EQ(*late.ApplyPeer(mStore.Serialize(), "p"), MergeOutcome::kApplied);
  EXPECT_EQ(late.Version(), mStore.Version());
  EXPECT_EQ(late.Cursor().mRevision, 20U);
  {
    SCOPED_TRACE("but not if its objects differ");
    ConfigStore other;
    other.ApplyList(20, { Model(3, 1) });
    EXPECT_EQ(*other.ApplyPeer(mStore.Serialize(), "p"), MergeOutcome::kOlder);
    EXPECT_EQ(other.Version().mRevision, 3U);
  }
}

TEST_F(InForce, ATruncatedPeerSnapshotIsRejected)
{
  const std::string text = mStore.Serialize();
  ConfigStore other;
  EXPECT_FALSE(other.ApplyPeer(text.substr(0, text.size() / 2), "p"));
  EXPECT_FALSE(other.ApplyPeer("{\"revision\":99}", "p"));
  EXPECT_EQ(other.Version(), ConfigVersion{});
}

/// Simulates a platform with stale reads, processes with watches and restarts,
/// and peers that pass on what they have.
class ConfigSimulation
{
public:
  /// @param aEnforcesOrder  false to show what happens when any list is applied
  explicit ConfigSimulation(bool aEnforcesOrder)
    : mEnforcesOrder(aEnforcesOrder)
  {
    mRevisions.emplace_back();
  }

  void Step(std::uint8_t aChoice)
  {
    ConfigStore& store = mStores[aChoice / 8 % kProcesses];
    const std::size_t now = mRevisions.size() - 1;
    switch (aChoice % 8) {
      case 0:
      case 1:
        Change(aChoice);
        break;
      case 2: // A stale list.
        List(store, now - std::min<std::size_t>(now, aChoice / 64));
        break;
      case 3:
      case 4:
        Watch(store);
        break;
      case 5: // A peer passes on its configuration.
        (void)store.ApplyPeer(
          PeerText(mStores[aChoice / 32 % kProcesses], store.Version()),
          "peer");
        break;
      case 6: // The process restarts without any state.
        store = ConfigStore();
        ++mIncarnations[aChoice / 8 % kProcesses];
        break;
      default:
        List(store, now);
        break;
    }
    for (std::size_t i = 0; i < kProcesses; ++i) {
      mHistory.mActiveConfigs.push_back(
        { std::to_string(i) + "/" + std::to_string(mIncarnations[i]),
          mStores[i].Version().Packed() });
    }
  }

  /// Whether each process has what the platform held at its cursor.
  bool MatchesPlatformAtCursors() const
  {
    return std::all_of(
      mStores.begin(), mStores.end(), [&](const ConfigStore& aStore) {
        return HasContent(aStore, mRevisions[aStore.Cursor().mRevision]);
      });
  }

  /// Whether a current list activates the latest objects everywhere.
  bool Converges()
  {
    return std::all_of(mStores.begin(), mStores.end(), [&](auto& aStore) {
      List(aStore, mRevisions.size() - 1);
      return HasContent(aStore, mRevisions.back());
    });
  }

  const History& Recorded() const { return mHistory; }

private:
  using Objects = std::vector<RawObject>;

  static constexpr std::size_t kProcesses = 3;
  static constexpr std::string_view kPrefix = "config/models/";

  static bool HasContent(const ConfigStore& aStore, const Objects& aObjects)
  {
    const auto& models = aStore.Current()->mModels;
    return models.size() == aObjects.size() &&
           std::all_of(
             aObjects.begin(), aObjects.end(), [&](const RawObject& aObject) {
               const auto model =
                 models.find(aObject.mKey.substr(kPrefix.size()));
               return model != models.end() &&
                      model->second.mWeights == aObject.mRevision;
             });
  }

  /// The changes since a version if they reach back that far, else everything.
  static std::string PeerText(const ConfigStore& aPeer,
                              ConfigVersion aPeerVersion)
  {
    auto text = aPeer.Recent().SerializeSince(aPeerVersion.mEpoch,
                                              aPeerVersion.mRevision);
    return text.empty() ? aPeer.Serialize() : text;
  }

  /// An operator changes or deletes one of three objects.
  void Change(std::uint8_t aChoice)
  {
    const std::uint64_t revision = mRevisions.size();
    const std::string key =
      std::string(kPrefix) + "m" + std::to_string(aChoice / 32 % 3);
    Objects objects = mRevisions.back();
    std::erase_if(objects,
                  [&](const auto& aObject) { return aObject.mKey == key; });
    if (aChoice / 128 == 0) {
      objects.push_back(
        { key, revision, R"({"weights":)" + std::to_string(revision) + "}" });
    }
    mRevisions.push_back(objects);
  }

  void List(ConfigStore& aStore, std::size_t aRevision)
  {
    if (!mEnforcesOrder) {
      aStore = ConfigStore();
    }
    aStore.ApplyList(aRevision, mRevisions[aRevision]);
  }

  /// Applies what has changed since the process's cursor.
  void Watch(ConfigStore& aStore)
  {
    const std::uint64_t after = aStore.Cursor().mRevision;
    const std::uint64_t now = mRevisions.size() - 1;
    Objects changes;
    for (const auto& object : mRevisions.back()) {
      if (object.mRevision > after) {
        changes.push_back(object);
      }
    }
    for (const auto& object : mRevisions[after]) {
      const bool isGone = std::none_of(
        mRevisions.back().begin(),
        mRevisions.back().end(),
        [&](const auto& aOther) { return aOther.mKey == object.mKey; });
      if (isGone) {
        changes.push_back({ object.mKey, now, "" });
      }
    }
    aStore.ApplyChanges(now, changes);
  }

  bool mEnforcesOrder;
  std::vector<Objects> mRevisions; ///< the platform at each revision
  std::array<ConfigStore, kProcesses> mStores;
  std::array<int, kProcesses> mIncarnations{};
  History mHistory;
};

RC_GTEST_PROP(GeneratedChanges,
              BecomeActiveAndNeverRevert,
              (const std::vector<std::uint8_t>& aSchedule))
{
  ConfigSimulation simulation(true);
  for (const std::uint8_t choice : aSchedule) {
    simulation.Step(choice);
    RC_ASSERT(simulation.MatchesPlatformAtCursors());
  }
  RC_ASSERT(CheckConfigNeverReverts(simulation.Recorded()).empty());
  RC_ASSERT(simulation.Converges());
}

TEST(WithoutTheCursor, StaleListsRevertTheConfiguration)
{
  int reverted = 0;
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    ConfigSimulation simulation(false);
    for (int step = 0; step < 60; ++step) {
      simulation.Step(static_cast<std::uint8_t>(random()));
    }
    reverted += CheckConfigNeverReverts(simulation.Recorded()).empty() ? 0 : 1;
  }
  EXPECT_GT(reverted, 0);
}

} // namespace
} // namespace shuntjunction::state::history
