#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/relay_config.h"

/// The listed endpoints, tolerant of entries that expire during a store outage.
namespace shuntjunction::state {

/// How long an entry that expired during an outage is kept after the store is
/// back.
///
/// Live endpoints rewrite their entries within about two seconds.
inline constexpr Millis kExpiredEntryGrace{ 2000 };

/// Keeps track of the listed endpoints across store outages.
///
/// An entry that is removed while the store works is dropped at once. An entry
/// that is removed during an outage, or shortly after it, may have expired only
/// because it could not be renewed; it is kept until kExpiredEntryGrace after
/// the outage.
/// Thread safety: none; owned by one thread.
class EndpointDirectory
{
public:
  /// Applies a complete list.
  ///
  /// @return whether anything changed
  bool MergeList(const std::vector<EndpointInfo>& aListed, TimePoint aNow);

  /// Adds or updates an entry; returns whether anything changed.
  ///
  /// Of an entry written by a former incarnation only the leaving flag is used:
  /// an endpoint that is leaving must get no new work, and a wrong flag keeps
  /// work away from a live endpoint for at most one heartbeat.
  bool Put(const EndpointInfo& aEndpoint, TimePoint aNow);

  /// Drops an entry whose object no longer describes an endpoint; returns
  /// whether it was known.
  ///
  /// The object was overwritten, so the entry cannot have expired, and no grace
  /// period applies.
  bool Drop(std::string_view aId);

  /// Handles the removal of an entry; returns whether anything changed.
  bool Remove(std::string_view aId, TimePoint aNow);

  /// Records that a call to the store failed, possibly some time ago.
  ///
  /// The time since the last answer does not count towards the grace period of
  /// expired entries, since no entry could be renewed. The time before that
  /// does count; otherwise occasional failed calls would keep an endpoint that
  /// no longer exists forever.
  void NoteOutage(TimePoint aNow);

  /// Records that the store answered.
  void NoteAnswer(TimePoint aNow);

  /// Applies the grace periods that have ended: drops expired entries, and
  /// accepts a former incarnation that is still the only one reported. Returns
  /// whether anything changed.
  bool Expire(TimePoint aNow);

  /// All endpoints that are assumed to exist, by id.
  ///
  /// If several share an address, only the one whose incarnation was listed
  /// last is returned: an endpoint that restarts with a new id leaves an entry
  /// that expires later.
  std::vector<EndpointInfo> Endpoints() const;

  /// Number of ignored entries that a former incarnation had written.
  std::uint64_t StaleReports() const { return mStaleReports; }

private:
  struct Entry
  {
    EndpointInfo mInfo;
    IncarnationTracker mEndpointIncarnation;
    std::optional<EndpointInfo> mFormerEntry; ///< of a former incarnation
    std::uint64_t mFirstRevision = 0;         ///< of this incarnation
    bool mIsExpired = false;
    TimePoint mRemoveAt; ///< set for an expired entry
  };

  bool IsInGracePeriod(TimePoint aNow) const;
  /// Handles an entry of a former incarnation; returns whether it newly reports
  /// that the endpoint leaves.
  bool PutFormer(Entry& aEntry, const EndpointInfo& aEndpoint);

  std::map<std::string, Entry, std::less<>> mEntries;
  TimePoint mLastOutage;
  TimePoint mLastContact; ///< last answer or failure of a call
  bool mHadOutage = false;
  std::uint64_t mStaleReports = 0;
};

} // namespace shuntjunction::state
