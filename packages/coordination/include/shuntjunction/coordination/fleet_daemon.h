#pragma once

#include <functional>
#include <memory>

#include "shuntjunction/coordination/engine_control.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/relay_codec.h"
#include "shuntjunction/coordination/relay_settings.h"

/// The process of a relay or of its engine companion.
namespace shuntjunction::coordination {

/// Platform-specific implementations that a fleet process uses; all of them
/// outlive it.
struct FleetAdapter
{
  Platform& mPlatform;
  const StoreCodec& mStoreCodec;
  const RelayCodec& mRelayCodec;
  /// Creates the control interface of an engine or part store.
  std::function<std::unique_ptr<EngineControl>(const state::Address&)>
    mMakeControl;
};

/// A relay or companion with its control and traffic threads, log and metrics.
///
/// SIGTERM and SIGINT request a graceful stop; SIGHUP reloads the settings.
/// Thread safety: Start and Run are called once, from the same thread.
class FleetDaemon
{
public:
  using Reload = std::function<state::Result<FleetSettings>()>;

  /// @param aReload  reloads the settings file
  FleetDaemon(const FleetSettings& aSettings,
              const FleetAdapter& aAdapter,
              Reload aReload);
  ~FleetDaemon();
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  /// Opens the listening sockets and starts the control thread.
  state::Result<void> Start();

  /// Runs the traffic thread's event loop until the process has stopped.
  void Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace shuntjunction::coordination
