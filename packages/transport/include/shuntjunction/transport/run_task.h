#pragma once

#include <optional>
#include <utility>

#include "shuntjunction/transport/task.h"

/// Coroutines from code that is none.
namespace shuntjunction::transport {

/// Runs a coroutine to its end, beside whatever else the context runs.
///
/// For command lines, tests and benchmarks; blocks the calling thread.
/// @param aContext  outlives all that the coroutine leaves open: a client keeps
///                  its connections, and they belong to this context
template<typename T>
T
RunTask(asio::io_context& aContext, Task<T> aTask)
{
  std::optional<T> outcome;
  const auto run = [](Task<T> aInner,
                      std::optional<T>* aOutcome,
                      asio::io_context* aRuns) -> Task<void> {
    *aOutcome = co_await std::move(aInner);
    aRuns->stop();
  };
  Spawn(aContext, run(std::move(aTask), &outcome, &aContext));
  aContext.restart();
  aContext.run();
  return std::move(*outcome);
}

} // namespace shuntjunction::transport
