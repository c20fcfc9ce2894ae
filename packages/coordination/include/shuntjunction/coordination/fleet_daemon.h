#pragma once

#include <functional>
#include <memory>

#include "shuntjunction/coordination/engine_control.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/relay_codec.h"
#include "shuntjunction/coordination/relay_settings.h"

/// A relay or a companion as a process.
namespace shuntjunction::coordination {

/// The adapter that a fleet process speaks through; all parts outlive it.
struct FleetAdapter
{
  Platform& mPlatform;
  const StoreCodec& mStoreCodec;
  const RelayCodec& mRelayCodec;
  /// Makes the control calls of an engine or part store.
  std::function<std::unique_ptr<EngineControl>(const state::Address&)>
    mMakeControl;
};

/// A fleet process: control thread, traffic thread, log, metrics, stop.
///
/// SIGTERM and SIGINT stop it in order; SIGHUP reads its settings again.
/// Thread safety: Start and Run are called once, from one thread.
class FleetDaemon
{
public:
  using Reload = std::function<state::Result<FleetSettings>()>;

  /// @param aReload  reads the settings file again
  FleetDaemon(const FleetSettings& aSettings,
              const FleetAdapter& aAdapter,
              Reload aReload);
  ~FleetDaemon();
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  /// Opens the ports and begins to work.
  state::Result<void> Start();

  /// Works until it was told to stop and has stopped.
  void Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace shuntjunction::coordination
