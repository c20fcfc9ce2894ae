#pragma once

#include <cstdint>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/rollout/rollout.h"

/// How many requests a relay sends to the target version of a roll-out.
namespace shuntjunction::state {

/// The operator's bounds on roll-outs.
struct RolloutBounds
{
  /// Share of all requests to the service, between order and deadline, that may
  /// reach a version that proves bad.
  double mExposureShare = 0.1;
  /// Requests that may reach it beyond that share, over all relays.
  double mExposureSlack = 50;
  /// Time after the 50th bad answer of a version; later, it gets no requests.
  Millis mRollbackDeadline{ 5000 };
};

/// Versions that a request may be sent to.
enum class VersionChoice : std::uint8_t
{
  kAny,    ///< no order restricts the service
  kOld,    ///< any but the target version
  kTarget, ///< only the target version
};

/// Names of VersionChoice.
inline constexpr EnumNames<VersionChoice, 3> kVersionChoiceNames{
  { "any", "old", "target" }
};

/// One relay's part in the exposure of one order.
///
/// Each request is exposed by a draw of its own, so that the sum over all
/// relays follows the share without any message between them, whichever of them
/// restart, join or are cut off, and however few requests each has. The bound
/// exceeds the share of the canary by more than such a sum deviates.
/// Thread safety: none; owned by the traffic thread.
class RolloutExposure
{
public:
  /// Longest time without confirmation of the current step after which the
  /// relay sends nothing to a target version that is not completed.
  static constexpr Millis kLease{ 3000 };
  /// The same for a share beyond the bound, counted from the decider's own
  /// notice: at full share a tenth of a second exposes a tenth of what the
  /// bound allows in ten seconds.
  static constexpr Millis kRampLease{ 400 };

  explicit RolloutExposure(const RolloutBounds& aBounds);

  /// Chooses the version for a request that is about to be placed.
  ///
  /// @param aRollout  with the newest step that this relay knows
  /// @param aConfirmedAge  time since the step was last confirmed as current
  /// @param aNoticeAge  time since its decider last confirmed it
  /// @param aDraw  uniformly distributed in [0, 1)
  /// @param aIsRepeat  the request was sent before; it is not exposed again
  VersionChoice Choose(const Rollout& aRollout,
                       Millis aConfirmedAge,
                       Millis aNoticeAge,
                       double aDraw,
                       bool aIsRepeat) const;

  /// Counts a request that is being sent to the service.
  void NoteSent(bool aIsTarget);

  std::uint64_t Sent() const { return mSent; }
  std::uint64_t Exposed() const { return mExposed; }

private:
  RolloutBounds mBounds;
  std::uint64_t mSent = 0;
  std::uint64_t mExposed = 0;
};

} // namespace shuntjunction::state
