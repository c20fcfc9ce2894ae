#pragma once

#include <memory>

#include "shuntjunction/state/error.h"
#include "shuntjunction/state/settings.h"

/// The shuntjunctiond process.
namespace shuntjunction::coordination {

/// Addresses that a process listens on, with the ports that were assigned.
struct DaemonAddresses
{
  state::Address mTraffic; ///< for callers (router) or routers (companion)
  state::Address mAdmin;
};

/// A router or companion with a control thread and a traffic thread.
///
/// Thread safety: none, except for RequestStop.
class Daemon
{
public:
  explicit Daemon(const state::Settings& aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the listening sockets and starts both threads.
  state::Result<DaemonAddresses> Start();

  /// Begins a graceful stop: new requests are refused, and Wait returns once
  /// the running ones have finished.
  ///
  /// Thread safety: may be called from any thread.
  void RequestStop();

  /// Waits until the process has stopped; SIGTERM and SIGINT request a stop.
  void Wait();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace shuntjunction::coordination
