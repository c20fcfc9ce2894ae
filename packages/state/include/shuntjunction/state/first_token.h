#pragma once

#include <cstdint>

#include "shuntjunction/state/clock.h"

/// Estimate of a request's time to first token, and the urgency derived from
/// it.
namespace shuntjunction::state {

/// Settings of the estimate.
struct FirstTokenSettings
{
  /// Assumed prefill rate before the first observation, in tokens per
  /// millisecond: half of that of the slowest known engines. Too low a rate
  /// only makes requests count as late, which matters only where others wait,
  /// and there the rate is learned within a second.
  double mInitialRate = 20.0;
  double mMinRate = 1.0;    ///< observations are clamped to this range
  double mMaxRate = 1000.0; ///< in tokens per millisecond
  double mSmoothing = 0.1;  ///< weight of a new observation
  /// Prompts with fewer tokens are not observed: they take one step of the
  /// engine, whatever their length.
  std::int64_t mMinTokens = 2000;
  /// A request counts as late if its expected time to first token exceeds the
  /// objective by this factor. The estimate errs to both sides, and demoting a
  /// request that would have been in time costs more than not demoting one
  /// that is late anyway.
  double mLateThreshold = 1.2;
  /// Urgency levels by which a late request is demoted.
  int mLateDemotion = 5;
};

/// Prefill rate of engines, learned from the requests that they served.
///
/// Thread safety: none.
class PrefillRate
{
public:
  explicit PrefillRate(const FirstTokenSettings& aSettings);

  /// Records the first token of an answer.
  ///
  /// @param aTokens  prompt tokens queued ahead of the request, and its own
  /// @param aTook  time from sending the request to the first token
  void Note(std::int64_t aTokens, Millis aTook);

  double TokensPerMilli() const { return mRate; }

  /// Time to prefill a number of tokens.
  Millis TimeOf(std::int64_t aTokens) const;

private:
  FirstTokenSettings mSettings;
  double mRate;
};

/// Timing of a request that is about to be sent.
struct FirstTokenEstimate
{
  Millis mElapsed{ 0 };   ///< since its arrival
  Millis mExpected{ 0 };  ///< from now to its first token
  Millis mObjective{ 0 }; ///< from its arrival to its first token
  int mUrgency = 0;       ///< configured for its team or route
};

/// Urgency by which an engine shall order a request.
///
/// When more prompt tokens arrive than engines can prefill, first come, first
/// served makes every request late, and prefilling a late request takes as long
/// as prefilling any other. Requests that are expected to miss their objective
/// are therefore demoted behind those that can still meet it, and are served
/// with the capacity that is left.
///
/// Thread safety: pure.
int
EffectiveUrgency(const FirstTokenEstimate& aEstimate,
                 const FirstTokenSettings& aSettings);

} // namespace shuntjunction::state
