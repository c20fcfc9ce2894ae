#pragma once

#include <cstdint>
#include <string_view>

#include "shuntjunction/state/rollout/rollout_decision.h"

/// A sequential test of the target version against the others.
namespace shuntjunction::state {

/// Settings of SequentialComparison.
struct ComparisonSettings
{
  /// Probability of calling a version bad that is as good as the others, over
  /// all looks at one order.
  double mFalseBad = 0.001;
  /// Probability of calling a version good that is worse by mMinHarm.
  double mFalseGood = 0.05;
  /// Difference in the share of bad answers that is not held against a version:
  /// its endpoints are cold and carry another load.
  double mTolerance = 0.05;
  /// Smallest difference that makes a version bad.
  double mMinHarm = 0.25;
  /// A request is slow if it takes longer than this share of those at the other
  /// versions by mSlowBuckets buckets of the histogram.
  double mSlowQuantile = 0.8;
  std::size_t mSlowBuckets = 1;
  /// Requests of a route at the other versions below which it is not judged.
  std::uint64_t mMinReference = 20;
};

/// Counts bad answers: failures, and answers that are slow compared with the
/// other versions on the same route.
///
/// Their share is tested by likelihood-ratio e-values, mixed over alternatives.
/// An e-value exceeds 1/a with probability a at most, however often and
/// whenever it is looked at (Ville's inequality; Ramdas et al., "Game-theoretic
/// statistics and safe anytime-valid inference", 2023). The share of the other
/// versions is replaced by an upper confidence limit. One endpoint of the
/// target that differs from its peers, such as a defective or cold one, is left
/// out.
///
/// Thread safety: const methods may be called from any thread.
class SequentialComparison final : public RolloutComparison
{
public:
  explicit SequentialComparison(const ComparisonSettings& aSettings = {});

  RolloutFinding Compare(const RolloutOutcomeTable& aOutcomes) const override;

  struct BadCount;    ///< private to the comparison
  struct RouteCounts; ///< the same

private:
  /// Logarithm of the e-value against the hypothesis that the target's share
  /// of bad answers is as low as tolerated.
  double EvidenceOfHarm(const RouteCounts& aCounts) const;

  ComparisonSettings mSettings;
};

} // namespace shuntjunction::state
