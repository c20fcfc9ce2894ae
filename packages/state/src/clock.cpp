#include "shuntjunction/state/clock.h"

#include <ctime>

namespace shuntjunction::state {

BootClock::time_point
BootClock::now() noexcept
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now); // Cannot fail: the clock exists.
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace shuntjunction::state
