#pragma once

#include <memory>
#include <optional>
#include <string>

#include "shuntjunction/coordination/engine_control.h"
#include "shuntjunction/coordination/engine_news.h"
#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/coordination/relay_settings.h"

/// Brings the engine beside a companion to the weights that were named.
namespace shuntjunction::coordination {

/// What a WeightsController is built from; all parts outlive it.
struct WeightsControllerDependencies
{
  transport::asio::io_context& mContext;
  const FleetSettings& mSettings;
  Platform& mPlatform;
  const StoreCodec& mCodec;
  EngineControl& mEngine;
  EngineNewsServer& mNews;
  const state::Clock& mClock;
  EventLog& mLog;
};

/// Orders one engine, alone: only the process beside an engine does.
///
/// Fencing numbers start from the revision of an object that each life of the
/// process writes first, so that they never fall although nothing is kept.
/// Thread safety: none; used on the thread of its context.
class WeightsController
{
public:
  explicit WeightsController(const WeightsControllerDependencies& aParts);
  WeightsController(const WeightsController&) = delete;
  WeightsController& operator=(const WeightsController&) = delete;

  /// Begins to keep the engine's weights.
  void Start();

  /// Takes a newer view of the platform's objects.
  void ApplyView(std::shared_ptr<const RelayView> aView);

  /// Takes what the engine just said of itself.
  void ApplyReport(const EngineReport& aReport);

private:
  /// What the engine is to load, and when.
  struct Task
  {
    std::string mEndpointId;
    state::LatestWeights mWeights;
    state::TimePoint mFrom;
  };

  transport::Task<void> Run();
  transport::Task<void> TakeFence();
  void Tell(protocol::EnginePhase aPhase);
  std::optional<Task> NextTask() const;
  const state::EndpointInfo* OwnEndpoint() const;
  /// The newest of what the list and the engine itself said.
  std::uint64_t KnownVersion(const state::EndpointInfo& aOwn,
                             const state::LoadedModel& aListed) const;
  transport::Task<void> Carry(Task aTask);
  transport::Task<void> WaitFor(state::Millis aTime);

  WeightsControllerDependencies mParts;
  std::shared_ptr<const RelayView> mView = std::make_shared<RelayView>();
  transport::Timer mWake;
  std::uint64_t mFence = 0;
  /// What the engine reported last; its listed entry lags behind, or is of a
  /// former life.
  std::optional<EngineReport> mReport;
  std::string mReportedBy; ///< id of the engine then
};

} // namespace shuntjunction::coordination
