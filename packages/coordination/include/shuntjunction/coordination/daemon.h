#pragma once

#include <memory>

#include "shuntjunction/state/error.h"
#include "shuntjunction/state/settings.h"

/// A whole shuntjunctiond process.
namespace shuntjunction::coordination {

/// Addresses that a process listens on, with the ports that the kernel gave.
struct DaemonAddresses
{
  state::Address mTraffic; ///< callers or routers
  state::Address mAdmin;
};

/// One router or companion: a control thread and a traffic thread.
///
/// Thread safety: none, but for RequestStop.
class Daemon
{
public:
  explicit Daemon(const state::Settings& aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the sockets and starts both threads.
  state::Result<DaemonAddresses> Start();

  /// Begins a stop: no new work, and Wait returns when streams have ended.
  ///
  /// Thread safety: may be called from any thread.
  void RequestStop();

  /// Waits until the process has stopped; SIGTERM and SIGINT request it.
  void Wait();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace shuntjunction::coordination
