#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/relay_config.h"

/// The software versions at which streams of a service may have begun, as a
/// record that outlives every process.
namespace shuntjunction::state {

/// From the end of a request until its caller has resumed its stream.
inline constexpr Millis kStreamResumeTime{ 10000 };

/// Longest time in which a stream of each service may be resumed; without the
/// services that have no resumable streams.
///
/// Thread safety: pure.
std::map<std::string, Millis>
StreamLifetimes(const RelayRules& aRules);

/// Every version at which a stream may have begun that can still be resumed.
///
/// Each with a platform revision at which a process had it listed. Only a
/// process whose list is at least as new may remove it.
using VersionHistory = std::map<std::string, std::uint64_t>;

/// The only version of a history; empty if it has several, or none.
std::optional<std::string>
OnlyVersionOf(const VersionHistory& aHistory);

/// A service's versions as one process has them listed.
struct VersionSightings
{
  /// Each listed version, with a platform revision since which it has been
  /// listed without a gap.
  VersionHistory mListed;
  /// Versions that were listed within the lifetime of streams, by this process.
  std::set<std::string> mRecent;
  std::uint64_t mRevision = 0; ///< up to which the list is known
  /// Whether no stream can be resumed that began before this process followed
  /// the list.
  bool mIsWhole = false;
};

/// The listed versions of a service, each with the lowest revision of its
/// entries.
///
/// Thread safety: pure.
VersionHistory
ListedSince(const std::vector<EndpointInfo>& aEndpoints,
            std::string_view aService);

/// The history that replaces the stored one; empty if that is to stay.
///
/// Every process adds the versions that it has listed. A version that returns
/// after a gap is recorded anew, so that a process whose list is older and does
/// not show it cannot remove it. The first record is written by a process that
/// has followed the list for the lifetime of streams: an earlier one would lack
/// versions that left unseen.
///
/// @param aStored  empty: none is stored
/// Thread safety: pure.
std::optional<VersionHistory>
UpdateHistory(const std::optional<VersionHistory>& aStored,
              const VersionSightings& aSightings);

} // namespace shuntjunction::state
