#pragma once

#include <cstdint>
#include <span>
#include <unordered_set>

#include "shuntjunction/state/prefix_chain.h"

/// What one engine has in its prefix cache.
namespace shuntjunction::state {

/// One life of an engine; a crash begins another. Zero is no life.
using Incarnation = std::uint64_t;

/// Something that happened in an engine's cache.
enum class CacheEventKind : std::uint8_t
{
  kStored,  ///< the block was cached
  kEvicted, ///< the block was dropped
  kCleared, ///< the whole cache was dropped
};

/// A cache event as an engine publishes it: late, and with gaps.
struct CacheEvent
{
  Incarnation mIncarnation = 0;
  std::uint64_t mSequence = 0; ///< counts up by one from 1 in an incarnation
  CacheEventKind mKind = CacheEventKind::kStored;
  PrefixHash mBlock = 0;
};

/// The companion's index of its engine's cache.
///
/// Every entry belongs to the engine's present incarnation: a new incarnation
/// empties it, and events of any other are dropped. A gap in the sequence
/// leaves entries that may have been evicted, so it empties the index until
/// the engine has been listed again or blocks are stored anew: an entry that
/// is missing costs a wrong estimate, one that is wrong costs a promise.
///
/// Thread safety: none; owned by one thread.
class BlockIndex
{
public:
  /// What became of an event.
  enum class Outcome : std::uint8_t
  {
    kApplied,
    kStale, ///< of a dead incarnation, or seen before
    kGap,   ///< applied after the index was emptied
  };

  /// Begins a life of the engine; the index is empty from here on.
  ///
  /// A call with the present incarnation changes nothing.
  void Restart(Incarnation aIncarnation);

  /// Applies one event.
  Outcome Apply(const CacheEvent& aEvent);

  /// How many leading blocks of a chain are cached.
  std::uint32_t CachedBlocks(std::span<const PrefixHash> aChain) const;

  /// How many blocks of the deepest cached level are cached.
  ///
  /// Cheaper than CachedBlocks: one look-up a level. Engines evict a prefix
  /// from its end, so a cached block implies its parents.
  std::uint32_t CachedBlocks(std::span<const PrefixLevel> aLevels) const;

  /// Present incarnation; zero when the engine is not known to live.
  Incarnation CurrentIncarnation() const { return mIncarnation; }

  /// Number of blocks held.
  std::size_t Size() const { return mBlocks.size(); }

  /// Number of gaps met since the process began.
  std::uint64_t Gaps() const { return mGaps; }

private:
  Incarnation mIncarnation = 0;
  std::uint64_t mLastSequence = 0;
  std::uint64_t mGaps = 0;
  std::unordered_set<PrefixHash> mBlocks;
};

} // namespace shuntjunction::state
