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

constexpr std::string_view kPart = "weights";

/// Fencing numbers that one life of a process may use before they reach those
/// of the next revision.
constexpr std::uint64_t kFencesPerRevision = 1000000;

/// Between two looks at an engine that loads.
constexpr Millis kReportInterval{ 40 };

/// An order that got no answer is given again after this, unless the engine
/// has begun. Should the first still arrive, the engine refuses it: it has
/// taken another order since.
constexpr Millis kOrderPatience{ 60 };

/// Pause after a call that failed.
constexpr Millis kRetryPause{ 150 };

/// Longest wait without news.
constexpr Millis kIdleWait{ 60000 };

} // namespace

WeightsController::WeightsController(
  const WeightsControllerDependencies& aParts)
  : mParts(aParts)
  , mWake(aParts.mContext)
{
}

void
WeightsController::Start()
{
  transport::Spawn(mParts.mContext, Run());
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
  co_await TakeFence();
  while (true) {
    const auto task = NextTask();
    const auto now = mParts.mClock.Now();
    const auto close = mParts.mSettings.mLoadSchedule.mDrainLead;
    if (!task) {
      Tell(EnginePhase::kOpen);
      co_await WaitFor(kIdleWait);
    } else if (now < task->mFrom - close) {
      Tell(EnginePhase::kOpen);
      co_await WaitFor(std::chrono::ceil<Millis>(task->mFrom - close - now));
    } else if (now < task->mFrom) {
      Tell(EnginePhase::kClosing);
      co_await WaitFor(std::chrono::ceil<Millis>(task->mFrom - now));
    } else {
      Tell(EnginePhase::kLoading);
      co_await Carry(*task);
    }
  }
}

void
WeightsController::Tell(EnginePhase aPhase)
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
  mParts.mNews.SetState(engine);
}

transport::Task<void>
WeightsController::TakeFence()
{
  const std::string key =
    mParts.mCodec.ProcessPrefix() + mParts.mSettings.mName;
  std::random_device random;
  while (mFence == 0) {
    const auto before = co_await mParts.mPlatform.Read(key);
    if (before) {
      // A value that differs from any before: only a change raises the
      // revision.
      const std::string value = boost::json::serialize(
        boost::json::object{ { "role", "companion" }, { "life", random() } });
      const auto revision = co_await mParts.mPlatform.Write(
        key, value, *before ? (*before)->mRevision : 0);
      if (revision) {
        mFence = *revision * kFencesPerRevision;
        mParts.mLog.Write(EventLine(kPart, "fence").Add("fence", mFence));
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
    if (endpoint.mAddress == mParts.mSettings.mEngine &&
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
  if (!mReport || mReportedBy != aOwn.mId) {
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
  // An engine that started again may have older weights than its former life,
  // of which the list still tells.
  return mReport->mEndpointIncarnation == aOwn.mEndpointIncarnation
           ? std::max(aListed.mVersion, reported->mVersion)
           : reported->mVersion;
}

void
WeightsController::ApplyReport(const EngineReport& aReport)
{
  const auto* own = OwnEndpoint();
  if (own == nullptr) {
    return;
  }
  const bool isOther =
    !mReport || mReportedBy != own->mId ||
    mReport->mEndpointIncarnation != aReport.mEndpointIncarnation ||
    mReport->mModels != aReport.mModels;
  mReport = aReport;
  mReportedBy = own->mId;
  if (isOther) {
    mWake.cancel();
  }
}

std::optional<WeightsController::Task>
WeightsController::NextTask() const
{
  const auto* own = OwnEndpoint();
  if (own == nullptr) {
    return std::nullopt;
  }
  for (const auto& loaded : own->mModels) {
    const auto named = mView->mWeights.find(loaded.mName);
    if (named == mView->mWeights.end()) {
      continue;
    }
    const auto& news = named->second;
    const LatestWeights weights{ loaded.mName, news.Newest() };
    if (KnownVersion(*own, loaded) >= weights.mVersion) {
      continue;
    }
    const auto turn = state::LoadStartOf(
      news.mLoadOrder, own->mId, mParts.mSettings.mLoadSchedule);
    return Task{ own->mId,
                 weights,
                 news.NewestLearnedAt() + turn.value_or(Millis(0)) };
  }
  return std::nullopt;
}

transport::Task<void>
WeightsController::Carry(Task aTask)
{
  const auto report = co_await mParts.mEngine.Report();
  if (!report) {
    mParts.mLog.Write(EventLine(kPart, "report-failed")
                        .Add("error", report.error().Describe()));
    co_await transport::Sleep(kRetryPause);
    co_return;
  }
  ApplyReport(*report);
  const auto* own = OwnEndpoint();
  const auto loaded =
    own == nullptr ? 0 : KnownVersion(*own, { aTask.mWeights.mModel, 0 });
  if (loaded >= aTask.mWeights.mVersion) {
    mParts.mLog.Write(EventLine(kPart, "loaded")
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
  order.mHolder = mParts.mSettings.mName;
  order.mFence = ++mFence;
  order.mOrdersTaken = report->mOrdersTaken;
  const auto outcome = co_await mParts.mEngine.Order(order);
  mParts.mLog.Write(EventLine(kPart, "order")
                      .Add("endpoint", order.mEndpointId)
                      .Add("weights", order.mVersion)
                      .Add("fence", order.mFence)
                      .Add("outcome",
                           outcome ? kOrderOutcomeNames.Name(*outcome)
                                   : outcome.error().Describe()));
  const bool isUnknown =
    !outcome && outcome.error().mCode == ErrorCode::kTimeout;
  co_await transport::Sleep(isUnknown ? kOrderPatience : kReportInterval);
}

} // namespace shuntjunction::coordination
