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

/// Updates a companion's engine to the latest weights version.
namespace shuntjunction::coordination {

/// Dependencies of a WeightsController; all of them outlive it.
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

/// Sends load orders to one engine; only the engine's own companion does so.
///
/// Fencing tokens are derived from the revision of an object that the process
/// writes when it starts, so that they increase across restarts without local
/// storage.
/// Thread safety: none; used on the thread of its context.
class WeightsController
{
public:
  explicit WeightsController(
    const WeightsControllerDependencies& aDependencies);
  WeightsController(const WeightsController&) = delete;
  WeightsController& operator=(const WeightsController&) = delete;

  /// Starts updating the engine; runs until the context stops.
  void Start();

  /// Sets a newer view of the platform's objects.
  void ApplyView(std::shared_ptr<const RelayView> aView);

  /// Sets the engine's newest report; returns whether the engine is in the list
  /// of endpoints.
  bool ApplyReport(const EngineReport& aReport);

private:
  /// The weights that the engine is to load, and when.
  struct Task
  {
    std::string mEndpointId;
    state::LatestWeights mWeights;
    state::TimePoint mStartAt;
  };

  transport::Task<void> Run();
  transport::Task<void> AcquireFence();
  void ReportPhase(protocol::EnginePhase aPhase);
  std::optional<Task> NextTask() const;
  const state::EndpointInfo* OwnEndpoint() const;
  /// The newest version known from the endpoint list and the engine's report.
  std::uint64_t KnownVersion(const state::EndpointInfo& aOwn,
                             const state::LoadedModel& aListed) const;
  transport::Task<void> CarryOut(Task aTask);
  transport::Task<void> WaitFor(state::Millis aTime);

  WeightsControllerDependencies mDependencies;
  std::shared_ptr<const RelayView> mView = std::make_shared<RelayView>();
  transport::Timer mWake;
  std::uint64_t mFence = 0;
  /// The engine's last report; its entry in the endpoint list lags behind or
  /// may be from before a restart.
  std::optional<EngineReport> mReport;
  std::string mReportEndpointId; ///< endpoint id at the time of the report
};

} // namespace shuntjunction::coordination
