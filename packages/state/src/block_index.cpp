#include "shuntjunction/state/block_index.h"

#include <algorithm>

namespace shuntjunction::state {

void
BlockIndex::Restart(Incarnation aIncarnation)
{
  if (aIncarnation == mIncarnation) {
    return;
  }
  mIncarnation = aIncarnation;
  mLastSequence = 0;
  mBlocks.clear();
}

BlockIndex::Outcome
BlockIndex::Apply(const CacheEvent& aEvent)
{
  if (aEvent.mIncarnation != mIncarnation || mIncarnation == 0 ||
      aEvent.mSequence <= mLastSequence) {
    return Outcome::kStale;
  }
  const bool gap = aEvent.mSequence != mLastSequence + 1;
  if (gap) {
    ++mGaps;
    mBlocks.clear();
  }
  mLastSequence = aEvent.mSequence;
  switch (aEvent.mKind) {
    case CacheEventKind::kStored:
      mBlocks.insert(aEvent.mBlock);
      break;
    case CacheEventKind::kEvicted:
      mBlocks.erase(aEvent.mBlock);
      break;
    case CacheEventKind::kCleared:
      mBlocks.clear();
      break;
  }
  return gap ? Outcome::kGap : Outcome::kApplied;
}

std::uint32_t
BlockIndex::CachedBlocks(std::span<const PrefixHash> aChain) const
{
  std::uint32_t cached = 0;
  for (const PrefixHash block : aChain) {
    if (!mBlocks.contains(block)) {
      break;
    }
    ++cached;
  }
  return cached;
}

std::uint32_t
BlockIndex::CachedBlocks(std::span<const PrefixLevel> aLevels) const
{
  std::uint32_t cached = 0;
  for (const PrefixLevel& level : aLevels) {
    if (mBlocks.contains(level.mHash)) {
      cached = std::max(cached, level.mBlocks);
    }
  }
  return cached;
}

} // namespace shuntjunction::state
