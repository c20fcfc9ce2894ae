#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Hashes that identify prompt prefixes.
namespace shuntjunction::state {

/// Bytes of prompt text in one block.
inline constexpr std::size_t kBlockBytes = 256;

/// Upper limit of the prompt levels considered by placement.
inline constexpr std::size_t kMaxLevels = 4;

/// Hash of all blocks from the start of the prompt to the end of one of them.
using PrefixHash = std::uint64_t;

/// Prefixes are shared only within one scope.
struct CacheScope
{
  std::string mTeam;
  std::string mModel;
  std::uint32_t mWeightsVersion = 0;
};

/// One level of a prompt: its end, and the hash of the prompt up to there.
struct PrefixLevel
{
  PrefixHash mHash = 0;
  std::uint32_t mBlocks = 0; ///< whole blocks from the start of the prompt

  bool operator==(const PrefixLevel&) const = default;
};

/// The chain of a prompt's block hashes, seeded with its scope.
///
/// Prompts of different teams, models or weights versions have different chains
/// even if their texts are byte-identical.
struct PrefixChain
{
  std::vector<PrefixHash> mBlocks;
  std::vector<PrefixLevel> mLevels; ///< outermost first, at most kMaxLevels
};

/// Builds the chain of a prompt from the texts of its levels.
///
/// A level that adds no whole block is omitted from mLevels; levels beyond
/// kMaxLevels are merged into the last one.
/// Thread safety: pure.
PrefixChain
BuildPrefixChain(const CacheScope& aScope,
                 const std::vector<std::string>& aLevels);

/// The cache salt sent to an engine with requests of a scope, in hex.
///
/// A keyed cryptographic hash (HMAC-SHA-256 truncated to 128 bits): no two
/// scopes share a salt, and no team can guess another's.
/// Thread safety: pure.
std::string
EngineSalt(const CacheScope& aScope, std::string_view aSecret);

/// 64-bit hash of a string for placement; not for security.
std::uint64_t
PlacementHash(std::string_view aText, std::uint64_t aSeed = 0);

} // namespace shuntjunction::state
