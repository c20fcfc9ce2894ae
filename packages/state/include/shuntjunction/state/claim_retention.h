#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/config_store.h"
#include "shuntjunction/state/endpoint_table.h"

/// Where claims are stored in the platform, and how long they are kept.
namespace shuntjunction::state {

/// Number of shards of the claims; keeps the list of one shard small.
inline constexpr std::size_t kClaimShards = 4096;

/// Platform key prefix of a shard's claims.
///
/// @pre  aShard is below kClaimShards
std::string
ClaimShardPrefix(std::size_t aShard);

/// Platform key of a claim, under the prefix of its shard.
std::string
ClaimKey(std::string_view aTeam, std::string_view aKey);

/// Whether a companion is the one that deletes a shard's expired claims.
///
/// Depends only on the list: companions with the same list divide the shards
/// among them. Two with different lists may both sweep a shard; this is
/// harmless, since claims are deleted on condition of their revision.
/// Thread safety: pure.
bool
IsSweeperOf(const std::vector<InstanceInfo>& aInstances,
            std::string_view aCompanion,
            std::size_t aShard);

/// Claims of a shard that are older than the retention period.
///
/// Age is measured from this process's wall clock or from the newest claim of
/// the shard, whichever is earlier: one clock that runs far ahead, here or at a
/// claimant, deletes nothing. Unreadable records are kept.
/// Thread safety: pure.
std::vector<RawObject>
ExpiredClaims(const std::vector<RawObject>& aShard,
              std::int64_t aWallMillis,
              Millis aRetention);

} // namespace shuntjunction::state
