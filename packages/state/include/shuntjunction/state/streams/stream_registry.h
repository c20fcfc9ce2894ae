#pragma once

#include "shuntjunction/state/streams/listed_versions.h"
#include "shuntjunction/state/streams/stream_origin.h"

namespace shuntjunction::state {

/// What a companion knows of streams: the records that relays had it hold, and
/// the versions that it has seen listed.
///
/// Thread safety: none; owned by one thread.
class StreamRegistry
{
public:
  explicit StreamRegistry(const StreamRecordSettings& aSettings)
    : mRecords(aSettings)
  {
  }

  /// Applies a list of endpoints.
  void Update(const std::vector<EndpointInfo>& aEndpoints, TimePoint aNow)
  {
    mVersions.Update(aEndpoints, aNow);
  }

  /// Notes that changes of the list before a time may have been missed.
  void FollowSince(TimePoint aTime) { mVersions.FollowSince(aTime); }

  /// Holds a record for its lifetime.
  void Note(const StreamRecord& aRecord, TimePoint aNow)
  {
    mRecords.Note(aRecord, aNow);
  }

  /// What is known of a stream.
  ///
  /// @param aLifetime  for which such a stream may be resumed
  OriginReply Find(StreamHash aStream,
                   std::string_view aService,
                   Millis aLifetime,
                   TimePoint aNow) const
  {
    return { mRecords.Find(aStream, aNow),
             mVersions.OnlyVersion(aService, aLifetime, aNow),
             mVersions.HasFollowedFor(aLifetime, aNow) };
  }

  /// Number of records that are held.
  std::size_t Size() const { return mRecords.Size(); }

private:
  StreamRecordTable mRecords;
  ListedVersions mVersions;
};

} // namespace shuntjunction::state
