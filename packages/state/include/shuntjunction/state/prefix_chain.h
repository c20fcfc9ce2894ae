#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Identity of prompt prefixes.
namespace shuntjunction::state {

/// Bytes of prompt text in one block.
inline constexpr std::size_t kBlockBytes = 256;

/// Most prompt levels that placement looks at.
inline constexpr std::size_t kMaxLevels = 4;

/// Hash of a prefix: all blocks from the start of the prompt.
using PrefixHash = std::uint64_t;

/// What separates one cache from another.
struct CacheScope
{
  std::string mTeam;
  std::string mModel;
  std::uint32_t mWeightsVersion = 0;
};

/// One level of a prompt: where it ends and the hash up to there.
struct PrefixLevel
{
  PrefixHash mHash = 0;
  std::uint32_t mBlocks = 0; ///< whole blocks from the start of the prompt

  bool operator==(const PrefixLevel&) const = default;
};

/// The chain of a prompt's block hashes, salted by its scope.
///
/// Two prompts of different teams, models or weights versions have different
/// chains although their texts are equal to the byte.
struct PrefixChain
{
  std::vector<PrefixHash> mBlocks;
  std::vector<PrefixLevel> mLevels; ///< outermost first, at most kMaxLevels
};

/// Builds the chain of a prompt given as the texts of its levels.
///
/// A level that adds no whole block is left out of mLevels; further levels
/// than kMaxLevels are joined with the last one.
/// Thread safety: pure.
PrefixChain
BuildPrefixChain(const CacheScope& aScope,
                 const std::vector<std::string>& aLevels);

/// The salt that an engine is handed with a request of this scope, as hex.
///
/// A keyed cryptographic hash (HMAC-SHA-256, 128 bits kept): no two scopes
/// share a salt, and no team can guess that of another.
/// Thread safety: pure.
std::string
EngineSalt(const CacheScope& aScope, std::string_view aSecret);

/// 64-bit hash of a string for placement; not for security.
std::uint64_t
PlacementHash(std::string_view aText, std::uint64_t aSeed = 0);

} // namespace shuntjunction::state
