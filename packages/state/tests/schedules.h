#pragma once

#include <cstdint>
#include <random>
#include <vector>

/// Random schedules for searches with fixed seeds.
namespace shuntjunction::state::history {

/// Runs a function on a number of random schedules of 160 bytes.
template<typename Function>
void
ForEachSchedule(int aCount, Function aRun)
{
  constexpr std::size_t kScheduleBytes = 160;
  for (int seed = 0; seed < aCount; ++seed) {
    std::mt19937 random(static_cast<unsigned>(seed));
    std::vector<std::uint8_t> schedule(kScheduleBytes);
    for (auto& step : schedule) {
      step = static_cast<std::uint8_t>(random());
    }
    aRun(schedule);
  }
}

} // namespace shuntjunction::state::history
