#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/coordination/relay_settings.h"
#include "shuntjunction/coordination/snapshot_server.h"
#include "shuntjunction/coordination/mirrored_platform.h"
#include "shuntjunction/state/start_phases.h"
#include "shuntjunction/state/start_plan.h"
#include "shuntjunction/state/usage_limit.h"

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
  using PhaseHandler = std::function<void(state::StartPhase)>;

  /// @param aStore, aClock, aLog  outlive this
  /// @param aOnPhase  called on the context's thread as this process starts
  ZoneMirror(transport::asio::io_context& aContext,
             const MirroredPlatformSettings& aSettings,
             Platform& aStore,
             const state::Clock& aClock,
             EventLog& aLog,
             PhaseHandler aOnPhase);

  /// The store, read through a watcher or directly; used for all access of this
  /// process.
  MirroredPlatform& Store() { return mPlatform; }

  /// The mirror that this process's feed fills.
  state::ObjectMirror& Mirror() { return mMirror; }

  /// Starts querying watchers, once any are known.
  void Start();

  /// Finds out whether watchers serve this process, as state::StartPlan
  /// decides, then starts the feed. Queries watchers from then on.
  ///
  /// @param aCodec, aFeed  outlive this; the feed reads from Store
  void Start(const StoreCodec& aCodec, RelayFeed& aFeed);

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
  /// Changes serialized for several processes.
  struct SharedChanges
  {
    std::uint64_t mSequence = 0; ///< of the mirror
    state::TimePoint mAt;        ///< up to when the objects' ages count
    std::string mText;           ///< empty: there are none
  };

  protocol::SnapshotReply HandleRequest(
    RelayFeed& aFeed,
    const protocol::SnapshotRequest& aRequest);
  /// All objects, unless others were sent so many that this process must wait.
  std::string WholeUpdate();
  /// Whether every prefix has been read.
  bool IsComplete() const;
  transport::Task<void> StopWatchingWhenIdle(RelayFeed* aFeed);
  transport::Task<void> Discover(const StoreCodec* aCodec, RelayFeed* aFeed);
  /// Reads the store's cached list of endpoints to find the zone's watchers.
  transport::Task<void> LookForWatchers(const StoreCodec* aCodec);

  transport::asio::io_context& mContext;
  transport::ChannelIdentity mIdentity;
  const state::Clock& mClock;
  EventLog& mLog;
  PhaseHandler mOnPhase;
  state::ObjectMirror mMirror;
  MirroredPlatform mPlatform;
  std::unique_ptr<SnapshotServer> mServer;
  SharedChanges mWhole;
  state::UsageBucket mWholeBytes; ///< what may be sent of whole mirrors
  std::optional<state::StartPlan> mStartPlan; ///< while this process starts
  transport::Timer mStartTimer;
  state::RandomSource mRandom;
};

} // namespace shuntjunction::coordination
