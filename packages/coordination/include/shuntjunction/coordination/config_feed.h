#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/snapshot_client.h"
#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/config_store.h"
#include "shuntjunction/state/watchers.h"

/// Keeps the configuration and the list of instances up to date.
namespace shuntjunction::coordination {

/// List of instances, immutable once published.
using SharedInstances = std::shared_ptr<const std::vector<state::InstanceInfo>>;

/// The active configuration, ready to read and to send to a peer.
struct PublishedConfig
{
  std::shared_ptr<const state::ConfigSnapshot> mSnapshot =
    std::make_shared<const state::ConfigSnapshot>();
  SharedInstances mInstances =
    std::make_shared<const std::vector<state::InstanceInfo>>();
  std::uint64_t mInstancesRevision = 0; ///< revision of mInstances
  /// Serialized configuration; null before the first.
  std::shared_ptr<const std::string> mText;
  std::shared_ptr<const std::string> mInstancesText;
  std::shared_ptr<const state::RecentChanges> mRecent;

  /// Version of the active configuration.
  std::uint64_t Version() const { return mSnapshot->mVersion.Packed(); }

  /// Request that asks a peer for anything newer than this.
  protocol::SnapshotRequest RequestNewer() const
  {
    return { Version(), mInstancesRevision };
  }

  /// Reply to a peer that asks for anything newer than it has.
  protocol::SnapshotReply ReplyTo(const protocol::SnapshotRequest& aHave) const;
};

/// Hands a peer's snapshot to the control thread.
using PeerSnapshotHandler =
  std::function<void(protocol::SnapshotReply, std::string)>;

/// Settings of a ConfigFeed.
struct ConfigFeedSettings
{
  std::string mName;               ///< name of this instance
  std::string mSecret;             ///< shared secret of the system's processes
  std::string mZone;               ///< availability zone
  std::vector<std::string> mPeers; ///< queried while the platform is down
  state::WatcherSettings mWatchers;
  state::Millis mWatchTimeout{ 30000 };
  state::Millis mRetryPause{ 500 }; ///< after a failed call; jittered
};

/// Counters of a ConfigFeed.
struct ConfigFeedCounters
{
  std::uint64_t mPlatformCalls = 0;
  std::uint64_t mPlatformErrors = 0;
  /// Answers older than the active configuration.
  std::uint64_t mStaleAnswers = 0;
  std::uint64_t mGaps = 0;
  std::uint64_t mFromPeers = 0;
  std::uint64_t mWatcherQueries = 0;
  std::uint64_t mUnansweredRounds = 0; ///< rounds in which no watcher answered
  std::uint64_t mPeerBytes = 0;        ///< sent and received, in frames
};

/// Follows the platform, directly or through processes that do.
///
/// In a large fleet a few companions of each availability zone watch the
/// platform. All other processes query one of them, a different one each time,
/// and also learn of new versions in-band. If none of them answers, a process
/// watches the platform itself. A process that watches also queries a companion
/// from time to time: if it is cut off silently, it would otherwise notice only
/// when its watch ends. While the platform is down, the peers from the settings
/// are queried.
///
/// Thread safety: none; used on the control thread. The callback is called
/// there too.
class ConfigFeed
{
public:
  using OnConfig = std::function<void(PublishedConfig)>;

  /// @param aPlatform  must outlive the feed
  ConfigFeed(boost::asio::io_context& aContext,
             const ConfigFeedSettings& aSettings,
             Platform& aPlatform,
             OnConfig aOnConfig);

  /// Starts following; runs until the context stops.
  void Start();

  /// Applies a configuration that a peer sent.
  void ApplyPeerSnapshot(const protocol::SnapshotReply& aReply,
                         const std::string& aPeer);

  /// Version of the active configuration.
  state::ConfigVersion Version() const { return mStore.Version(); }

  /// Counters since the start.
  ConfigFeedCounters Counters() const;

  /// Whether this process watches the platform itself.
  bool IsWatching() const { return !mHasWatchers; }

private:
  transport::Task<void> FollowConfig();
  transport::Task<void> FollowInstances();
  transport::Task<bool> ListAll();
  /// For which the platform may hold a watch.
  state::Millis WatchWait() const;
  transport::Task<bool> WatchOnce();
  transport::Task<bool> IsEpochCurrent();
  transport::Task<void> QueryPeers();
  transport::Task<bool> QueryWatchers();
  transport::Task<void> FollowCompanions();
  transport::Task<bool> QuerySnapshot(SnapshotClient& aClient,
                                      std::string aAddress);
  transport::Task<void> PauseBetweenQueries();
  bool IsWatcher() const;
  transport::Task<void> PauseAfterFailure();
  state::Millis Jittered(state::Millis aPause);
  void Publish();
  void LogActiveConfig() const;
  std::string InstancesText() const;
  bool ApplyPeerConfig(const std::string& aText, const std::string& aPeer);
  bool ApplyPeerInstances(const std::string& aText, const std::string& aPeer);
  void NoteOutcome(state::MergeOutcome aOutcome, std::uint64_t aRevision);

  boost::asio::io_context& mContext;
  ConfigFeedSettings mSettings;
  Platform& mPlatform;
  OnConfig mOnConfig;
  state::ConfigStore mStore;
  SharedInstances mInstances =
    std::make_shared<const std::vector<state::InstanceInfo>>();
  std::uint64_t mInstancesRevision = 0;
  ConfigFeedCounters mCounters;
  SnapshotClient mPeers;      ///< used by FollowConfig
  SnapshotClient mCompanions; ///< used by FollowCompanions
  /// A peer's incremental changes did not apply.
  bool mNeedsFullSnapshot = false;
  std::uint64_t mRefusedVersion = 0; ///< offered by a peer, but not newer here
  bool mHasWatchers = false;         ///< one answered the last query
  state::RandomSource mRandom;
  Log mLog;
  bool mWasRestoreReported = false;
};

} // namespace shuntjunction::coordination
