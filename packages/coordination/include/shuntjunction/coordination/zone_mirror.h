#pragma once

#include <memory>

#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/coordination/relay_settings.h"
#include "shuntjunction/coordination/snapshot_server.h"
#include "shuntjunction/coordination/mirrored_platform.h"

/// How a process of a zone and the zone's watchers tell each other of the
/// store.
namespace shuntjunction::coordination {

/// What a process's settings say of it.
///
/// Thread safety: pure.
MirroredPlatformSettings
MakeMirroredPlatformSettings(const FleetSettings& aSettings,
                             const StoreCodec& aCodec);

/// A process's end: the store as its watchers tell it, and answers to those who
/// ask this process.
///
/// Thread safety: none; used on the thread of its context.
class ZoneMirror
{
public:
  /// @param aStore  outlives this, as do clock and log
  ZoneMirror(transport::asio::io_context& aContext,
             const MirroredPlatformSettings& aSettings,
             Platform& aStore,
             const state::Clock& aClock,
             EventLog& aLog);

  /// The store, by a watcher or itself; for all that this process reads there.
  MirroredPlatform& Store() { return mPlatform; }

  /// Where this process's feed tells what the store holds.
  state::ObjectMirror& Mirror() { return mMirror; }

  /// Begins to ask watchers, once any are known.
  void Start();

  /// Begins to answer processes that ask this one; its feed then follows the
  /// store for them too.
  ///
  /// @param aFeed  outlives this; fed from Store, and feeds Mirror
  /// @return the address with the kernel's port
  state::Result<state::Address> Serve(const state::Address& aAddress,
                                      RelayFeed& aFeed);

  /// Takes the endpoints from which the watchers are known.
  void ApplyEndpoints(const std::vector<state::EndpointInfo>& aEndpoints);

private:
  protocol::SnapshotReply Answer(RelayFeed& aFeed,
                                 const protocol::SnapshotRequest& aRequest);
  transport::Task<void> EndWhenNobodyAsks(RelayFeed* aFeed);

  transport::asio::io_context& mContext;
  transport::ChannelIdentity mIdentity;
  const state::Clock& mClock;
  EventLog& mLog;
  state::ObjectMirror mMirror;
  MirroredPlatform mPlatform;
  std::unique_ptr<SnapshotServer> mServer;
};

} // namespace shuntjunction::coordination
