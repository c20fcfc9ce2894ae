// The story of a prefix: its name, and what an engine holds of it.

#include <random>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "shuntjunction/state/block_index.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {
namespace {

class GivenAPrompt : public ::testing::Test
{
protected:
  CacheScope mScope{ "clinic-north", "crew-notes", 3 };
  std::vector<std::string> mLevels{ std::string(3 * kBlockBytes, 'r'),
                                    std::string(2 * kBlockBytes, 'p'),
                                    "a question" };
  PrefixChain mChain = BuildPrefixChain(mScope, mLevels);
};

TEST_F(GivenAPrompt, ItsLevelsEndAtWholeBlocks)
{
  ASSERT_EQ(mChain.mLevels.size(), 2U);
  EXPECT_EQ(mChain.mLevels[0].mBlocks, 3U);
  EXPECT_EQ(mChain.mLevels[1].mBlocks, 5U);
  EXPECT_EQ(mChain.mBlocks.size(), 5U);
  EXPECT_EQ(mChain.mLevels[1].mHash, mChain.mBlocks.back());
}

TEST_F(GivenAPrompt, MoreLevelsThanAreLookedAtAreJoined)
{
  mLevels.assign(7, std::string(kBlockBytes, 'x'));
  const auto chain = BuildPrefixChain(mScope, mLevels);
  ASSERT_EQ(chain.mLevels.size(), kMaxLevels);
  EXPECT_EQ(chain.mLevels.back().mBlocks, 7U);
}

class OfAnotherScope : public GivenAPrompt
{
protected:
  void ExpectNothingShared(const CacheScope& aOther)
  {
    const auto other = BuildPrefixChain(aOther, mLevels);
    for (const auto hash : other.mBlocks) {
      EXPECT_EQ(std::count(mChain.mBlocks.begin(), mChain.mBlocks.end(), hash),
                0);
    }
    EXPECT_NE(EngineSalt(aOther, "secret"), EngineSalt(mScope, "secret"));
  }
};

TEST_F(OfAnotherScope, ByteIdenticalPromptsShareNothing)
{
  {
    SCOPED_TRACE("another team");
    ExpectNothingShared({ "clinic-south", "crew-notes", 3 });
  }
  {
    SCOPED_TRACE("another model");
    ExpectNothingShared({ "clinic-north", "captions", 3 });
  }
  {
    SCOPED_TRACE("other weights");
    ExpectNothingShared({ "clinic-north", "crew-notes", 4 });
  }
  {
    SCOPED_TRACE("a team whose name runs into the model's");
    ExpectNothingShared({ "clinic-northcrew-notes", "", 3 });
  }
}

TEST_F(OfAnotherScope, SaltsDependOnTheSecret)
{
  EXPECT_NE(EngineSalt(mScope, "one secret"), EngineSalt(mScope, "another"));
}

RC_GTEST_PROP(GeneratedPrompts,
              EqualBeginningsShareExactlyTheirWholeBlocks,
              (const std::string& aCommon,
               const std::string& aOne,
               const std::string& aOther))
{
  const CacheScope scope{ "t", "m", 1 };
  std::string common;
  while (common.size() < 3 * kBlockBytes) {
    common += aCommon + "x";
  }
  const auto one = BuildPrefixChain(scope, { common + "1" + aOne });
  const auto other = BuildPrefixChain(scope, { common + "2" + aOther });
  const std::size_t shared = common.size() / kBlockBytes;
  for (std::size_t i = 0;
       i < std::min(one.mBlocks.size(), other.mBlocks.size());
       ++i) {
    RC_ASSERT((one.mBlocks[i] == other.mBlocks[i]) == (i < shared));
  }
}

class GivenAnEngine : public ::testing::Test
{
protected:
  void SetUp() override { mIndex.Restart(kFirstLife); }

  BlockIndex::Outcome Store(std::uint64_t aSequence,
                            PrefixHash aBlock,
                            Incarnation aLife = kFirstLife)
  {
    return mIndex.Apply({ aLife, aSequence, CacheEventKind::kStored, aBlock });
  }

  std::uint32_t Cached()
  {
    const std::vector<PrefixHash> chain{ 11, 12, 13 };
    return mIndex.CachedBlocks(std::span(chain));
  }

