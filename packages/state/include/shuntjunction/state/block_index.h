#pragma once

#include <cstdint>
#include <span>
#include <unordered_set>

#include "shuntjunction/state/prefix_chain.h"

/// Index of the blocks in an engine's prefix cache.
namespace shuntjunction::state {

/// Identifies one run of an engine process; a restart gets another. Zero is
/// none.
using Incarnation = std::uint64_t;

/// Change of an engine's cache.
enum class CacheEventKind : std::uint8_t
{
  kStored,  ///< the block was cached
  kEvicted, ///< the block was dropped
  kCleared, ///< the whole cache was dropped
};

/// A cache event published by an engine. Events may arrive late, and some get
/// lost.
struct CacheEvent
{
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0; ///< counts up by one from 1 in each incarnation
  CacheEventKind mKind = CacheEventKind::kStored;
  PrefixHash mBlock = 0;
};

/// The companion's index of its engine's cache.
///
/// All entries belong to the engine's current incarnation: a new incarnation
/// empties the index, and events of any other are dropped. After a gap in the
/// sequence any entry may have been evicted, so the index is emptied and
/// filled by the events that follow. A missing entry only makes an estimate
/// wrong; a false entry breaks the guarantee that a block reported as cached
/// is cached.
///
/// Thread safety: none; owned by one thread.
class BlockIndex
{
public:
  /// What was done with an event.
  enum class Outcome : std::uint8_t
  {
    kApplied,
    kStale, ///< dropped: of another incarnation, or a duplicate
    kGap,   ///< applied after the index was emptied because of a gap
  };

  /// Empties the index and begins an incarnation; zero: the engine is down.
  ///
  /// Does nothing if the incarnation is the current one.
  void Restart(Incarnation aIncarnation);

  /// Applies one event.
  Outcome Apply(const CacheEvent& aEvent);

  /// Number of leading blocks of a chain that are cached.
  std::uint32_t CachedBlocks(std::span<const PrefixHash> aChain) const;

  /// Number of blocks up to the end of the deepest cached level.
  ///
  /// Cheaper than the overload for chains: one look-up per level. Engines evict
  /// a prefix from its end, so a cached block implies its parents.
  std::uint32_t CachedBlocks(std::span<const PrefixLevel> aLevels) const;

  /// Current incarnation; zero if the engine is not known to be up.
  Incarnation CurrentIncarnation() const { return mIncarnation; }

  /// Number of indexed blocks.
  std::size_t Size() const { return mBlocks.size(); }

  /// Number of sequence gaps since the process started.
  std::uint64_t Gaps() const { return mGaps; }

private:
  Incarnation mIncarnation = 0;
  std::uint64_t mLastSequence = 0;
  std::uint64_t mGaps = 0;
  std::unordered_set<PrefixHash> mBlocks;
};

} // namespace shuntjunction::state
