#pragma once

#include <deque>
#include <memory>
#include <optional>

#include "shuntjunction/transport/task.h"

/// A queue with one waiting coroutine.
namespace shuntjunction::transport {

/// Delivers values to one coroutine in FIFO order.
///
/// Thread safety: none; used on the thread of its executor.
template<typename T>
class Mailbox
{
public:
  explicit Mailbox(const asio::any_io_executor& aExecutor)
    : mTimer(aExecutor)
  {
  }

  /// Adds a value and wakes the waiting coroutine.
  void Push(T aValue)
  {
    mValues.push_back(std::move(aValue));
    mTimer.cancel();
  }

  /// Waits for the next value; empty when none arrives before aUntil.
  ///
  /// @pre  no other coroutine waits
  Task<std::optional<T>> Receive(state::TimePoint aUntil)
  {
    while (mValues.empty()) {
      mTimer.expires_at(aUntil);
      const auto [error] = co_await mTimer.async_wait(kAsTuple);
      if (!error && mValues.empty()) {
        co_return std::nullopt;
      }
    }
    std::optional<T> value(std::move(mValues.front()));
    mValues.pop_front();
    co_return value;
  }

  /// Number of queued values.
  std::size_t Size() const { return mValues.size(); }

private:
  Timer mTimer;
  std::deque<T> mValues;
};

} // namespace shuntjunction::transport
