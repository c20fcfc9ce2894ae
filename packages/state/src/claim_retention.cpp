#include "shuntjunction/state/claim_retention.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>

#include "shuntjunction/state/claim_machine.h"
#include "shuntjunction/state/digest.h"
#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/rendezvous.h"

namespace shuntjunction::state {

namespace {

constexpr std::string_view kClaimsPrefix = "claims/";
constexpr std::size_t kShardDigits = 3; ///< 16^3 = kClaimShards

} // namespace

std::string
ClaimShardPrefix(std::size_t aShard)
{
  std::array<char, kShardDigits + 1> digits{};
  std::snprintf(
    digits.data(), digits.size(), "%03x", static_cast<unsigned>(aShard));
  return std::string(kClaimsPrefix) + digits.data() + "/";
}

std::string
ClaimKey(std::string_view aTeam, std::string_view aKey)
{
  const std::string hash = Sha256Hex(aKey);
  return std::string(kClaimsPrefix) + hash.substr(0, kShardDigits) + "/" +
         std::string(aTeam) + "/" + hash;
}

bool
IsSweeperOf(const std::vector<InstanceInfo>& aInstances,
            std::string_view aCompanion,
            std::size_t aShard)
{
  std::vector<RendezvousMember> members;
  for (std::uint32_t i = 0; i < aInstances.size(); ++i) {
    if (aInstances[i].mRole == kCompanionRole && !aInstances[i].mIsLeaving) {
      members.push_back({ { i }, PlacementHash(aInstances[i].mName) });
    }
  }
  const std::uint64_t key = PlacementHash(ClaimShardPrefix(aShard));
  const auto first = RendezvousOrder(members, key, 1);
  return !first.empty() &&
         aInstances[first.front().mHandle.mIndex].mName == aCompanion;
}

std::vector<RawObject>
ExpiredClaims(const std::vector<RawObject>& aShard,
              std::int64_t aWallMillis,
              Millis aRetention)
{
  std::vector<std::optional<std::int64_t>> times;
  std::int64_t newest = 0;
  for (const auto& object : aShard) {
    const auto record = ReadClaimRecord(object.mValue);
    times.push_back(record ? std::optional(record->mCreatedAtMillis)
                           : std::nullopt);
    newest = std::max(newest, times.back().value_or(0));
  }
  const std::int64_t oldest =
    std::min(aWallMillis, newest) - aRetention.count();
  std::vector<RawObject> expired;
  for (std::size_t i = 0; i < aShard.size(); ++i) {
    if (times[i] && *times[i] < oldest) {
      expired.push_back(aShard[i]);
    }
  }
  return expired;
}

} // namespace shuntjunction::state
