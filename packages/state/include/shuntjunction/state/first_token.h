#pragma once

#include <cstdint>

#include "shuntjunction/state/clock.h"

/// When a request's first token is expected, and how urgent that makes it.
namespace shuntjunction::state {

/// Settings of the estimate.
struct FirstTokenSettings
{
  /// Tokens that an engine reads in a millisecond, before any was observed:
  /// half of what the slowest known engines read. Too little only makes
  /// requests count as late, which matters where others wait, and there it is
  /// learned within a second.
  double mStartRate = 20.0;
  double mMinRate = 1.0;       ///< what is observed is bounded by these
  double mMaxRate = 1000.0;    ///< tokens a millisecond
  double mLearningShare = 0.1; ///< weight of a new observation
  /// Shorter prompts take as long as a step of the engine does, whatever they
  /// hold.
  std::int64_t mLeastTokens = 2000;
  /// Share of the objective beyond which a request counts as late. The estimate
  /// errs to both sides, and one that is put behind although it could have been
  /// in time loses more than one that keeps its place in vain.
  double mOnTimeShare = 1.2;
  /// Levels by which a request is less urgent once it is expected to be late.
  int mLateLevels = 5;
};

/// How fast engines read prompts, learned from the requests that they served.
///
/// Thread safety: none.
class PrefillRate
{
public:
  explicit PrefillRate(const FirstTokenSettings& aSettings);

  /// Notes an answer's first token.
  ///
  /// @param aTokens  that waited before the request, and its own
  /// @param aTook  from its sending
  void Note(std::int64_t aTokens, Millis aTook);

  double TokensPerMilli() const { return mRate; }

  /// How long it takes to read so many tokens.
  Millis TimeOf(std::int64_t aTokens) const;

private:
  FirstTokenSettings mSettings;
  double mRate;
};

/// What is known of a request when it is to be sent.
struct FirstTokenAsk
{
  Millis mElapsed{ 0 };   ///< since its arrival
  Millis mExpected{ 0 };  ///< from now to its first token
  Millis mObjective{ 0 }; ///< from its arrival to its first token
  int mUrgency = 0;       ///< of its team or route
};

/// The urgency by which an engine shall order a request.
///
/// When more arrives than engines read, first come, first served makes every
/// request late, and one that is late takes as long to read as one that is not.
/// Requests that are expected to miss their objective therefore go behind those
/// that can still meet it, and are served by what these leave over.
/// Thread safety: pure.
int
EffectiveUrgency(const FirstTokenAsk& aAsk,
                 const FirstTokenSettings& aSettings);

} // namespace shuntjunction::state
