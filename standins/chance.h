#pragma once

#include <random>

/// Draws of the stand-ins.
namespace shuntjunction::standins {

/// Whether something happens that happens in a share of all cases.
///
/// Thread safety: none; draws from aRandom.
inline bool
Chance(std::mt19937_64& aRandom, double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom) < aShare;
}

} // namespace shuntjunction::standins
