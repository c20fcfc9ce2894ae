#pragma once

#include <optional>
#include <utility>

#include "shuntjunction/transport/task.h"

/// Running coroutines from synchronous code.
namespace shuntjunction::transport {

/// Runs a coroutine to its end, together with the context's other work.
///
/// Blocks the calling thread; for command-line tools, tests and benchmarks.
/// @param aContext  outlives everything that the coroutine leaves open, such as
///                  a client's idle connections, which belong to the context
template<typename T>
T
RunTask(asio::io_context& aContext, Task<T> aTask)
{
  std::optional<T> outcome;
  const auto run = [](Task<T> aInner,
                      std::optional<T>* aOutcome,
                      asio::io_context* aRunningContext) -> Task<void> {
    *aOutcome = co_await std::move(aInner);
    aRunningContext->stop();
  };
  Spawn(aContext, run(std::move(aTask), &outcome, &aContext));
  aContext.restart();
  aContext.run();
  return std::move(*outcome);
}

} // namespace shuntjunction::transport
