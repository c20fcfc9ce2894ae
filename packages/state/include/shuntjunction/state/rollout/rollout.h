#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"

/// Roll-outs: the move of a service's traffic to replicas of another software
/// version.
namespace shuntjunction::state {

/// State of a roll-out.
enum class RolloutState : std::uint8_t
{
  kRunning,
  kCompleted,  ///< all traffic goes to the target version
  kRolledBack, ///< no traffic goes to the target version
};

/// Names of RolloutState.
inline constexpr EnumNames<RolloutState, 3> kRolloutStateNames{
  { "running", "completed", "rolled-back" }
};

/// An operator's order to move a service's traffic to a target version.
struct RolloutOrder
{
  /// Identifies this order among all orders for the service: a digest of its
  /// content and of the creation of its object.
  std::uint64_t mId = 0;
  std::string mService;
  std::string mTargetVersion;
  Millis mWithin{ 0 }; ///< time until the outcome is due

  bool operator==(const RolloutOrder&) const = default;
};

/// Progress of an order, as the store holds it in the order's status.
struct RolloutStatus
{
  std::uint64_t mOrderId = 0;
  RolloutState mState = RolloutState::kRunning;
  std::string mTargetVersion;
  std::uint32_t mStep = 0; ///< increases with each change of mShare or mState
  double mShare = 0;       ///< of requests that go to the target version
  /// When the order was first seen, in Unix milliseconds.
  std::int64_t mStartedAtMillis = 0;
  std::string mReason; ///< figures that decided the last step, for operators

  bool operator==(const RolloutStatus&) const = default;
};

/// An order and its progress.
struct Rollout
{
  RolloutOrder mOrder;
  /// Empty until the first step of this order; the status of an earlier order
  /// is not used.
  std::optional<RolloutStatus> mStatus;
  std::uint64_t mRevision = 0; ///< platform revision of the object
  TimePoint mLearnedAt;        ///< when this process learned of the order
  TimePoint mStepLearnedAt;    ///< and of its current step

  /// Share of requests that goes to the target version.
  double Share() const;

  /// Whether an outcome is still due.
  bool IsRunning() const
  {
    return !mStatus || mStatus->mState == RolloutState::kRunning;
  }
};

/// Hash by which the companion that decides a service's roll-outs is chosen.
std::uint64_t
HashOfRollout(std::string_view aService);

/// A step, sent to relays by the companion that decided it.
struct RolloutNotice
{
  std::string mService;
  std::uint64_t mOrderId = 0;
  RolloutState mState = RolloutState::kRunning;
  std::uint32_t mStep = 0;
  double mShare = 0;

  bool operator==(const RolloutNotice&) const = default;
};

} // namespace shuntjunction::state
