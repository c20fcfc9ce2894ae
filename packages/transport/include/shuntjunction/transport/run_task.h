#pragma once

#include <optional>
#include <utility>

#include "shuntjunction/transport/task.h"

/// Coroutines from code that is none.
namespace shuntjunction::transport {

/// Runs a coroutine to its end on a context of its own.
///
/// For command lines, tests and benchmarks; blocks the calling thread.
template<typename T>
T
RunTask(Task<T> aTask)
{
  asio::io_context context(1);
  std::optional<T> outcome;
  const auto run = [](Task<T> aInner,
                      std::optional<T>* aOutcome) -> Task<void> {
    *aOutcome = co_await std::move(aInner);
  };
  Spawn(context, run(std::move(aTask), &outcome));
  context.run();
  return std::move(*outcome);
}

} // namespace shuntjunction::transport
