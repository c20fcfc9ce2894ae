#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "shuntjunction/state/rollout/rollout_evidence.h"
#include "shuntjunction/state/rollout/rollout_exposure.h"

/// Decides the steps of a roll-out from the evidence of all relays.
namespace shuntjunction::state {

/// Result of comparing the target version with the others.
enum class RolloutVerdict : std::uint8_t
{
  kUndecided,
  kGood,
  kBad,
};

/// Names of RolloutVerdict.
inline constexpr EnumNames<RolloutVerdict, 3> kRolloutVerdictNames{
  { "undecided", "good", "bad" }
};

/// A verdict and the figures behind it.
struct RolloutFinding
{
  RolloutVerdict mVerdict = RolloutVerdict::kUndecided;
  std::string mReason;
};

/// Compares failures and latency of the target version with those of the
/// others, route by route.
///
/// Thread safety: const methods may be called from any thread.
class RolloutComparison
{
public:
  virtual ~RolloutComparison() = default;

  /// Compares the outcomes so far; may be called as often as evidence arrives.
  virtual RolloutFinding Compare(
    const std::map<RolloutKey, RolloutOutcomes>& aOutcomes) const = 0;
};

/// Endpoints of a service that accept work.
struct RolloutEndpoints
{
  std::size_t mTarget = 0; ///< of the target version
  std::size_t mOther = 0;
  std::int64_t mTargetSlots = 0;
  std::int64_t mOtherSlots = 0;
};

/// What the decider does next.
struct RolloutDecision
{
  /// The status to write, on condition that the object is unchanged.
  std::optional<RolloutStatus> mStatus;
  /// Relays must stop using the target version before the status is written.
  bool mIsHalt = false;
};

/// Decides the next step of one order. It holds no state but the order's
/// status in the store and the relays' reports, so that any process that has
/// both decides alike.
///
/// Thread safety: const methods may be called from any thread.
class RolloutDecider
{
public:
  /// @param aComparison  outlives this
  RolloutDecider(const RolloutBounds& aBounds,
                 const RolloutComparison& aComparison);

  /// @param aUnixMillis  wall-clock time, compared with the status's start
  RolloutDecision Decide(const Rollout& aRollout,
                         const RolloutEvidence& aEvidence,
                         const RolloutEndpoints& aEndpoints,
                         TimePoint aNow,
                         std::int64_t aUnixMillis) const;

private:
  RolloutBounds mBounds;
  const RolloutComparison& mComparison;
};

} // namespace shuntjunction::state
