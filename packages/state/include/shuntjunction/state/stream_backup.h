#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/topology.h"

/// Whether the memory of a run is copied to a second engine while it runs, so
/// that its stream continues there if the first engine is lost.
namespace shuntjunction::state {

/// A run that may be backed up.
struct BackupRequest
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxNewTokens = 0;
  /// Whether a broken stream could be resumed by prefilling its prompt again.
  bool mIsResumable = false;
  int mUrgency = 0; ///< 0 is the most urgent
};

/// An engine that may hold the copy.
struct BackupCandidate
{
  std::uint64_t mNameHash = 0;             ///< PlacementHash of its id
  Distance mDistance = Distance::kUnknown; ///< from the engine of the run
  std::uint64_t mVersion = 0;              ///< of the weights
  std::int64_t mRunning = 0;
  std::int64_t mSlots = 1;
  std::int64_t mCapacityTokens = 0; ///< memory; 0: unknown
  /// Estimate of the memory that its running requests use, in tokens.
  std::int64_t mUsedTokens = 0;
  /// Copies that this relay already placed there, in tokens.
  std::int64_t mBackupTokens = 0;
  bool mIsSuspect = false; ///< failed recently or is silent
  bool mIsLimited = false; ///< has a rate limit
};

/// Settings of the choice.
struct StreamBackupSettings
{
  /// Longer prompts are not backed up: the copy would evict several shared
  /// parts of other prompts.
  std::int64_t mMaxPromptTokens = 4000;
  /// Runs with fewer new tokens end before a copy is worth its transfer.
  std::int64_t mMinNewTokens = 16;
  /// Share of an engine's memory that all copies of this relay may take.
  double mMaxMemoryShare = 0.05;
  /// Share of an engine's memory that running requests may use before it gets
  /// no more copies: they would evict the parts that the next prompts share,
  /// and then preempt requests.
  double mMaxUsedShare = 0.3;
};

/// Chooses the engine that holds the copy of a run.
///
/// @param aVersion  of the weights that the run uses
/// @param aKey  hash of the request, which spreads copies over equal candidates
/// @return index into aCandidates; empty if the run is not backed up
/// Thread safety: pure.
std::optional<std::size_t>
ChooseBackup(const BackupRequest& aRequest,
             std::span<const BackupCandidate> aCandidates,
             std::uint64_t aVersion,
             std::uint64_t aKey,
             const StreamBackupSettings& aSettings);

} // namespace shuntjunction::state
