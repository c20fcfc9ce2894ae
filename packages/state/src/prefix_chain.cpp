#include "shuntjunction/state/prefix_chain.h"

#include <xxhash.h>

#include "shuntjunction/state/digest.h"

namespace shuntjunction::state {

namespace {

/// Fields are length-prefixed, so that different scopes have different texts.
std::string
ScopeText(const CacheScope& aScope)
{
  return std::to_string(aScope.mTeam.size()) + ":" + aScope.mTeam + "," +
         std::to_string(aScope.mModel.size()) + ":" + aScope.mModel + "," +
         std::to_string(aScope.mWeightsVersion);
}

} // namespace

std::uint64_t
PlacementHash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

PrefixChain
BuildPrefixChain(const CacheScope& aScope,
                 const std::vector<std::string>& aLevels)
{
  PrefixChain chain;
  PrefixHash parent = PlacementHash(ScopeText(aScope));
  std::string remainder;
  for (std::size_t level = 0; level < aLevels.size(); ++level) {
    remainder += aLevels[level];
    std::size_t offset = 0;
    for (; offset + kBlockBytes <= remainder.size(); offset += kBlockBytes) {
      const auto block =
        std::string_view(remainder).substr(offset, kBlockBytes);
      parent = PlacementHash(block, parent);
      chain.mBlocks.push_back(parent);
    }
    remainder.erase(0, offset);
    const bool isMerged = level + 1 < aLevels.size() && level + 1 >= kMaxLevels;
    if (offset > 0 && !isMerged) {
      chain.mLevels.push_back(
        { parent, static_cast<std::uint32_t>(chain.mBlocks.size()) });
    }
  }
  if (chain.mLevels.size() > kMaxLevels) {
    chain.mLevels.erase(chain.mLevels.end() - 2);
  }
  return chain;
}

std::string
EngineSalt(const CacheScope& aScope, std::string_view aSecret)
{
  return HmacSha256Hex(aSecret, "salt/" + ScopeText(aScope)).substr(0, 32);
}

} // namespace shuntjunction::state
