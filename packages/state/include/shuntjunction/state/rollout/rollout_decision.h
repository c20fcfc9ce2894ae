#pragma once

#include <array>
#include <cstddef>
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
  /// Undecided, but the evidence that it is bad outweighs that it is good.
  bool mIsSuspect = false;
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
    const RolloutOutcomeTable& aOutcomes) const = 0;
};

/// Endpoints of a service that accept work.
struct RolloutEndpoints
{
  std::size_t mTarget = 0; ///< of the target version
  std::size_t mOther = 0;
  std::int64_t mTargetSlots = 0;
  std::int64_t mOtherSlots = 0;
};

/// Times and shares of the steps, as parts of the time that an order allows.
struct RolloutSchedule
{
  /// Largest share of the canary, as a part of the bound on exposure: the rest
  /// covers requests that are counted late.
  double mMaxCanaryPart = 0.8;
  /// Smallest share of the canary, for orders with little time.
  double mMinCanaryPart = 0.3;
  /// Part of the slack of the bound that the canary may use.
  double mSlackPart = 0.5;
  /// End of the canary; versions that turn bad later are found until then.
  double mCanaryEnd = 0.45;
  /// Shares of the steps after the canary.
  std::array<double, 3> mShares{ 0.25, 0.5, 1.0 };
  /// Shortest time at one of these steps: several reports of each relay.
  Millis mStepTime{ 600 };
  /// Time at the last step after which a bad version is halted at the latest.
  Millis mReactionTime{ 600 };
  /// Time before the deadline at which an outcome is written.
  Millis mFinalMargin{ 500 };
  /// Time before the bound on rolling back at which the canary of a suspect
  /// version is paused: covers reports, the decision and its way to the relays.
  Millis mPauseMargin{ 1000 };
  /// Slots of the target version, as a part of the share of the other versions'
  /// slots, below which a step waits.
  double mMinSlots = 0.5;
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
                 const RolloutSchedule& aSchedule,
                 const RolloutComparison& aComparison);

  /// @param aUnixMillis  wall-clock time, compared with the status's start
  RolloutDecision Decide(const Rollout& aRollout,
                         const RolloutEvidence& aEvidence,
                         const RolloutEndpoints& aEndpoints,
                         TimePoint aNow,
                         std::int64_t aUnixMillis) const;

private:
  struct Situation;

  /// Whether the canary must stop, though nothing is proved: the version is
  /// suspect, and if all its answers were bad the bound on rolling back would
  /// be near.
  bool MustPause(const Situation& aSituation) const;
  RolloutDecision Advance(const Situation& aSituation) const;
  RolloutDecision Finish(const Situation& aSituation) const;
  /// The next share; empty while the current one has to last.
  std::optional<double> NextShare(const Situation& aSituation) const;
  /// Share of the canary: what the bound leaves when the steps after it are
  /// subtracted, since a version may prove bad at the last of them.
  double CanaryShare(const Situation& aSituation) const;

  RolloutBounds mBounds;
  RolloutSchedule mSchedule;
  const RolloutComparison& mComparison;
};

} // namespace shuntjunction::state
