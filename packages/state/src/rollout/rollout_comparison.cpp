#include "shuntjunction/state/rollout/rollout_comparison.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <set>
#include <vector>

namespace shuntjunction::state {

/// Requests and how many of them had a bad answer.
struct SequentialComparison::BadCount
{
  double mRequests = 0;
  double mBad = 0;

  BadCount& operator+=(const BadCount& aOther)
  {
    mRequests += aOther.mRequests;
    mBad += aOther.mBad;
    return *this;
  }
  BadCount& operator-=(const BadCount& aOther)
  {
    mRequests -= aOther.mRequests;
    mBad -= aOther.mBad;
    return *this;
  }
  double Share() const { return mRequests > 0 ? mBad / mRequests : 0; }
};

/// The counts of one route.
struct SequentialComparison::RouteCounts
{
  BadCount mReference;
  BadCount mTarget;
  std::map<std::uint64_t, BadCount> mByEndpoint; ///< of the target version

  /// The target's count without the endpoint with the most bad answers, unless
  /// it is the only one.
  BadCount WithoutWorst() const
  {
    if (mByEndpoint.size() < 2) {
      return mTarget;
    }
    const auto worst =
      std::max_element(mByEndpoint.begin(),
                       mByEndpoint.end(),
                       [](const auto& aOne, const auto& aTwo) {
                         return aOne.second.mBad < aTwo.second.mBad;
                       });
    auto rest = mTarget;
    rest -= worst->second;
    return rest;
  }
};

namespace {

using BadCount = SequentialComparison::BadCount;
using RouteCounts = SequentialComparison::RouteCounts;

/// Largest and smallest share that is used, so that logarithms stay finite.
constexpr double kMinShare = 0.001;
constexpr double kMaxShare = 0.999;

/// First bucket of the histogram that counts as slow.
std::size_t
SlowBucket(const RolloutOutcomes& aReference,
           const ComparisonSettings& aSettings)
{
  double answered = 0;
  for (const auto count : aReference.mLatency) {
    answered += count;
  }
  double below = 0;
  std::size_t bucket = 0;
  while (bucket < kRolloutLatencyBuckets) {
    below += aReference.mLatency[bucket];
    ++bucket;
    if (below >= aSettings.mSlowQuantile * answered) {
      break;
    }
  }
  return bucket + aSettings.mSlowBuckets - 1;
}

BadCount
CountBad(const RolloutOutcomes& aOutcomes, std::size_t aSlowBucket)
{
  BadCount count{ static_cast<double>(aOutcomes.mRequests),
                  static_cast<double>(aOutcomes.mFailed) };
  for (auto i = aSlowBucket; i < kRolloutLatencyBuckets; ++i) {
    count.mBad += aOutcomes.mLatency[i];
  }
  return count;
}

/// Upper limit of a share at 2.5 standard deviations (Wilson).
double
UpperLimit(const BadCount& aCount)
{
  constexpr double kDeviations = 2.5;
  const double n = aCount.mRequests;
  const double z = kDeviations * kDeviations;
  const double center = aCount.mBad + z / 2;
  const double spread =
    kDeviations * std::sqrt(aCount.mBad * (n - aCount.mBad) / n + z / 4);
  return std::clamp((center + spread) / (n + z), kMinShare, kMaxShare);
}

/// Logarithm of the likelihood of a count at one share relative to another.
double
LogRatio(const BadCount& aCount, double aShare, double aReference)
{
  return aCount.mBad * std::log(aShare / aReference) +
         (aCount.mRequests - aCount.mBad) *
           std::log((1 - aShare) / (1 - aReference));
}

/// Logarithm of the e-value against the hypothesis that a share is at most
/// aLimit, mixed evenly over higher shares.
double
LogEvidenceAbove(const BadCount& aCount, double aLimit)
{
  constexpr int kAlternatives = 8;
  double sum = 0;
  for (int i = 1; i <= kAlternatives; ++i) {
    const double share =
      std::min(kMaxShare, aLimit + (1 - aLimit) * i / (kAlternatives + 1));
    sum += std::exp(LogRatio(aCount, share, aLimit));
  }
  return std::log(sum / kAlternatives);
}

/// The same against the hypothesis that a share is at least aLimit.
double
LogEvidenceBelow(const BadCount& aCount, double aLimit)
{
  constexpr int kAlternatives = 8;
  double sum = 0;
  for (int i = 0; i < kAlternatives; ++i) {
    const double share = std::max(kMinShare, aLimit * i / kAlternatives);
    sum += std::exp(LogRatio(aCount, share, aLimit));
  }
  return std::log(sum / kAlternatives);
}

std::map<std::uint64_t, RouteCounts>
CountByRoute(const RolloutOutcomeTable& aOutcomes,
             const ComparisonSettings& aSettings)
{
  std::map<std::uint64_t, RolloutOutcomes> references;
  for (const auto& [key, outcomes] : aOutcomes) {
    if (!key.mIsTarget) {
      references[key.mRoute] += outcomes;
    }
  }
  std::map<std::uint64_t, RouteCounts> routes;
  for (const auto& [route, reference] : references) {
    if (reference.mRequests < aSettings.mMinReference) {
      continue;
    }
    const auto slow = SlowBucket(reference, aSettings);
    auto& counts = routes[route];
    counts.mReference = CountBad(reference, slow);
    for (const auto& [key, outcomes] : aOutcomes) {
      if (key.mRoute == route && key.mIsTarget) {
        const auto count = CountBad(outcomes, slow);
        counts.mTarget += count;
        counts.mByEndpoint[key.mEndpoint] += count;
      }
    }
  }
  return routes;
}

std::string
Describe(std::string_view aWhat,
         const BadCount& aTarget,
         const BadCount& aReference,
         double aLogEvidence)
{
  std::array<char, 160> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.*s: %.0f of %.0f bad, others %.0f of %.0f, evidence %.1f",
                static_cast<int>(aWhat.size()),
                aWhat.data(),
                aTarget.mBad,
                aTarget.mRequests,
                aReference.mBad,
                aReference.mRequests,
                aLogEvidence);
  return text.data();
}

RolloutFinding
BadFinding(std::string_view aWhat,
           const RouteCounts& aCounts,
           double aLogEvidence)
{
  return {
    RolloutVerdict::kBad,
    Describe(aWhat, aCounts.mTarget, aCounts.mReference, aLogEvidence),
  };
}

} // namespace

