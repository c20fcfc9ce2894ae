#pragma once

#include <set>

#include "shuntjunction/state/clock.h"

/// Late requests at an engine, and whether to send another one there.
namespace shuntjunction::state {

/// Settings of LateRequests.
struct LateRequestsSettings
{
  /// Another late request is accepted until the oldest one has waited for this
  /// share of the objective. If it has waited longer, requests that are in time
  /// use up the engine's whole prefill capacity.
  double mMaxWait = 1.0;
  /// The retry delay of a refused caller is extended by a random share of up to
  /// this factor, so that callers don't retry all at once.
  double mRetryJitter = 1.0;
  Millis mMinRetryDelay{ 300 }; ///< before jitter
};

/// Requests at one engine that were demoted as late, see EffectiveUrgency, and
/// have no first token yet.
///
/// They are served with the capacity that other requests leave. If none is
/// left, another late request would only wait until its deadline, with no time
/// left for a retry. Its caller can retry if the request is refused at once.
///
/// Thread safety: none.
class LateRequests
{
public:
  explicit LateRequests(const LateRequestsSettings& aSettings = {});

  void Add(TimePoint aSentAt);

  /// @pre aSentAt was added and has not been removed since
  void Remove(TimePoint aSentAt);

  /// Whether another late request is unlikely to be served before its deadline.
  bool IsStalled(TimePoint aNow, Millis aObjective) const;

  /// Delay after which a refused caller should retry.
  ///
  /// @param aExpected  time until the queued tokens are prefilled
  /// @param aDraw  random number from 0 to 1
  Millis RetryDelay(Millis aExpected, double aDraw) const;

private:
  LateRequestsSettings mSettings;
  std::multiset<TimePoint> mSentTimes;
};

} // namespace shuntjunction::state
