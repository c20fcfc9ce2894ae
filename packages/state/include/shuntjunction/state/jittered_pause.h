#pragma once

#include <random>

#include "shuntjunction/state/clock.h"

/// Randomized pauses, so that processes do not resume at the same time.
namespace shuntjunction::state {

/// Returns a random time between half the pause and the whole pause, so that
/// processes that lost a peer together do not reconnect together.
///
/// Thread safety: pure except for aRandom.
inline Millis
JitteredPause(Millis aPause, RandomSource& aRandom)
{
  std::uniform_int_distribution<std::int64_t> spread(aPause.count() / 2,
                                                     aPause.count());
  return Millis(spread(aRandom));
}

} // namespace shuntjunction::state
