#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/state/config_store.h"
#include "shuntjunction/transport/frame_channel.h"

/// Keeps the configuration and the list of instances up to date.
namespace shuntjunction::coordination {

/// A configuration in force, ready to read and to pass on.
struct PublishedConfig
{
  std::shared_ptr<const state::ConfigSnapshot> mSnapshot;
  std::shared_ptr<const std::string> mText; ///< as ConfigStore::Serialize
};

/// Settings of a ConfigFeed.
struct ConfigFeedSettings
{
  std::string mName;               ///< of this instance
  std::string mSecret;             ///< shared by the system's processes
  std::vector<std::string> mPeers; ///< to ask when the platform is down
  state::Millis mWatchTimeout{ 30000 };
  state::Millis mRetryPause{ 500 }; ///< after a failed call; jittered
  bool mFollowsInstances = true;
};

/// Counts of what a feed met.
struct ConfigFeedCounters
{
  std::uint64_t mPlatformCalls = 0;
  std::uint64_t mPlatformErrors = 0;
  std::uint64_t mOlderRefused = 0; ///< answers older than what is in force
  std::uint64_t mGaps = 0;
  std::uint64_t mFromPeers = 0;
};

/// Follows the platform, and peers while the platform is down.
///
/// Thread safety: none; lives on the control thread. The callbacks are called
/// there too.
class ConfigFeed
{
public:
  using OnConfig = std::function<void(PublishedConfig)>;
  using OnInstances = std::function<void(std::vector<state::InstanceInfo>)>;

  /// @param aPlatform  outlives the feed
  ConfigFeed(boost::asio::io_context& aContext,
             const ConfigFeedSettings& aSettings,
             Platform& aPlatform,
             OnConfig aOnConfig,
             OnInstances aOnInstances);

  /// Starts to follow; runs until the context stops.
  void Start();

  /// Takes a configuration that a peer sent.
  void TakePeerText(const std::string& aText, const std::string& aPeer);

  /// Version in force.
  state::ConfigVersion Version() const { return mStore.Version(); }

  const ConfigFeedCounters& Counters() const { return mCounters; }

private:
  transport::Task<void> FollowConfig();
  transport::Task<void> FollowInstances();
  transport::Task<bool> ListAll();
  transport::Task<bool> WatchOnce();
  transport::Task<void> AskPeers();
  transport::Task<void> PauseAfterFailure();
  void Publish();
  void NoteOutcome(state::MergeOutcome aOutcome, std::uint64_t aRevision);

  boost::asio::io_context& mContext;
  ConfigFeedSettings mSettings;
  Platform& mPlatform;
  OnConfig mOnConfig;
  OnInstances mOnInstances;
  state::ConfigStore mStore;
  ConfigFeedCounters mCounters;
  transport::ChannelCounters mChannelCounters;
  state::RandomSource mRandom;
  Log mLog;
  bool mWasRestoreReported = false;
};

} // namespace shuntjunction::coordination
