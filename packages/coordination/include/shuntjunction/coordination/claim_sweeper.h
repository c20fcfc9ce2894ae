#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "shuntjunction/coordination/config_feed.h"
#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/state/clock.h"

/// Deletes claims whose retention time has passed.
namespace shuntjunction::coordination {

/// Settings of a ClaimSweeper.
struct ClaimSweeperSettings
{
  std::string mName; ///< name of this companion
  state::Millis mRetention{ 24L * 3600 * 1000 };
};

/// Sweeps the claim shards assigned to this companion, one after the other.
///
/// Each shard is swept eight times per retention time. If listing or deleting
/// fails, the shard is retried in its next sweep.
/// Thread safety: none; used on the traffic thread.
class ClaimSweeper
{
public:
  /// @param aPlatform, aClock, aMetrics  outlive the sweeper
  ClaimSweeper(boost::asio::io_context& aContext,
               ClaimSweeperSettings aSettings,
               Platform& aPlatform,
               const state::Clock& aClock,
               Metrics& aMetrics);

  /// Starts sweeping; runs until the context stops.
  void Start();

  /// Sets the current list of instances, which determines the shard assignment.
  void ApplyInstances(SharedInstances aInstances);

  /// Deletes the expired claims of one shard.
  ///
  /// @return number of claims deleted
  transport::Task<std::size_t> Sweep(std::size_t aShard);

private:
  transport::Task<void> RunLoop();

  boost::asio::io_context& mContext;
  ClaimSweeperSettings mSettings;
  Platform& mPlatform;
  const state::Clock& mClock;
  Metrics& mMetrics;
  Log mLog;
  SharedInstances mInstances =
    std::make_shared<const std::vector<state::InstanceInfo>>();
  std::vector<std::size_t> mShardOrder; ///< all shards, in random order
};

} // namespace shuntjunction::coordination
