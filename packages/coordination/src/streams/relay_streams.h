#pragma once

// Private to coordination: what a relay knows of the software versions at which
// streams began.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/state/streams/listed_versions.h"
#include "shuntjunction/state/streams/stream_holders.h"
#include "shuntjunction/state/streams/stream_origin.h"

namespace shuntjunction::coordination {

/// Identifies a stream for all relays at which it may be resumed.
struct StreamKey
{
  std::string mService;
  state::StreamHash mStream = 0;
  state::Millis mLifetime{ 0 }; ///< for which it may be resumed
};

/// Records at which software version streams began, here and at companions, and
/// finds it again.
///
/// Companions hold records only while a service has, or lately had, endpoints
/// of several versions. Callers that do not name the request which began their
/// stream are in no record. For them, and after a restart of all processes, the
/// stored version history shows whether there was only one version.
/// Thread safety: none; owned by the traffic thread.
class RelayStreams
{
public:
  /// @param aDependencies  outlives this object
  /// @param aFreshness  of the view applied last; likewise
  RelayStreams(const RelayDependencies& aDependencies,
               const ViewFreshness& aFreshness);
  ~RelayStreams();
  RelayStreams(const RelayStreams&) = delete;
  RelayStreams& operator=(const RelayStreams&) = delete;

  /// Applies the endpoints of a view. When another version of a service
  /// appears, companions get the records of its streams that they do not have.
  void ApplyView(const RelayView& aView);

  /// Applies the freshness of the view: after a gap in the list, what was
  /// known of the versions before is not used.
  void ApplyFreshness();

  /// Applies the stored history of a service's versions; empty: there is none.
  void ApplyHistory(const std::string& aService,
                    const std::optional<state::VersionHistory>& aHistory);

  /// Has companions hold again, after a moment, the records that the one of a
  /// host held: it may be about to restart.
  void HandleHolderLost(const std::string& aHost);

  /// Records the version of a stream whose first event is about to be
  /// forwarded; waits for a companion to hold it and for the version to be in
  /// the stored history, if need be, and not for long.
  transport::Task<void> Record(StreamKey aStream, std::string aVersion);

  /// Finds the version at which a stream began; waits for companions only where
  /// this relay alone cannot know it.
  transport::Task<state::StreamLookup> Find(StreamKey aStream);

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::coordination
