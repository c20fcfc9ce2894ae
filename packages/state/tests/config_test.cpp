// The story of the configuration: read and checked, put in force, never going
// back, whatever the platform, its watches and the peers say.

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

constexpr std::string_view kGoodSettings = R"({
  // A router of the fleet.
  "name": "r1", "role": "router", "zone": "imanta",
  "platform": "127.0.0.1:2000", "secret": "sixteen letters!",
  "router": { "listen": "127.0.0.1:8080", "chooser": { "probes": 2 } },
})";

TEST(GivenSettings, CommentsAndTrailingCommasAreRead)
{
  const auto settings = ReadSettings(kGoodSettings, "r1.json");
  ASSERT_TRUE(settings.has_value()) << settings.error().Describe();
  EXPECT_EQ(settings->mRouter.mChooser.mProbes, 2U);
  EXPECT_EQ(settings->mRouter.mChooser.mZone, "imanta");
}

class WithAMistake : public ::testing::Test
{
protected:
  static std::string Mistake(std::string_view aFrom, std::string_view aTo)
  {
    std::string text(kGoodSettings);
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

TEST_F(GivenAStore, AListThenChangesComeIntoForce)
{
  EXPECT_EQ(mStore.ApplyList(5, { Model(3, 1) }), MergeOutcome::kApplied);
  EXPECT_EQ(Weights(), 1U);
  EXPECT_EQ(mStore.Version().mRevision, 3U);
  EXPECT_EQ(mStore.ApplyChanges(7, { Model(7, 2) }), MergeOutcome::kApplied);
  EXPECT_EQ(Weights(), 2U);
  {
    SCOPED_TRACE("a deletion too");
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

TEST_F(InForce, OlderAnswersChangeNothing)
{
  EXPECT_EQ(mStore.ApplyList(9, { Model(7, 3) }), MergeOutcome::kOlder);
  EXPECT_EQ(mStore.ApplyChanges(9, { Model(9, 5) }), MergeOutcome::kOlder);
  EXPECT_EQ(Weights(), 4U);
}

TEST_F(InForce, WritesElsewhereInThePlatformAreNoNewVersion)
{
  EXPECT_EQ(mStore.ApplyChanges(500, {}), MergeOutcome::kUnchanged);
  EXPECT_EQ(mStore.ApplyList(900, { Model(8, 4) }), MergeOutcome::kUnchanged);
  EXPECT_EQ(mStore.Version().mRevision, 8U);
  EXPECT_EQ(mStore.Cursor().mRevision, 900U);
}

TEST_F(InForce, ABadObjectIsQuarantinedAndTheLastGoodOneStays)
{
  mStore.ApplyChanges(11, { { "config/models/m", 11, R"({"weights":"x"})" } });
  EXPECT_EQ(Weights(), 4U);
  ASSERT_EQ(mStore.Current()->mQuarantined.size(), 1U);
  EXPECT_NE(mStore.Current()->mQuarantined[0].mReason.find("weights"),
            std::string::npos);
  {
    SCOPED_TRACE("a whole list with it keeps the good one as well");
    mStore.ApplyList(12,
                     { { "config/models/m", 11, R"({"weights":"x"})" },
                       { "config/models/n", 12, R"({"weights":1})" } });
    EXPECT_EQ(Weights(), 4U);
  }
  {
    SCOPED_TRACE("a peer that starts takes both from here");
    ConfigStore peer;
    ASSERT_TRUE(peer.ApplyPeer(mStore.Serialize(), "peer").has_value());
    EXPECT_EQ(peer.Current()->mModels.at("m").mWeights, 4U);
    EXPECT_EQ(peer.Current()->mQuarantined.size(), 1U);
  }
  {
    SCOPED_TRACE("a good one takes its place");
    mStore.ApplyChanges(13, { Model(13, 6) });
    EXPECT_EQ(Weights(), 6U);
    EXPECT_TRUE(mStore.Current()->mQuarantined.empty());
  }
}

TEST_F(InForce, ARestoredPlatformIsFollowedOnlyInANewEpoch)
{
  EXPECT_EQ(mStore.ApplyList(6, { Model(5, 1) }), MergeOutcome::kOlder);
  EXPECT_EQ(Weights(), 4U);
  const RawObject epoch{ "config/epoch/current", 7, R"({"epoch":1})" };
  EXPECT_EQ(mStore.ApplyList(7, { Model(5, 1), epoch }),
            MergeOutcome::kApplied);
  EXPECT_EQ(Weights(), 1U);
  {
    SCOPED_TRACE("and peers of the old epoch no longer count");
    ConfigStore old;
    old.ApplyList(50, { Model(49, 9) });
    EXPECT_EQ(*mStore.ApplyPeer(old.Serialize(), "old"), MergeOutcome::kOlder);
    EXPECT_EQ(*old.ApplyPeer(mStore.Serialize(), "new"),
              MergeOutcome::kApplied);
  }
}

TEST_F(InForce, HalfASnapshotOfAPeerIsRefusedWhole)
{
  const std::string text = mStore.Serialize();
  ConfigStore other;
  EXPECT_FALSE(other.ApplyPeer(text.substr(0, text.size() / 2), "p"));
  EXPECT_FALSE(other.ApplyPeer("{\"revision\":99}", "p"));
  EXPECT_EQ(other.Version(), ConfigVersion{});
}

/// A platform with stale reads and restores, processes with watch gaps, and
/// peers that pass on what they have.
RC_GTEST_PROP(GeneratedChanges,
              AreInForceAtLastAndNeverRevert,
              (const std::vector<std::uint8_t>& aSchedule))
{
  constexpr std::size_t kProcesses = 3;
  std::vector<std::vector<RawObject>> past; // The platform at each revision.
  past.emplace_back();
  std::array<ConfigStore, kProcesses> stores;
  History history;
  const auto list = [&](ConfigStore& aStore, std::size_t aRevision) {
    aStore.ApplyList(aRevision, past[aRevision]);
  };
  for (const std::uint8_t choice : aSchedule) {
    ConfigStore& store = stores[choice / 8 % kProcesses];
    const std::size_t now = past.size() - 1;
    switch (choice % 8) {
      case 0:
      case 1: { // An operator changes one of three objects.
        auto objects = past.back();
        const std::string key =
          "config/models/m" + std::to_string(choice / 32 % 3);
        std::erase_if(objects,
                      [&](const auto& aObject) { return aObject.mKey == key; });
        if (choice / 128 == 0) {
          objects.push_back(
            { key, now + 1, R"({"weights":)" + std::to_string(now + 1) + "}" });
        }
        past.push_back(objects);
        break;
      }
      case 2: // A stale list.
        list(store, now - std::min<std::size_t>(now, choice / 64));
        break;
      case 3: // A watch: what changed since the cursor.
      case 4: {
        const std::uint64_t after = store.Cursor().mRevision;
        std::vector<RawObject> changes;
        for (const auto& object : past.back()) {
          if (object.mRevision > after) {
            changes.push_back(object);
          }
        }
        for (const auto& object : past[after]) {
          const bool isGone = std::none_of(
            past.back().begin(), past.back().end(), [&](const auto& aOther) {
              return aOther.mKey == object.mKey;
            });
          if (isGone) {
            changes.push_back({ object.mKey, now, "" });
          }
        }
        store.ApplyChanges(now, changes);
        break;
      }
      case 5: // A peer passes its configuration on.
        (void)store.ApplyPeer(stores[choice / 32 % kProcesses].Serialize(),
                              "peer");
        break;
      case 6: // The process restarts with nothing.
        store = ConfigStore();
        history.mInForce.clear(); // A new life has no past to revert from.
        break;
      default:
        list(store, now);
        break;
    }
    for (std::size_t i = 0; i < kProcesses; ++i) {
      history.mInForce.push_back(
        { std::to_string(i), stores[i].Version().Packed() });
      // What is in force is what the platform held at the cursor.
      const auto& held = past[stores[i].Cursor().mRevision];
      RC_ASSERT(stores[i].Current()->mModels.size() == held.size());
    }
  }
  RC_ASSERT(CheckConfigNeverReverts(history).empty());
  for (auto& store : stores) {
    list(store, past.size() - 1);
    for (const auto& object : past.back()) {
      const auto name =
        object.mKey.substr(std::string("config/models/").size());
      RC_ASSERT(store.Current()->mModels.at(name).mWeights == object.mRevision);
    }
  }
}

} // namespace
} // namespace shuntjunction::state::history
