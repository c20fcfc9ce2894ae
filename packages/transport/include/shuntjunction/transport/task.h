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

/// Coroutine types and helpers on top of Asio.
namespace shuntjunction::transport {

namespace asio = boost::asio;

/// A coroutine that returns a T.
template<typename T>
using Task = asio::awaitable<T>;

/// A timer on a clock that keeps running while the machine is suspended.
///
/// After a suspension it expires only once the kernel ends the next timer of
/// the same context. A context that must catch up soon needs a periodic timer.
using Timer = asio::basic_waitable_timer<state::BootClock>;

/// Completion token: operations return their error code instead of throwing it.
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// Starts a detached coroutine.
///
/// An exception that leaves it is a defect and terminates the process.
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

/// Suspends the calling coroutine for some time.
inline Task<void>
Sleep(std::chrono::nanoseconds aTime)
{
  Timer timer(co_await asio::this_coro::executor);
  timer.expires_after(aTime);
  co_await timer.async_wait(kAsTuple);
}

} // namespace shuntjunction::transport
