#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/relay_config.h"

/// The endpoints that are listed, with care for a list that forgot some.
namespace shuntjunction::state {

/// How long after the list's return an entry that it lost is still believed.
///
/// Endpoints that live write their entries again within about two seconds.
inline constexpr Millis kExpiredEntryGrace{ 2000 };

/// Keeps the listed endpoints over outages of the list.
///
/// An entry that goes while the list works is gone at once. One that goes
/// while the list is away, or right after its return, may have lapsed only
/// because it could not be renewed: it stays until kExpiredEntryGrace after the
/// return.
/// Thread safety: none; owned by one thread.
class EndpointDirectory
{
public:
  /// Takes the whole list.
  ///
  /// @return whether it brought anything new
  bool MergeList(const std::vector<EndpointInfo>& aListed, TimePoint aNow);

  /// Takes a changed or new entry; whether it brought anything new.
  ///
  /// Of an entry that a former life wrote only its leaving counts: it costs a
  /// living endpoint its work for a heartbeat at most, and one that leaves gets
  /// none.
  bool Put(const EndpointInfo& aEndpoint, TimePoint aNow);

  /// Takes that an entry names no endpoint any more; whether one was known.
  ///
  /// It was overwritten, so that it cannot have lapsed, and goes at once.
  bool Drop(std::string_view aId);

  /// Takes the end of an entry; whether it was not known yet.
  bool Remove(std::string_view aId, TimePoint aNow);

  /// Notes that a call to the store failed, at a time that may be past.
  ///
  /// The time since its last answer does not count for the grace of lapsed
  /// entries: nobody could write one again. The time before does, or calls that
  /// fail now and then would keep an endpoint that is gone for good.
  void NoteOutage(TimePoint aNow);

  /// Notes that the store answered.
  void NoteAnswer(TimePoint aNow);

  /// Drops lapsed entries, and former lives, whose grace has passed; whether
  /// there were any.
  bool Expire(TimePoint aNow);

  /// All endpoints that are believed to exist, by id.
  ///
  /// Of several at one address only the one whose life was listed last: an
  /// endpoint that restarts under a new id leaves an entry that goes later.
  std::vector<EndpointInfo> Endpoints() const;

  /// Entries that were passed over as written by a former life.
  std::uint64_t StaleReports() const { return mStaleReports; }

private:
  struct Entry
  {
    EndpointInfo mInfo;
    IncarnationTracker mEndpointIncarnation;
    std::optional<EndpointInfo> mFormer; ///< what a former life wrote last
    std::uint64_t mFirstRevision = 0;    ///< of this life
    bool mIsLapsed = false;
    TimePoint mGoesAt; ///< of a lapsed entry
  };

  bool IsInGrace(TimePoint aNow) const;
  /// Takes what a former life wrote; whether it leaves.
  bool PutFormer(Entry& aEntry, const EndpointInfo& aEndpoint);

  std::map<std::string, Entry, std::less<>> mEntries;
  TimePoint mLastOutage;
  TimePoint mLastWord; ///< the last answer, or failure, of a call
  bool mHadOutage = false;
  std::uint64_t mStaleReports = 0;
};

} // namespace shuntjunction::state
