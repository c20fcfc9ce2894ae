#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "shuntjunction/coordination/backend.h"
#include "shuntjunction/coordination/companion.h"
#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/state/config_store.h"
#include "shuntjunction/state/order_machine.h"

/// Brings an engine in line with the configuration.
namespace shuntjunction::coordination {

/// Orders the companion's own engine to serve what the configuration names.
///
/// Before an order the companion takes no new work and waits for running
/// streams; state::OrderMachine decides by whose fencing number it may order.
///
/// Endpoints of one model change one third at a time, in an order that every
/// companion computes alike, so that the model is served throughout.
///
/// Thread safety: none; lives on the traffic thread.
class EngineReconciler
{
public:
  /// @param aSettings, aBackend, aCompanion, aPlatform, aMetrics  outlive it
  EngineReconciler(boost::asio::io_context& aContext,
                   const state::Settings& aSettings,
                   Backend& aBackend,
                   Companion& aCompanion,
                   Platform& aPlatform,
                   Metrics& aMetrics);

  /// Starts to reconcile; runs until the context stops.
  void Start();

  /// Takes a configuration that came into force.
  void ApplyConfig(std::shared_ptr<const state::ConfigSnapshot> aConfig);

private:
  transport::Task<void> Follow();
  transport::Task<void> Reconcile();
  transport::Task<void> WaitForStreams();
  transport::Task<bool> IsMyTurn(std::string aModel, std::uint32_t aWeights);
  transport::Task<bool> Run(state::OrderMachine& aMachine, BackendOrder aOrder);
  transport::Task<void> Give(BackendOrder aOrder);
  transport::Task<state::Result<state::StoredFence>> ReadFence();
  transport::Task<void> PauseAfterFailure();
  std::optional<BackendOrder> Wanted() const;
  bool IsInLine(const BackendOrder& aOrder) const;

  boost::asio::io_context& mContext;
  const state::Settings& mSettings;
  Backend& mBackend;
  Companion& mCompanion;
  Platform& mPlatform;
  Metrics& mMetrics;
  Log mLog;
  std::shared_ptr<const state::ConfigSnapshot> mConfig;
  state::RandomSource mRandom;
  std::string mFenceKey;
  std::optional<state::TimePoint> mWaitsSince;
};

} // namespace shuntjunction::coordination
