#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "shuntjunction/coordination/config_feed.h"
#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/state/clock.h"

/// Deletes claims that are older than their retention.
namespace shuntjunction::coordination {

/// Settings of a ClaimSweeper.
struct ClaimSweeperSettings
{
  std::string mName; ///< of this companion
  state::Millis mRetention{ 24L * 3600 * 1000 };
};

/// Sweeps the companion's share of the shards, one after the other.
///
/// Each shard is looked at eight times in the retention. A shard whose list
/// or deletes fail waits for its next turn.
/// Thread safety: none; lives on the traffic thread.
class ClaimSweeper
{
public:
  /// @param aPlatform, aClock, aMetrics  outlive the sweeper
  ClaimSweeper(boost::asio::io_context& aContext,
               ClaimSweeperSettings aSettings,
               Platform& aPlatform,
               const state::Clock& aClock,
               Metrics& aMetrics);

  /// Starts to sweep; runs until the context stops.
  void Start();

  /// Takes the list of instances that came into force.
  void ApplyInstances(SharedInstances aInstances);

  /// Deletes the old claims of one shard.
  ///
  /// @return how many were deleted
  transport::Task<std::size_t> Sweep(std::size_t aShard);

private:
  transport::Task<void> Follow();

  boost::asio::io_context& mContext;
  ClaimSweeperSettings mSettings;
  Platform& mPlatform;
  const state::Clock& mClock;
  Metrics& mMetrics;
  Log mLog;
  SharedInstances mInstances =
    std::make_shared<const std::vector<state::InstanceInfo>>();
  std::vector<std::size_t> mTurns; ///< all shards, in this process's order
};

} // namespace shuntjunction::coordination
