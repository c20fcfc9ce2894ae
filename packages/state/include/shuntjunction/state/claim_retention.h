#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/config_store.h"
#include "shuntjunction/state/endpoint_table.h"

/// Where claims stand in the platform, and how long they are kept.
namespace shuntjunction::state {

/// Parts that the claims are divided into, so that a list of one stays small.
inline constexpr std::size_t kClaimShards = 4096;

/// Platform prefix of a shard's claims.
///
/// @pre  aShard is below kClaimShards
std::string
ClaimShardPrefix(std::size_t aShard);

/// Platform key of a claim, below the prefix of its shard.
std::string
ClaimKey(std::string_view aTeam, std::string_view aKey);

/// Whether a companion deletes the old claims of a shard.
///
/// A pure function of the list: companions that know the same list divide the
/// shards among them. Two that know different lists may both sweep a shard,
/// which does no harm, since claims are deleted on condition of their revision.
/// Thread safety: pure.
bool
IsSweeperOf(const std::vector<InstanceInfo>& aInstances,
            std::string_view aCompanion,
            std::size_t aShard);

/// Claims of a shard that are older than the retention.
///
/// Age counts from this process's time of day or from the newest claim of the
/// shard, whichever is earlier: one clock that is far ahead, here or at a
/// claimant, deletes nothing. What cannot be read is kept.
/// Thread safety: pure.
std::vector<RawObject>
ExpiredClaims(const std::vector<RawObject>& aShard,
              std::int64_t aWallMillis,
              Millis aRetention);

} // namespace shuntjunction::state
