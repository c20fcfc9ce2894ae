// Example 1: splits a prompt into a chain of block hashes. Two teams with the
// same prompt share no blocks.

#include <cstdio>

#include "shuntjunction/state/block_index.h"
#include "shuntjunction/state/prefix_chain.h"

using namespace shuntjunction::state;

int
main()
{
  const std::vector<std::string> prompt{ std::string(1024, 'r'), // the rules
                                         std::string(512, 'p'),  // a record
                                         "is transport granted?" };
  const auto north = BuildPrefixChain({ "clinic-north", "notes", 1 }, prompt);
  const auto south = BuildPrefixChain({ "clinic-south", "notes", 1 }, prompt);
  std::printf(
    "blocks: %zu, levels: %zu\n", north.mBlocks.size(), north.mLevels.size());
  std::printf("shared by the two clinics: %s\n",
              north.mBlocks.front() == south.mBlocks.front() ? "yes" : "none");

  // A companion's index of the blocks cached by the current incarnation of its
  // engine.
  BlockIndex index;
  index.Restart(1);
  std::uint64_t sequence = 0;
  for (const PrefixHash block : north.mBlocks) {
    index.Apply({ 1, ++sequence, CacheEventKind::kStored, block });
  }
  std::printf("cached for the north: %u, for the south: %u\n",
              index.CachedBlocks(std::span(north.mBlocks)),
              index.CachedBlocks(std::span(south.mBlocks)));
  index.Restart(2); // The engine restarted with an empty cache.
  const std::uint32_t left = index.CachedBlocks(std::span(north.mBlocks));
  std::printf("after a crash: %u\n", left);
  return left == 0 ? 0 : 1;
}
