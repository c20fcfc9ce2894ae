#pragma once

#include <random>

#include "shuntjunction/state/clock.h"

/// Pauses that many processes do not end together.
namespace shuntjunction::state {

/// A time between half of a pause and the whole of it: processes that lost a
/// peer together do not come back together.
///
/// Thread safety: pure but for aRandom.
inline Millis
JitteredPause(Millis aPause, RandomSource& aRandom)
{
  std::uniform_int_distribution<std::int64_t> spread(aPause.count() / 2,
                                                     aPause.count());
  return Millis(spread(aRandom));
}

} // namespace shuntjunction::state