SequentialComparison::SequentialComparison(const ComparisonSettings& aSettings)
  : mSettings(aSettings)
{
}

RolloutFinding
SequentialComparison::Compare(const RolloutOutcomeTable& aOutcomes) const
{
  const auto routes = CountByRoute(aOutcomes, mSettings);
  // One test for each route and one for all of them together.
  const double badLimit =
    std::log(static_cast<double>(routes.size() + 1) / mSettings.mFalseBad);
  RouteCounts all;
  double expected = 0;
  double badEvidence = std::numeric_limits<double>::lowest();
  for (const auto& [route, counts] : routes) {
    const double evidence = EvidenceOfHarm(counts);
    if (evidence >= badLimit) {
      return BadFinding("route " + std::to_string(route), counts, evidence);
    }
    badEvidence = std::max(badEvidence, evidence);
    all.mTarget += counts.mTarget;
    all.mReference += counts.mReference;
    for (const auto& [endpoint, count] : counts.mByEndpoint) {
      all.mByEndpoint[endpoint] += count;
    }
    expected += counts.mReference.Share() * counts.mTarget.mRequests;
  }
  if (all.mTarget.mRequests <= 0) {
    return { RolloutVerdict::kUndecided, "no requests at the target version" };
  }
  // The target's mix of routes decides what is expected of it.
  const double expectedShare = expected / all.mTarget.mRequests;
  all.mReference.mBad = expectedShare * all.mReference.mRequests;
  const double evidenceOfAll = EvidenceOfHarm(all);
  if (evidenceOfAll >= badLimit) {
    return BadFinding("all routes", all, evidenceOfAll);
  }
  badEvidence = std::max(badEvidence, evidenceOfAll);
  const double harmful =
    std::min(kMaxShare, expectedShare + mSettings.mMinHarm);
  const double evidence = LogEvidenceBelow(all.mTarget, harmful);
  const bool isGood = evidence >= std::log(1 / mSettings.mFalseGood);
  return { isGood ? RolloutVerdict::kGood : RolloutVerdict::kUndecided,
           Describe("all routes", all.mTarget, all.mReference, evidence),
           !isGood && badEvidence > evidence };
}

double
SequentialComparison::EvidenceOfHarm(const RouteCounts& aCounts) const
{
  if (aCounts.mTarget.mRequests <= 0) {
    return std::numeric_limits<double>::lowest();
  }
  const double limit =
    std::min(kMaxShare, UpperLimit(aCounts.mReference) + mSettings.mTolerance);
  return LogEvidenceAbove(aCounts.WithoutWorst(), limit);
}

} // namespace shuntjunction::state
