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

/// Instances as a list that is never changed after it was published.
using SharedInstances = std::shared_ptr<const std::vector<state::InstanceInfo>>;

/// What is in force, ready to read and to pass on to a peer.
struct PublishedConfig
{
  std::shared_ptr<const state::ConfigSnapshot> mSnapshot =
    std::make_shared<const state::ConfigSnapshot>();
  SharedInstances mInstances =
    std::make_shared<const std::vector<state::InstanceInfo>>();
  std::uint64_t mInstancesRevision = 0;     ///< of mInstances
  std::shared_ptr<const std::string> mText; ///< null before the first
  std::shared_ptr<const std::string> mInstancesText;
  std::shared_ptr<const state::RecentChanges> mRecent;

  /// Version in force.
  std::uint64_t Version() const { return mSnapshot->mVersion.Packed(); }

  /// Asks a peer for what is newer than this.
  protocol::SnapshotRequest RequestNewer() const
  {
    return { Version(), mInstancesRevision };
  }

  /// Answer to a peer that asks for what is newer than it has.
  protocol::SnapshotReply ReplyTo(const protocol::SnapshotRequest& aHave) const;
};

/// Passes a peer's snapshot on to the control thread.
using PeerSnapshotHandler =
  std::function<void(protocol::SnapshotReply, std::string)>;

/// Settings of a ConfigFeed.
struct ConfigFeedSettings
{
  std::string mName;               ///< of this instance
  std::string mSecret;             ///< shared by the system's processes
  std::string mZone;               ///< availability zone
  std::vector<std::string> mPeers; ///< to ask when the platform is down
  state::WatcherSettings mWatchers;
  state::Millis mWatchTimeout{ 30000 };
  state::Millis mRetryPause{ 500 }; ///< after a failed call; jittered
};

/// Counts of what a feed met.
struct ConfigFeedCounters
{
  std::uint64_t mPlatformCalls = 0;
  std::uint64_t mPlatformErrors = 0;
  std::uint64_t mStaleAnswers = 0; ///< answers older than what is in force
  std::uint64_t mGaps = 0;
  std::uint64_t mFromPeers = 0;
  std::uint64_t mWatcherQueries = 0;
  std::uint64_t mUnansweredRounds = 0; ///< rounds in which none answered
  std::uint64_t mPeerBytes = 0;        ///< both ways, in frames
};

/// Follows the platform, or those who follow it.
///
/// In a large fleet a few companions of each availability zone watch the
/// platform; all others ask one of them, another each time, and hear of new
/// versions in-band besides. Where none of them answers, a process watches
/// itself. Who watches asks a companion now and then as well, since one that is
/// cut off silently learns of it only when its watch ends. While the platform
/// is down, the peers of the settings are asked.
///
/// Thread safety: none; lives on the control thread. The callback is called
/// there too.
class ConfigFeed
{
public:
  using OnConfig = std::function<void(PublishedConfig)>;

  /// @param aPlatform  outlives the feed
  ConfigFeed(boost::asio::io_context& aContext,
             const ConfigFeedSettings& aSettings,
             Platform& aPlatform,
             OnConfig aOnConfig);

  /// Starts to follow; runs until the context stops.
  void Start();

  /// Takes a configuration that a peer sent.
  void ApplyPeerSnapshot(const protocol::SnapshotReply& aReply,
                         const std::string& aPeer);

  /// Version in force.
  state::ConfigVersion Version() const { return mStore.Version(); }

  /// What it met so far.
  ConfigFeedCounters Counters() const;

  /// Whether this process watches the platform itself.
  bool IsWatching() const { return !mHasWatchers; }

private:
  transport::Task<void> FollowConfig();
  transport::Task<void> FollowInstances();
  transport::Task<bool> ListAll();
  transport::Task<bool> WatchOnce();
  transport::Task<bool> IsEpochCurrent();
  transport::Task<void> QueryPeers();
  transport::Task<bool> QueryWatchers();
  transport::Task<void> FollowCompanions();
  transport::Task<bool> Ask(SnapshotClient& aClient, std::string aAddress);
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
  SnapshotClient mPeers;             ///< used by FollowConfig
  SnapshotClient mCompanions;        ///< used by FollowCompanions
  bool mNeedsFullSnapshot = false;   ///< a peer's changes did not fit
  std::uint64_t mRefusedVersion = 0; ///< of a peer with an older snapshot
  bool mHasWatchers = false;         ///< one answered the last question
  state::RandomSource mRandom;
  Log mLog;
  bool mWasRestoreReported = false;
};

} // namespace shuntjunction::coordination
