#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/relay_config.h"

/// The endpoints that are listed, with care for a list that forgot some.
namespace shuntjunction::state {

/// How long after the list's return an entry that it lost is still believed.
///
/// Endpoints that live write their entries again within about two seconds.
inline constexpr Millis kLapseGrace{ 2000 };

/// Keeps the listed endpoints over outages of the list.
///
/// An entry that goes while the list works is gone at once. One that goes
/// while the list is away, or right after its return, may have lapsed only
/// because it could not be renewed: it stays until kLapseGrace after the
/// return.
/// Thread safety: none; owned by one thread.
class EndpointDirectory
{
public:
  /// Takes the whole list.
  ///
  /// @return whether it brought anything new
  bool TakeList(const std::vector<EndpointInfo>& aListed, TimePoint aNow);

  /// Takes a changed or new entry; whether it is new, or newer than before.
  bool Put(const EndpointInfo& aEndpoint);

  /// Takes the end of an entry; whether it was not known yet.
  bool Remove(std::string_view aId, TimePoint aNow);

  /// Notes that a call to the store failed.
  ///
  /// The time since its last answer does not count for the grace of lapsed
  /// entries: nobody could write one again. The time before does, or calls that
  /// fail now and then would keep an endpoint that is gone for good.
  void NoteOutage(TimePoint aNow);

  /// Notes that the store answered.
  void NoteAnswer(TimePoint aNow);

  /// Drops lapsed entries whose grace has passed; true when any went.
  bool Expire(TimePoint aNow);

  /// All endpoints that are believed to exist, by id.
  ///
  /// Of several at one address only the one that was listed last: a restarted
  /// endpoint has a new id, and the entry of its former life goes later.
  std::vector<EndpointInfo> Endpoints() const;

private:
  struct Entry
  {
    EndpointInfo mInfo;
    std::uint64_t mFirstRevision = 0;
    bool mIsLapsed = false;
    TimePoint mGoesAt; ///< of a lapsed entry
  };

  bool IsInGrace(TimePoint aNow) const;

  std::map<std::string, Entry, std::less<>> mEntries;
  TimePoint mLastOutage;
  TimePoint mLastWord; ///< the last answer, or failure, of a call
  bool mHadOutage = false;
};

} // namespace shuntjunction::state
