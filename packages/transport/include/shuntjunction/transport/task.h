#pragma once

#include <chrono>
#include <exception>
#include <functional>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "shuntjunction/state/clock.h"

/// Coroutines on Asio, as every part with sockets uses them.
namespace shuntjunction::transport {

namespace asio = boost::asio;

/// A coroutine that gives a T.
template<typename T>
using Task = asio::awaitable<T>;

/// A timer on the clock that goes on while the machine is suspended.
///
/// After a suspension it runs out with the next timer of its context that the
/// kernel ends: a context that must be in time again soon has one that ticks.
using Timer = asio::basic_waitable_timer<state::BootClock>;

/// Completion token: an operation gives its error code as a value.
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// Starts a coroutine that nobody waits for.
///
/// No exception may leave it; one that does is a defect and ends the process.
template<typename Executor>
void
Spawn(Executor& aExecutor, Task<void> aTask)
{
  asio::co_spawn(aExecutor, std::move(aTask), [](std::exception_ptr aError) {
    if (aError) {
      std::rethrow_exception(aError);
    }
  });
}

/// Waits for some time.
inline Task<void>
Sleep(std::chrono::nanoseconds aTime)
{
  Timer timer(co_await asio::this_coro::executor);
  timer.expires_after(aTime);
  co_await timer.async_wait(kAsTuple);
}

} // namespace shuntjunction::transport
