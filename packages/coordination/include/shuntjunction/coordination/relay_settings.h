#pragma once

#include <string>

#include "shuntjunction/state/endpoint_directory.h"
#include "shuntjunction/state/load_schedule.h"
#include "shuntjunction/state/relay_choice.h"
#include "shuntjunction/state/rollout/rollout_exposure.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/state/stream_backup.h"
#include "shuntjunction/state/topology.h"
#include "shuntjunction/state/window_budget.h"

/// Settings of a relay and of the companion of an engine behind relays.
namespace shuntjunction::coordination {

/// Role of a process in front of or beside the platform's endpoints.
enum class FleetRole : std::uint8_t
{
  kRelay,     ///< accepts callers' requests and forwards them by route
  kCompanion, ///< runs beside an engine and has it load weights
};

/// Names of FleetRole.
inline constexpr state::EnumNames<FleetRole, 2> kFleetRoleNames{
  { "relay", "companion" }
};

/// Bounds that the platform's operator sets.
struct FleetBounds
{
  /// Time after a key's removal was accepted; later, no request with it may
  /// run.
  state::Millis mKeyRevocationDeadline{ 5000 };
  /// Time after an endpoint announced that it leaves; later, no request may
  /// reach it.
  state::Millis mDrainDeadline{ 2000 };
  /// From SIGTERM to SIGKILL.
  state::Millis mStopGrace{ 8000 };
  /// Time after newer weights were announced; later, no request begins on older
  /// ones.
  state::Millis mOldWeightsDeadline{ 10000 };
  /// Tolerated usage beyond a team's limit, in the limit's unit.
  double mUsageTolerance = 0;
  state::WindowBudgetSettings mRetries{ 0.2, 56.0, state::Millis(10000) };
  state::RolloutBounds mRollouts;
};

/// All settings of a relay or companion.
struct FleetSettings
{
  std::string mName; ///< name of the instance
  FleetRole mRole = FleetRole::kRelay;
  std::string mZone; ///< availability zone
  state::Topology mTopology;
  /// Whether operators may order roll-outs; if not, none are looked for.
  bool mHasRollouts = false;
  std::string mListen;    ///< relay: address for callers
  std::string mReadiness; ///< relay: address for the load balancer's checks
  std::string mReadinessPath;
  std::string mMetrics;    ///< address for the metrics; empty: none
  std::string mPeerListen; ///< address for the system's other processes
  /// Address for processes that query this one instead of the store; empty:
  /// none may.
  std::string mWatchListen;
  /// Shared secret by which processes authenticate each other.
  std::string mSecret;
  std::string mPlatform; ///< address of the store
  /// Shortest time after which the store drops an entry that is not renewed.
  state::Millis mShortestEntryLifetime{ state::kShortestEntryLifetime };
  /// Whether the whole system starts for the first time.
  bool mIsFirstStart = false;
  std::string mEngine; ///< companion: address of the engine beside it
  /// Memory limit of this process.
  std::int64_t mMemoryBytes = 256L * 1024 * 1024;
  /// File descriptors that this process may hold.
  std::int64_t mDescriptors = 4096;
  FleetBounds mBounds;
  state::LoadScheduleSettings mLoadSchedule;
  state::RelayChoiceSettings mChoice;
  state::StreamBackupSettings mStreamBackup;
};

} // namespace shuntjunction::coordination
