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

/// Reconciles an engine with the configuration.
namespace shuntjunction::coordination {

/// Orders the companion's engine to serve the configured model and weights.
///
/// Before an order the companion pauses admission and waits for running
/// streams. state::OrderMachine acquires the fencing token that permits the
/// order.
///
/// The endpoints of a model are updated in three batches, so that the model
/// stays available. All companions compute the same batches.
///
/// Thread safety: none; used on the traffic thread.
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

  /// Starts reconciling; runs until the context stops.
  void Start();

  /// Applies a new configuration.
  void ApplyConfig(std::shared_ptr<const state::ConfigSnapshot> aConfig);

private:
  transport::Task<void> RunLoop();
  transport::Task<void> Reconcile();
  transport::Task<void> WaitForStreams();
  transport::Task<bool> IsBatchDue(std::string aModel, std::uint32_t aWeights);
  transport::Task<bool> RunOrderMachine(state::OrderMachine& aMachine,
                                        BackendOrder aOrder);
  transport::Task<void> SendOrder(BackendOrder aOrder);
  transport::Task<state::Result<state::StoredFence>> ReadFence();
  transport::Task<void> PauseAfterFailure();
  std::optional<BackendOrder> DesiredOrder() const;
  bool IsReconciled(const BackendOrder& aOrder) const;

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
  std::optional<state::TimePoint> mWaitingSince;
};

} // namespace shuntjunction::coordination
