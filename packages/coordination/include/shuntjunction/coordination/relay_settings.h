#pragma once

#include <string>

#include "shuntjunction/state/load_schedule.h"
#include "shuntjunction/state/relay_choice.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/state/window_budget.h"

/// Settings of a relay and of the companion of an engine behind relays.
namespace shuntjunction::coordination {

/// What a process before or beside the platform's endpoints is.
enum class FleetRole : std::uint8_t
{
  kRelay,     ///< takes callers' requests and passes them on by route
  kCompanion, ///< stands beside an engine and orders its weights
};

/// Names of FleetRole.
inline constexpr state::EnumNames<FleetRole, 2> kFleetRoleNames{
  { "relay", "companion" }
};

/// Time bounds that the platform's operator sets.
struct FleetBounds
{
  /// After a key's removal was accepted, no request with it may run.
  state::Millis mKeyRemoval{ 5000 };
  /// After an endpoint said that it leaves, no request may reach it.
  state::Millis mEndpointLeaving{ 2000 };
  /// From SIGTERM to SIGKILL.
  state::Millis mStopGrace{ 8000 };
  /// After newer weights were named, no request begins on older ones.
  state::Millis mWeightsLimit{ 10000 };
  /// What a team may use beyond its limit without harm, in the limit's unit.
  double mUsageTolerance = 0;
  state::WindowBudgetSettings mRetries{ 0.2, 56.0, state::Millis(10000) };
};

/// All settings of such a process.
struct FleetSettings
{
  std::string mName; ///< of the instance
  FleetRole mRole = FleetRole::kRelay;
  std::string mZone;      ///< availability zone
  std::string mListen;    ///< relay: for callers
  std::string mReadiness; ///< relay: for the balancer's checks
  std::string mReadinessPath;
  std::string mMetrics;    ///< for the metrics; empty: none
  std::string mPeerListen; ///< for the system's other processes
  /// For those that ask this process instead of the store; empty: none may.
  std::string mWatchListen;
  std::string mSecret;   ///< that they prove to each other
  std::string mPlatform; ///< of the store
  std::string mEngine;   ///< companion: the engine beside it
  std::int64_t mMemoryBytes = 256L * 1024 * 1024; ///< of this process
  std::int64_t mDescriptors = 4096; ///< that this process may hold
  FleetBounds mBounds;
  state::LoadScheduleSettings mLoadSchedule;
  state::RelayChoiceSettings mChoice;
};

} // namespace shuntjunction::coordination
