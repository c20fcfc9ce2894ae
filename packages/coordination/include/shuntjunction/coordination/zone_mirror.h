#pragma once

#include <memory>

#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/coordination/relay_settings.h"
#include "shuntjunction/coordination/snapshot_server.h"
#include "shuntjunction/coordination/mirrored_platform.h"

/// Mirroring of the platform's store within an availability zone.
namespace shuntjunction::coordination {

/// Derives the settings of a MirroredPlatform from those of the process.
///
/// Thread safety: pure.
MirroredPlatformSettings
MakeMirroredPlatformSettings(const FleetSettings& aSettings,
                             const StoreCodec& aCodec);

/// Both sides of the mirroring: reads the store through the zone's watchers,
/// and serves other processes if this process is a watcher.
///
/// Thread safety: none; used on the thread of its context.
class ZoneMirror
{
public:
  /// @param aStore, aClock, aLog  outlive this
  ZoneMirror(transport::asio::io_context& aContext,
             const MirroredPlatformSettings& aSettings,
             Platform& aStore,
             const state::Clock& aClock,
             EventLog& aLog);

  /// The store, read through a watcher or directly; used for all access of this
  /// process.
  MirroredPlatform& Store() { return mPlatform; }

  /// The mirror that this process's feed fills.
  state::ObjectMirror& Mirror() { return mMirror; }

  /// Starts querying watchers, once any are known.
  void Start();

  /// Starts serving requests of other processes; while there are any, the feed
  /// follows the store for them too.
  ///
  /// @param aFeed  outlives this; reads from Store and fills Mirror
  /// @return the address with the port that was assigned
  state::Result<state::Address> Serve(const state::Address& aAddress,
                                      RelayFeed& aFeed);

  /// Sets the endpoints, from which the zone's watchers are derived.
  void ApplyEndpoints(const std::vector<state::EndpointInfo>& aEndpoints);

private:
  protocol::SnapshotReply HandleRequest(
    RelayFeed& aFeed,
    const protocol::SnapshotRequest& aRequest);
  transport::Task<void> StopWatchingWhenIdle(RelayFeed* aFeed);

  transport::asio::io_context& mContext;
  transport::ChannelIdentity mIdentity;
  const state::Clock& mClock;
  EventLog& mLog;
  state::ObjectMirror mMirror;
  MirroredPlatform mPlatform;
  std::unique_ptr<SnapshotServer> mServer;
};

} // namespace shuntjunction::coordination
