#pragma once

#include <set>

#include "shuntjunction/state/clock.h"

/// Requests that wait behind all others, and whether one more shall join them.
namespace shuntjunction::state {

/// Settings of LateQueue.
struct LateQueueSettings
{
  /// Share of the objective that the longest waiting may have waited so far for
  /// another to join: beyond it, what comes in time takes all that is read. Of
  /// 770 requests that joined in a burst of six times the traffic, 66 were
  /// served. Half and twice as much differ by less than plays of equal code.
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
/// no more. In bursts of 6, 12 and 24 times the traffic, 4 s long, refusing it
/// at once left 435, 835 and 2,689 tries that ended at their deadline instead
/// of 1,566, 4,714 and 6,233, and callers got .545, .385 and .189 of what they
/// were owed instead of .489, .365 and .170 (one play each, equal seeds).
///
/// Thread safety: none.
class LateQueue
{
public:
  explicit LateQueue(const LateQueueSettings& aSettings = {});

  void Add(TimePoint aSentAt);

  /// @pre aSentAt was added and not removed since.
  void Remove(TimePoint aSentAt);

  /// Whether another would wait in vain.
  bool IsStuck(TimePoint aNow, Millis aObjective) const;

  /// When a refused caller shall come back.
  ///
  /// @param aExpected  when what waits now is read
  /// @param aDraw  0 to 1
  Millis ReturnAfter(Millis aExpected, double aDraw) const;

private:
  LateQueueSettings mSettings;
  std::multiset<TimePoint> mSent;
};

} // namespace shuntjunction::state
