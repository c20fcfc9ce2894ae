#pragma once

#include <optional>
#include <string>
#include <vector>

#include "shuntjunction/state/streams/stream_records.h"

/// Decides at which software version a stream may be resumed.
namespace shuntjunction::state {

/// Reply of a companion that may hold the record of a stream.
struct OriginReply
{
  StreamLookup mLookup;
  /// The one version of the stream's service for as long as a stream may last,
  /// as the companion's list shows; empty: there were several.
  std::optional<std::string> mOnlyVersion;
  /// Whether it has followed the list for that long; otherwise it may not have
  /// seen a version that was removed.
  bool mIsHistoryKnown = false;
};

/// What a relay has learned of the origin of a stream.
struct OriginEvidence
{
  /// As OriginReply::mOnlyVersion, by the relay's own list.
  std::optional<std::string> mOnlyVersion;
  /// The one version of the service's history in the platform's store; empty:
  /// it has several, or was not read.
  std::optional<std::string> mStoredVersion;
  std::vector<OriginReply> mReplies;
  /// As OriginReply::mIsHistoryKnown, of the relay's own list.
  bool mIsHistoryKnown = false;
};

/// Version at which a stream began.
///
/// Without a record it is known only where the relay and all companions that
/// replied have had one and the same version listed, and either one of these
/// has followed the list for as long as a stream may last, or the stored
/// history has no other version: the relay's own list may be outdated, and
/// processes that started meanwhile did not see what the stream began with.
/// Thread safety: pure.
StreamLookup
JudgeOrigin(const OriginEvidence& aEvidence);

} // namespace shuntjunction::state
