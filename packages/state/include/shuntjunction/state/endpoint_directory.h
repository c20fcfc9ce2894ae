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

/// Shortest lifetime of an entry, unless the settings name another.
inline constexpr Millis kShortestEntryLifetime{ 1000 };

/// Keeps track of the listed endpoints across store outages.
///
/// An entry that is removed while the store works is dropped at once. An entry
/// that is removed during an outage, or shortly after it, may have expired only
/// because it could not be renewed; it is kept until kExpiredEntryGrace after
/// the outage. No entry expires in a shorter time than the shortest lifetime,
/// so that a call that fails between two that are answered is no outage.
/// Thread safety: none; owned by one thread.
class EndpointDirectory
{
public:
  /// @param aShortestLifetime  for which an entry exists that is not renewed
  explicit EndpointDirectory(Millis aShortestLifetime = kShortestEntryLifetime)
    : mShortestLifetime(aShortestLifetime)
  {
  }

  /// Applies a complete list.
  ///
  /// @pre     the answer that contained it was noted
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
  ///
  /// @pre  the answer that reported it was noted
  bool Remove(std::string_view aId, TimePoint aNow);

  /// Records that a call to the store failed; returns whether the store has
  /// been away for so long that entries may have expired.
  ///
  /// @param aSince  when the store may have gone away: when the call was made
  ///                if it timed out, otherwise when it failed
  bool NoteFailure(TimePoint aSince, TimePoint aNow);

  /// Records that the store answered; returns whether that ended an outage in
  /// which entries may have expired.
  ///
  /// The time of the outage does not count towards the grace period of expired
  /// entries, since no entry could be renewed. The time before it does count;
  /// otherwise one outage after the other would keep an endpoint that no longer
  /// exists forever.
  bool NoteAnswer(TimePoint aNow);

  /// Records that another process saw such an outage, which lasted until a time
  /// or longer.
  void NoteOutage(TimePoint aUntil);

  /// Applies the grace periods that have ended: drops expired entries, and
  /// accepts a former incarnation that is still the only one reported. Returns
  /// whether anything changed.
  bool Expire(TimePoint aNow);

  /// When the next grace period ends; empty if none is running.
  std::optional<TimePoint> NextRemoval(TimePoint aNow) const;

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

  /// Whether the store has been away for so long that entries may have expired.
  bool IsAway(TimePoint aNow) const;
  /// Until when an entry is kept that is removed now; empty if it is dropped.
  std::optional<TimePoint> GraceOf(TimePoint aNow) const;
  void ExtendGrace(TimePoint::duration aTime);
  /// Handles an entry of a former incarnation; returns whether it newly reports
  /// that the endpoint leaves.
  bool PutFormer(Entry& aEntry, const EndpointInfo& aEndpoint);

  std::map<std::string, Entry, std::less<>> mEntries;
  Millis mShortestLifetime;
  TimePoint mLastAnswer;
  /// When the store may have gone away; empty: the last call was answered.
  std::optional<TimePoint> mAwaySince;
  std::optional<TimePoint> mLastOutage; ///< until when the last one lasted
  std::uint64_t mStaleReports = 0;
};

} // namespace shuntjunction::state
