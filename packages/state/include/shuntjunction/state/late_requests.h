#pragma once

#include <set>

#include "shuntjunction/state/clock.h"

/// Requests that wait behind all others, and whether one more shall join them.
namespace shuntjunction::state {

/// Settings of LateRequests.
struct LateRequestsSettings
{
  /// Share of the objective that the longest waiting may have waited so far for
  /// another to join: beyond it, what comes in time takes all that is read.
  double mMostWait = 1.0;
  /// Refused callers come back after what waits now is read, and up to this
  /// share of it later, so that they don't come back together.
  double mReturnSpread = 1.0;
  Millis mFirstReturn{ 300 }; ///< no earlier than this
};

/// The requests at one engine that were sent behind those that can still meet
/// their objective, see UrgencyToSend, and have no first token yet.
///
/// They are served from what the others leave over. When that is nothing, one
/// more would wait until its deadline, in vain, and its caller could come back
/// no more. Refused at once, it can.
///
/// Thread safety: none.
class LateRequests
{
public:
  explicit LateRequests(const LateRequestsSettings& aSettings = {});

  void Add(TimePoint aSentAt);

  /// @pre aSentAt was added and not removed since.
  void Remove(TimePoint aSentAt);

  /// Whether another would wait in vain.
  bool IsStalled(TimePoint aNow, Millis aObjective) const;

  /// When a refused caller shall come back.
  ///
  /// @param aExpected  when what waits now is read
  /// @param aDraw  0 to 1
  Millis RetryDelay(Millis aExpected, double aDraw) const;

private:
  LateRequestsSettings mSettings;
  std::multiset<TimePoint> mSent;
};

} // namespace shuntjunction::state
