#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"

/// How far a process has come since it started.
namespace shuntjunction::state {

/// What a process reaches on its way to serving, in the usual order.
enum class StartPhase : std::uint8_t
{
  kWatchersFound, ///< the zone's watchers are known
  kSourceFound,   ///< the store's objects are read, from the store or a watcher
  kConfigKnown,
  kEndpointsKnown,
  kReady, ///< the relay reports that it is ready
};

/// Names of StartPhase.
inline constexpr EnumNames<StartPhase, 5> kStartPhaseNames{ { "watchers_found",
                                                              "source_found",
                                                              "config_known",
                                                              "endpoints_known",
                                                              "ready" } };

/// Times at which a process reached each phase for the first time.
///
/// Thread safety: all methods may be called from any thread.
class StartPhases
{
public:
  /// @param aStart  when the process started
  explicit StartPhases(TimePoint aStart)
    : mStart(aStart)
  {
  }

  /// Records that a phase is reached.
  ///
  /// @return the time since the start if this is the first time, else nothing
  std::optional<Millis> Reach(StartPhase aPhase, TimePoint aNow)
  {
    const auto elapsed = std::chrono::duration_cast<Millis>(aNow - mStart);
    auto expected = kNotReached;
    auto& reached = mReached[static_cast<std::size_t>(aPhase)];
    if (!reached.compare_exchange_strong(expected, elapsed.count())) {
      return std::nullopt;
    }
    return elapsed;
  }

  /// When a phase was reached, as time since the start.
  std::optional<Millis> ReachedAt(StartPhase aPhase) const
  {
    const auto elapsed = mReached[static_cast<std::size_t>(aPhase)].load();
    return elapsed == kNotReached ? std::nullopt
                                  : std::optional(Millis(elapsed));
  }

private:
  static constexpr std::int64_t kNotReached = -1;

  TimePoint mStart;
  std::array<std::atomic<std::int64_t>, kStartPhaseNames.Size()>
    mReached{ kNotReached, kNotReached, kNotReached, kNotReached, kNotReached };
};

} // namespace shuntjunction::state
