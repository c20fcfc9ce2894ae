// Tests of changes that are sent alone: they bring a peer to the same objects,
// or it requests the full configuration.

#include <gtest/gtest.h>

#include "shuntjunction/state/config_store.h"

namespace shuntjunction::state {
namespace {

RawObject
Model(const std::string& aName, std::uint64_t aRevision)
{
  return { "config/models/" + aName,
           aRevision,
           R"({"weights":)" + std::to_string(aRevision) + "}" };
}

class GivenTwoProcesses : public ::testing::Test
{
protected:
  void SetUp() override
  {
    mWatcher.ApplyList(10, { Model("a", 4), Model("b", 8) });
    ASSERT_TRUE(mOther.ApplyPeer(mWatcher.Serialize(), "w").has_value());
    ASSERT_EQ(mOther.Version(), mWatcher.Version());
  }

  std::string PendingChanges() const
  {
    const auto have = mOther.Version();
    return mWatcher.Recent().SerializeSince(have.mEpoch, have.mRevision);
  }

  ConfigStore mWatcher;
  ConfigStore mOther;
};

// Guards against a value that spoils all changes.
TEST_F(GivenTwoProcesses, AChangeThatIsNoUtf8HidesNoOther)
{
  mWatcher.ApplyChanges(
    12, { { "config/models/b", 11, "\"\xff\"" }, Model("c", 12) });
  const auto applied = mOther.ApplyPeer(PendingChanges(), "w");
  ASSERT_TRUE(applied.has_value()) << applied.error().Describe();
  EXPECT_EQ(mOther.Version(), mWatcher.Version());
  EXPECT_TRUE(mOther.Current()->mModels.contains("c"));
}

TEST_F(GivenTwoProcesses, OnlyChangesAreSent)
{
  mWatcher.ApplyChanges(12, { Model("c", 12) });
  mWatcher.ApplyChanges(15, { Model("d", 14), { "config/models/a", 15, "" } });
  const std::string text = PendingChanges();
  EXPECT_EQ(text.find("models/b"), std::string::npos) << text;
  EXPECT_EQ(*mOther.ApplyPeer(text, "w"), MergeOutcome::kApplied);
  EXPECT_EQ(mOther.Version(), mWatcher.Version());
  EXPECT_EQ(mOther.Current()->mModels.size(), 3U);
  EXPECT_FALSE(mOther.Current()->mModels.contains("a"));
  {
    SCOPED_TRACE("applying them again changes nothing");
    EXPECT_EQ(*mOther.ApplyPeer(text, "w"), MergeOutcome::kUnchanged);
  }
  {
    SCOPED_TRACE("and it passes them on itself");
    mWatcher.ApplyChanges(20, { Model("e", 20) });
    ASSERT_TRUE(mOther.ApplyPeer(PendingChanges(), "w").has_value());
    ConfigStore third;
    third.ApplyList(15, { Model("b", 8), Model("c", 12), Model("d", 14) });
    const auto passed = mOther.Recent().SerializeSince(0, 15);
    ASSERT_FALSE(passed.empty());
    // Its version is 14: the deletion at 15 left no object in its list.
    EXPECT_FALSE(third.ApplyPeer(passed, "o"));
    EXPECT_EQ(*third.ApplyPeer(mOther.Serialize(), "o"),
              MergeOutcome::kApplied);
  }
}

TEST_F(GivenTwoProcesses, ChangesWithAnotherResultAreRejected)
{
  // The other process has seen a change that the watcher never saw: their
  // histories differ.
  mOther.ApplyChanges(11, { Model("x", 11) });
  mWatcher.ApplyChanges(12, { Model("c", 12) });
  const auto refused = mOther.ApplyPeer(PendingChanges(), "w");
  ASSERT_FALSE(refused.has_value());
  EXPECT_EQ(refused.error().mCode, ErrorCode::kConflict);
  EXPECT_EQ(refused.error().mPeer, "w");
  EXPECT_FALSE(mOther.Current()->mModels.contains("c"));
  EXPECT_EQ(mOther.Version().mRevision, 11U);
}

TEST_F(GivenTwoProcesses, ChangesWithAGapAreRejected)
{
  mWatcher.ApplyChanges(12, { Model("c", 12) });
  const std::string text = mWatcher.Recent().SerializeSince(0, 12);
  ASSERT_FALSE(text.empty());
  EXPECT_FALSE(mOther.ApplyPeer(text, "w").has_value());
  EXPECT_FALSE(mOther.ApplyPeer(text.substr(0, text.size() / 2), "w"));
  EXPECT_FALSE(mOther.Current()->mModels.contains("c"));
}

TEST_F(GivenTwoProcesses, TheVersionOfAnEarlierDeletionIsAdoptedByContent)
{
  mWatcher.ApplyChanges(12, { { "config/models/a", 12, "" } });
  ConfigStore late;
  late.ApplyList(30, { Model("b", 8) });
  const auto text =
    mWatcher.Recent().SerializeSince(0, late.Version().mRevision);
  EXPECT_EQ(*late.ApplyPeer(text, "w"), MergeOutcome::kApplied);
  EXPECT_EQ(late.Version(), mWatcher.Version());
  EXPECT_EQ(late.Cursor().mRevision, 30U);
}

TEST_F(GivenTwoProcesses, ARequestForEverythingIsNeverAnsweredWithChanges)
{
  // This store has only ever received changes, so they reach back to zero.
  ConfigStore young;
  young.ApplyChanges(3, { Model("a", 3) });
  EXPECT_TRUE(young.Recent().SerializeSince(0, 0).empty());
  EXPECT_FALSE(young.Recent().SerializeSince(0, 3).empty());
}

TEST_F(GivenTwoProcesses, TheKeptChangesAreBounded)
{
  for (std::uint64_t i = 0; i < 2 * kMaxRecentChanges; ++i) {
    mWatcher.ApplyChanges(100 + i, { Model("m" + std::to_string(i), 100 + i) });
  }
  EXPECT_TRUE(PendingChanges().empty());
  const std::uint64_t newest = mWatcher.Version().mRevision;
  EXPECT_FALSE(mWatcher.Recent().SerializeSince(0, newest - 10).empty());
  EXPECT_TRUE(mWatcher.Recent().SerializeSince(1, newest - 10).empty());
}

} // namespace
} // namespace shuntjunction::state
