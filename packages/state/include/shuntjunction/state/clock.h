#pragma once

#include <chrono>
#include <cstdint>
#include <random>

/// Clocks and random numbers as interfaces, so that tests can run with a fixed
/// seed.
namespace shuntjunction::state {

/// A monotonic clock that keeps running while the machine is suspended.
///
/// The steady clock stops then: a machine that had been suspended for seconds
/// treated keys, lists and leases as still fresh, and held requests past their
/// deadlines for as long as it had slept.
///
/// Thread safety: may be read from any thread.
struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true; // NOLINT: a standard clock's name

  /// Time since boot.
  static time_point now() noexcept; // NOLINT: a standard clock's name
};

/// A point in time of the BootClock.
using TimePoint = BootClock::time_point;

/// Whole milliseconds.
using Millis = std::chrono::milliseconds;

/// Source of the current time.
///
/// Thread safety: all methods may be called from any thread.
class Clock
{
public:
  virtual ~Clock() = default;

  /// Monotonic time; does not stop while the process is paused or the machine
  /// is suspended.
  virtual TimePoint Now() const = 0;

  /// Milliseconds since the Unix epoch, for records that outlive a process.
  virtual std::int64_t WallMillis() const = 0;
};

/// The operating system's clocks.
class SystemClock final : public Clock
{
public:
  TimePoint Now() const override { return BootClock::now(); }

  std::int64_t WallMillis() const override
  {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Millis>(now).count();
  }
};

/// A clock that moves only when it is advanced.
///
/// Thread safety: none; for single-threaded tests and models.
class ManualClock final : public Clock
{
public:
  TimePoint Now() const override { return mNow; }

  std::int64_t WallMillis() const override
  {
    return std::chrono::duration_cast<Millis>(mNow.time_since_epoch()).count();
  }

  /// Moves the clock forward.
  void Advance(std::chrono::nanoseconds aStep)
  {
    mNow += std::chrono::duration_cast<TimePoint::duration>(aStep);
  }

private:
  TimePoint mNow = TimePoint(std::chrono::hours(1000));
};

/// Random number generator; each thread has its own.
using RandomSource = std::mt19937_64;

} // namespace shuntjunction::state