  static constexpr Incarnation kFirstLife = 100;
  static constexpr Incarnation kSecondLife = 200;
  BlockIndex mIndex;
};

TEST_F(GivenAnEngine, BlocksCountFromTheStartOfThePrompt)
{
  Store(1, 12);
  EXPECT_EQ(Cached(), 0U);
  Store(2, 11);
  EXPECT_EQ(Cached(), 2U);
  mIndex.Apply({ kFirstLife, 3, CacheEventKind::kEvicted, 12 });
  EXPECT_EQ(Cached(), 1U);
  mIndex.Apply({ kFirstLife, 4, CacheEventKind::kCleared, 0 });
  EXPECT_EQ(Cached(), 0U);
}

class ThatHasCached : public GivenAnEngine
{
protected:
  void SetUp() override
  {
    GivenAnEngine::SetUp();
    Store(1, 11);
    Store(2, 12);
    ASSERT_EQ(Cached(), 2U);
  }
};

TEST_F(ThatHasCached, ACrashEmptiesTheIndex)
{
  mIndex.Restart(kSecondLife);
  EXPECT_EQ(Cached(), 0U);
  {
    SCOPED_TRACE("late events of the dead life are dropped");
    EXPECT_EQ(Store(3, 11), BlockIndex::Outcome::kStale);
    EXPECT_EQ(Cached(), 0U);
  }
  {
    SCOPED_TRACE("events of the new life count");
    EXPECT_EQ(Store(1, 11, kSecondLife), BlockIndex::Outcome::kApplied);
    EXPECT_EQ(Cached(), 1U);
  }
}

TEST_F(ThatHasCached, AGapForgetsWhatMayHaveBeenEvicted)
{
  EXPECT_EQ(Store(4, 13), BlockIndex::Outcome::kGap);
  EXPECT_EQ(Cached(), 0U);
  EXPECT_EQ(mIndex.Gaps(), 1U);
}

TEST_F(ThatHasCached, DoubledEventsChangeNothing)
{
  EXPECT_EQ(Store(2, 13), BlockIndex::Outcome::kStale);
  EXPECT_EQ(mIndex.Size(), 2U);
}

TEST_F(ThatHasCached, AnEngineThatIsDownHasNothing)
{
  mIndex.Restart(0);
  EXPECT_EQ(Cached(), 0U);
  EXPECT_EQ(Store(1, 11, 0), BlockIndex::Outcome::kStale);
}

/// An engine that may crash, and events that may be lost, late or doubled.
class EngineModel
{
public:
  /// @param aNoticesCrashes  false to see what happens without incarnations
  explicit EngineModel(BlockIndex& aIndex, bool aNoticesCrashes = true)
    : mIndex(aIndex)
    , mNoticesCrashes(aNoticesCrashes)
  {
    mIndex.Restart(mLife);
  }

  /// The engine crashes and comes back empty.
  void Crash()
  {
    ++mLife;
    mSequence = 0;
    mLastLost = false;
    mHeld.clear();
    mEverStored.clear();
    if (mNoticesCrashes) {
      mIndex.Restart(mLife);
    }
  }

  /// The engine stores or evicts a block; the event may be lost.
  void Emit(CacheEventKind aKind, PrefixHash aBlock, bool aIsLost)
  {
    if (aKind == CacheEventKind::kStored) {
      mHeld.insert(aBlock);
      mEverStored.insert(aBlock);
    } else {
      mHeld.erase(aBlock);
    }
    ++mSequence;
    mLastLost = aIsLost;
    if (!aIsLost) {
      mFlying.push_back({ mLife, mSequence, aKind, aBlock });
    }
  }

  /// Everything on its way arrives; the oldest event arrives once more.
  void Deliver()
  {
    const auto flying = std::exchange(mFlying, {});
    for (const auto& event : flying) {
      mIndex.Apply(event);
    }
    if (!flying.empty()) {
      mIndex.Apply(flying.front());
    }
  }

  /// Whether the index says that a block is cached.
  bool IsSaid(PrefixHash aBlock) const
  {
    const std::vector<PrefixHash> chain{ aBlock };
    return mIndex.CachedBlocks(std::span(chain)) == 1;
  }

  bool IsHeld(PrefixHash aBlock) const { return mHeld.contains(aBlock); }
  bool WasStored(PrefixHash aBlock) const
  {
    return mEverStored.contains(aBlock);
  }

  /// Whether all is known: nothing flies, and the last event was not lost.
  bool IsSettled() const { return mFlying.empty() && !mLastLost; }

private:
  BlockIndex& mIndex;
  bool mNoticesCrashes;
  Incarnation mLife = 1;
  std::uint64_t mSequence = 0;
  bool mLastLost = false;
  std::set<PrefixHash> mHeld;
  std::set<PrefixHash> mEverStored; ///< in this life
  std::vector<CacheEvent> mFlying;
};

constexpr PrefixHash kBlocks = 4;

void
Step(EngineModel& aEngine, std::uint8_t aChoice)
{
  const PrefixHash block = aChoice / 16 % kBlocks + 1;
  const bool isLost = aChoice / 64 == 3;
  switch (aChoice % 8) {
    case 0:
      aEngine.Crash();
      break;
    case 1:
    case 2:
    case 3:
      aEngine.Emit(CacheEventKind::kStored, block, isLost);
      break;
    case 4:
    case 5:
      aEngine.Emit(CacheEventKind::kEvicted, block, isLost);
      break;
    default:
      aEngine.Deliver();
      break;
  }
}

/// Whether nothing is said to be cached that a dead life has left, and, once
/// no event is missing, nothing that was evicted.
bool
IsTrue(const EngineModel& aEngine)
{
  for (PrefixHash block = 1; block <= kBlocks; ++block) {
    const bool isSaid = aEngine.IsSaid(block);
    if (isSaid && !aEngine.WasStored(block)) {
      return false;
    }
    if (isSaid && aEngine.IsSettled() && !aEngine.IsHeld(block)) {
      return false;
    }
  }
  return true;
}

RC_GTEST_PROP(GeneratedCacheEvents,
              NothingIsSaidToBeCachedThatTheLivingEngineDoesNotHold,
              (const std::vector<std::uint8_t>& aSchedule))
{
  BlockIndex index;
  EngineModel engine(index);
  for (const std::uint8_t choice : aSchedule) {
    Step(engine, choice);
    RC_ASSERT(IsTrue(engine));
  }
}

TEST(WithoutIncarnations, ADeadEnginesBlocksAreSaidToBeCached)
{
  int lies = 0;
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    BlockIndex index;
    EngineModel engine(index, false);
    for (int step = 0; step < 60; ++step) {
      Step(engine, static_cast<std::uint8_t>(random()));
      lies += IsTrue(engine) ? 0 : 1;
    }
  }
  EXPECT_GT(lies, 0);
}

} // namespace
} // namespace shuntjunction::state
