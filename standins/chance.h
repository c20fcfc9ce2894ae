#pragma once

#include <random>

/// Random draws for fault injection.
namespace shuntjunction::standins {

/// True with probability aShare.
///
/// Thread safety: none; advances aRandom.
inline bool
Chance(std::mt19937_64& aRandom, double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom) < aShare;
}

} // namespace shuntjunction::standins
