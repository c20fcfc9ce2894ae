#include "shuntjunction/state/stream_backup.h"

#include <tuple>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

namespace {

bool
HasRoom(const BackupCandidate& aCandidate,
        std::int64_t aTokens,
        const StreamBackupSettings& aSettings)
{
  if (aCandidate.mRunning >= aCandidate.mSlots) {
    return false;
  }
  const auto capacity = static_cast<double>(aCandidate.mCapacityTokens);
  const auto copies = static_cast<double>(aCandidate.mBackupTokens + aTokens);
  const auto used = static_cast<double>(aCandidate.mUsedTokens);
  return capacity == 0 || (copies <= capacity * aSettings.mMaxMemoryShare &&
                           used <= capacity * aSettings.mMaxUsedShare);
}

std::uint64_t
Rank(std::uint64_t aNameHash, std::uint64_t aKey)
{
  const std::string_view bytes(reinterpret_cast<const char*>(&aNameHash),
                               sizeof(aNameHash));
  return PlacementHash(bytes, aKey);
}

} // namespace

std::optional<std::size_t>
ChooseBackup(const BackupRequest& aRequest,
             std::span<const BackupCandidate> aCandidates,
             std::uint64_t aVersion,
             std::uint64_t aKey,
             const StreamBackupSettings& aSettings)
{
  // A stream that may be resumed needs no copy: the prefill of a prompt of this
  // length takes some twenty milliseconds.
  if (aRequest.mIsResumable ||
      aRequest.mPromptTokens > aSettings.mMaxPromptTokens ||
      aRequest.mMaxNewTokens < aSettings.mMinNewTokens) {
    return std::nullopt;
  }
  const auto tokens = aRequest.mPromptTokens + aRequest.mMaxNewTokens;
  std::optional<std::size_t> best;
  std::tuple<Distance, std::int64_t, std::uint64_t> bestCost;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const auto& candidate = aCandidates[index];
    const bool isNear = candidate.mDistance < Distance::kOtherRegion;
    if (!isNear || candidate.mIsSuspect || candidate.mIsLimited ||
        candidate.mVersion != aVersion ||
        !HasRoom(candidate, tokens, aSettings)) {
      continue;
    }
    const std::tuple cost{ candidate.mDistance,
                           candidate.mBackupTokens,
                           Rank(candidate.mNameHash, aKey) };
    if (!best || cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace shuntjunction::state
