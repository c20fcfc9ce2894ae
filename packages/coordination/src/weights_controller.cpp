#include "shuntjunction/coordination/weights_controller.h"

#include <algorithm>
#include <random>

#include <boost/json/serialize.hpp>

namespace shuntjunction::coordination {

using protocol::EnginePhase;
using state::ErrorCode;
using state::LatestWeights;
using state::Millis;

namespace {

constexpr std::string_view kComponent = "weights";

/// Fencing tokens per revision. A process must not use more before it restarts,
/// or they would overlap with those of the next revision.
constexpr std::uint64_t kFencesPerRevision = 1000000;

/// Interval between reports while the engine is loading.
constexpr Millis kReportInterval{ 40 };

/// Delay before an order without a response is sent again, unless the engine
/// has started loading. If the first order arrives later, the engine rejects
/// it, because it has accepted another order since.
constexpr Millis kOrderRetryDelay{ 60 };

/// Delay after a failed call.
constexpr Millis kRetryPause{ 150 };

/// Longest wait without a new view or report.
constexpr Millis kIdleWait{ 60000 };

} // namespace

WeightsController::WeightsController(
  const WeightsControllerDependencies& aDependencies)
  : mDependencies(aDependencies)
  , mWake(aDependencies.mContext)
{
}

void
WeightsController::Start()
{
  transport::Spawn(mDependencies.mContext, Run());
}

void
WeightsController::ApplyView(std::shared_ptr<const RelayView> aView)
{
  mView = std::move(aView);
  mWake.cancel();
}

transport::Task<void>
WeightsController::WaitFor(Millis aTime)
{
  mWake.expires_after(aTime);
  co_await mWake.async_wait(transport::kAsTuple);
}

transport::Task<void>
WeightsController::Run()
{
  while (true) {
    const auto task = NextTask();
    if (task && mFence == 0) {
      // As soon as an order is foreseen: the store may be away when it is due.
      // Most processes never give one.
      co_await AcquireFence();
      continue;
    }
    const auto now = mDependencies.mClock.Now();
    const auto drainLead = mDependencies.mSettings.mLoadSchedule.mDrainLead;
    if (!task) {
      ReportPhase(EnginePhase::kOpen);
      co_await WaitFor(kIdleWait);
    } else if (now < task->mStartAt - drainLead) {
      ReportPhase(EnginePhase::kOpen);
      co_await WaitFor(
        std::chrono::ceil<Millis>(task->mStartAt - drainLead - now));
    } else if (now < task->mStartAt) {
      ReportPhase(EnginePhase::kDraining);
      co_await WaitFor(std::chrono::ceil<Millis>(task->mStartAt - now));
    } else {
      ReportPhase(EnginePhase::kLoading);
      co_await CarryOut(*task);
    }
  }
}

void
WeightsController::ReportPhase(EnginePhase aPhase)
{
  const auto* own = OwnEndpoint();
  if (own == nullptr) {
    return;
  }
  EngineState engine;
  engine.mEndpoint = own->mId;
  engine.mPhase = aPhase;
  if (!own->mModels.empty()) {
    engine.mModel = own->mModels.front().mName;
    engine.mWeights = KnownVersion(*own, own->mModels.front());
  }
  mDependencies.mNews.SetState(engine);
}

transport::Task<void>
WeightsController::AcquireFence()
{
  const std::string key =
    mDependencies.mCodec.ProcessPrefix() + mDependencies.mSettings.mName;
  std::random_device random;
  while (mFence == 0) {
    const auto before = co_await mDependencies.mPlatform.Read(key);
    if (before) {
      // The value must differ from all earlier ones, since the revision
      // increases only if the value changes.
      const std::string value = boost::json::serialize(
        boost::json::object{ { "role", "companion" }, { "life", random() } });
      const auto revision = co_await mDependencies.mPlatform.Write(
        key, value, *before ? (*before)->mRevision : 0);
      if (revision) {
        mFence = *revision * kFencesPerRevision;
        mDependencies.mLog.Write(
          EventLine(kComponent, "fence").Add("fence", mFence));
        co_return;
      }
    }
    co_await transport::Sleep(kRetryPause);
  }
}

const state::EndpointInfo*
WeightsController::OwnEndpoint() const
{
  const state::EndpointInfo* own = nullptr;
  for (const auto& endpoint : mView->mEndpoints) {
    if (endpoint.mAddress == mDependencies.mSettings.mEngine &&
        (own == nullptr || own->mIsLeaving)) {
      own = &endpoint;
    }
  }
  return own;
}

std::uint64_t
WeightsController::KnownVersion(const state::EndpointInfo& aOwn,
                                const state::LoadedModel& aListed) const
{
  if (!mReport || mReportEndpointId != aOwn.mId) {
    return aListed.mVersion;
  }
  const auto& models = mReport->mModels;
  const auto reported =
    std::find_if(models.begin(), models.end(), [&](const auto& aModel) {
      return aModel.mName == aListed.mName;
    });
  if (reported == models.end()) {
    return aListed.mVersion;
  }
  // After a restart, an engine may have older weights than the endpoint list,
  // which still shows those from before the restart.
  return mReport->mEndpointIncarnation == aOwn.mEndpointIncarnation
           ? std::max(aListed.mVersion, reported->mVersion)
           : reported->mVersion;
}

bool
WeightsController::ApplyReport(const EngineReport& aReport)
{
  const auto* own = OwnEndpoint();
  if (own == nullptr) {
    return false;
  }
  const bool hasChanged =
    !mReport || mReportEndpointId != own->mId ||
    mReport->mEndpointIncarnation != aReport.mEndpointIncarnation ||
    mReport->mModels != aReport.mModels;
  mReport = aReport;
  mReportEndpointId = own->mId;
  if (hasChanged) {
    mWake.cancel();
  }
  return true;
}

std::optional<WeightsController::Task>
WeightsController::NextTask() const
{
  const auto* own = OwnEndpoint();
  if (own == nullptr) {
    return std::nullopt;
  }
  for (const auto& loaded : own->mModels) {
    const auto entry = mView->mWeights.find(loaded.mName);
    if (entry == mView->mWeights.end()) {
      continue;
    }
    const auto& history = entry->second.mHistory;
    const LatestWeights weights{ loaded.mName, history.Newest() };
    if (KnownVersion(*own, loaded) >= weights.mVersion) {
      continue;
    }
    const auto delay =
      state::LoadStartOf(entry->second.mLoadOrder,
                         own->mId,
                         mDependencies.mSettings.mLoadSchedule);
    return Task{ own->mId,
                 weights,
                 history.NewestLearnedAt() + delay.value_or(Millis(0)) };
  }
  return std::nullopt;
}

transport::Task<void>
WeightsController::CarryOut(Task aTask)
{
  const auto report = co_await mDependencies.mEngine.Report();
  if (!report) {
    mDependencies.mLog.Write(EventLine(kComponent, "report-failed")
                               .Add("error", report.error().Describe()));
    co_await transport::Sleep(kRetryPause);
    co_return;
  }
  ApplyReport(*report);
  const auto* own = OwnEndpoint();
  const auto loaded =
    own == nullptr ? 0 : KnownVersion(*own, { aTask.mWeights.mModel, 0 });
  if (loaded >= aTask.mWeights.mVersion) {
    mDependencies.mLog.Write(EventLine(kComponent, "loaded")
                               .Add("endpoint", aTask.mEndpointId)
                               .Add("weights", loaded));
    co_return;
  }
  if (report->mIsOrderRunning) {
    co_await transport::Sleep(kReportInterval);
    co_return;
  }
  LoadOrder order;
  order.mEndpointId = aTask.mEndpointId;
  order.mModel = aTask.mWeights.mModel;
  order.mVersion = aTask.mWeights.mVersion;
  order.mHolder = mDependencies.mSettings.mName;
  order.mFence = ++mFence;
  order.mOrdersAccepted = report->mOrdersAccepted;
  const auto outcome = co_await mDependencies.mEngine.Order(order);
  mDependencies.mLog.Write(EventLine(kComponent, "order")
                             .Add("endpoint", order.mEndpointId)
                             .Add("weights", order.mVersion)
                             .Add("fence", order.mFence)
                             .Add("outcome",
                                  outcome ? kOrderOutcomeNames.Name(*outcome)
                                          : outcome.error().Describe()));
  const bool isOutcomeUnknown =
    !outcome && outcome.error().mCode == ErrorCode::kTimeout;
  co_await transport::Sleep(isOutcomeUnknown ? kOrderRetryDelay
                                             : kReportInterval);
}

} // namespace shuntjunction::coordination
