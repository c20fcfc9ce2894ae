// Prefix hashes, and the index of the blocks that an engine has cached.

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

TEST_F(GivenAPrompt, LevelsBeyondTheLimitAreMerged)
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
    SCOPED_TRACE("a team whose name is that of the team and model joined");
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
  void SetUp() override { mIndex.Restart(kFirstIncarnation); }

  BlockIndex::Outcome Store(std::uint64_t aSequence,
                            PrefixHash aBlock,
                            Incarnation aIncarnation = kFirstIncarnation)
  {
    return mIndex.Apply(
      { aIncarnation, aSequence, CacheEventKind::kStored, aBlock });
  }

  std::uint32_t Cached()
  {
    const std::vector<PrefixHash> chain{ 11, 12, 13 };
    return mIndex.CachedBlocks(std::span(chain));
  }

  static constexpr Incarnation kFirstIncarnation = 100;
  static constexpr Incarnation kSecondIncarnation = 200;
  BlockIndex mIndex;
};

TEST_F(GivenAnEngine, BlocksCountFromTheStartOfThePrompt)
{
  Store(1, 12);
  EXPECT_EQ(Cached(), 0U);
  Store(2, 11);
  EXPECT_EQ(Cached(), 2U);
  mIndex.Apply({ kFirstIncarnation, 3, CacheEventKind::kEvicted, 12 });
  EXPECT_EQ(Cached(), 1U);
  mIndex.Apply({ kFirstIncarnation, 4, CacheEventKind::kCleared, 0 });
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
  mIndex.Restart(kSecondIncarnation);
  EXPECT_EQ(Cached(), 0U);
  {
    SCOPED_TRACE("late events of the former incarnation are dropped");
    EXPECT_EQ(Store(3, 11), BlockIndex::Outcome::kStale);
    EXPECT_EQ(Cached(), 0U);
  }
  {
    SCOPED_TRACE("events of the new incarnation are applied");
    EXPECT_EQ(Store(1, 11, kSecondIncarnation), BlockIndex::Outcome::kApplied);
    EXPECT_EQ(Cached(), 1U);
  }
}

TEST_F(ThatHasCached, AGapEmptiesTheIndex)
{
  EXPECT_EQ(Store(4, 13), BlockIndex::Outcome::kGap);
  EXPECT_EQ(Cached(), 0U);
  EXPECT_EQ(mIndex.Gaps(), 1U);
}

TEST_F(ThatHasCached, DuplicateEventsAreIgnored)
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

/// Simulates an engine that may crash and whose events may be lost, late or
/// duplicated.
class CacheSimulation
{
public:
  /// @param aDetectsCrashes  false: the index is not told of new incarnations
  explicit CacheSimulation(BlockIndex& aIndex, bool aDetectsCrashes = true)
    : mIndex(aIndex)
    , mDetectsCrashes(aDetectsCrashes)
  {
    mIndex.Restart(mIncarnation);
  }

  /// The engine crashes and restarts with an empty cache.
  void Crash()
  {
    ++mIncarnation;
    mSequence = 0;
    mIsLastLost = false;
    mCached.clear();
    mEverStored.clear();
    if (mDetectsCrashes) {
      mIndex.Restart(mIncarnation);
    }
  }

  /// The engine stores or evicts a block; the event may be lost.
  void Change(CacheEventKind aKind, PrefixHash aBlock, bool aIsLost)
  {
    if (aKind == CacheEventKind::kStored) {
      mCached.insert(aBlock);
      mEverStored.insert(aBlock);
    } else {
      mCached.erase(aBlock);
    }
    ++mSequence;
    mIsLastLost = aIsLost;
    if (!aIsLost) {
      mInFlight.push_back({ mIncarnation, mSequence, aKind, aBlock });
    }
  }

  /// Delivers all events in flight, then the oldest of them once more.
  void Deliver()
  {
    const auto inFlight = std::exchange(mInFlight, {});
    for (const auto& event : inFlight) {
      mIndex.Apply(event);
    }
    if (!inFlight.empty()) {
      mIndex.Apply(inFlight.front());
    }
  }

  /// Whether the index reports a block as cached.
  bool IsReported(PrefixHash aBlock) const
  {
    const std::vector<PrefixHash> chain{ aBlock };
    return mIndex.CachedBlocks(std::span(chain)) == 1;
  }

  bool IsCached(PrefixHash aBlock) const { return mCached.contains(aBlock); }
  bool WasStored(PrefixHash aBlock) const
  {
    return mEverStored.contains(aBlock);
  }

  /// Whether no event is in flight and the last one was not lost.
  bool IsUpToDate() const { return mInFlight.empty() && !mIsLastLost; }

private:
  BlockIndex& mIndex;
  bool mDetectsCrashes;
  Incarnation mIncarnation = 1;
  std::uint64_t mSequence = 0;
  bool mIsLastLost = false;
  std::set<PrefixHash> mCached;
  std::set<PrefixHash> mEverStored; ///< in this incarnation
  std::vector<CacheEvent> mInFlight;
};

constexpr PrefixHash kBlocks = 4;

void
Step(CacheSimulation& aSimulation, std::uint8_t aChoice)
{
  const PrefixHash block = aChoice / 16 % kBlocks + 1;
  const bool isLost = aChoice / 64 == 3;
  switch (aChoice % 8) {
    case 0:
      aSimulation.Crash();
      break;
    case 1:
    case 2:
    case 3:
      aSimulation.Change(CacheEventKind::kStored, block, isLost);
      break;
    case 4:
    case 5:
      aSimulation.Change(CacheEventKind::kEvicted, block, isLost);
      break;
    default:
      aSimulation.Deliver();
      break;
  }
}

/// Whether the index reports no block of a former incarnation, and, if no event
/// is missing, none that was evicted.
bool
IsConsistent(const CacheSimulation& aSimulation)
{
  for (PrefixHash block = 1; block <= kBlocks; ++block) {
    const bool isReported = aSimulation.IsReported(block);
    if (isReported && !aSimulation.WasStored(block)) {
      return false;
    }
    if (isReported && aSimulation.IsUpToDate() &&
        !aSimulation.IsCached(block)) {
      return false;
    }
  }
  return true;
}

RC_GTEST_PROP(GeneratedCacheEvents,
              NoBlockIsReportedThatTheRunningEngineDoesNotHold,
              (const std::vector<std::uint8_t>& aSchedule))
{
  BlockIndex index;
  CacheSimulation engine(index);
  for (const std::uint8_t choice : aSchedule) {
    Step(engine, choice);
    RC_ASSERT(IsConsistent(engine));
  }
}

TEST(WithoutIncarnations, BlocksOfACrashedEngineAreReportedAsCached)
{
  int falseReports = 0;
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    BlockIndex index;
    CacheSimulation engine(index, false);
    for (int step = 0; step < 60; ++step) {
      Step(engine, static_cast<std::uint8_t>(random()));
      falseReports += IsConsistent(engine) ? 0 : 1;
    }
  }
  EXPECT_GT(falseReports, 0);
}

} // namespace
} // namespace shuntjunction::state
