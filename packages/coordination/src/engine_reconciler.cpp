#include "shuntjunction/coordination/engine_reconciler.h"

#include <algorithm>
#include <vector>

#include <boost/json/object.hpp>

#include "shuntjunction/coordination/status_writer.h"
#include "shuntjunction/state/digest.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

namespace json = boost::json;
using state::Millis;
using state::OrderStep;
using state::Result;
using transport::Task;

namespace {

constexpr Millis kReconcileInterval{ 300 };
constexpr Millis kFailurePause{ 1000 };
constexpr Millis kStreamPoll{ 20 };
constexpr int kMaxSteps = 12;       ///< per order, including repeated reads
constexpr std::size_t kBatches = 3; ///< in which a model's endpoints change

/// Maximum wait for earlier batches; a companion that takes longer is assumed
/// lost and is skipped.
constexpr Millis kMaxBatchWait{ 60000 };

} // namespace

EngineReconciler::EngineReconciler(boost::asio::io_context& aContext,
                                   const state::Settings& aSettings,
                                   Backend& aBackend,
                                   Companion& aCompanion,
                                   Platform& aPlatform,
                                   Metrics& aMetrics)
  : mContext(aContext)
  , mSettings(aSettings)
  , mBackend(aBackend)
  , mCompanion(aCompanion)
  , mPlatform(aPlatform)
  , mMetrics(aMetrics)
  , mLog("orders")
  , mConfig(std::make_shared<const state::ConfigSnapshot>())
  , mRandom(state::PlacementHash(state::RandomNonce()))
  , mFenceKey("orders/" + aSettings.mName)
{
}

void
EngineReconciler::Start()
{
  transport::Spawn(mContext, RunLoop());
}

void
EngineReconciler::ApplyConfig(
  std::shared_ptr<const state::ConfigSnapshot> aConfig)
{
  mConfig = std::move(aConfig);
}

Task<void>
EngineReconciler::RunLoop()
{
  while (true) {
    co_await transport::Sleep(kReconcileInterval);
    co_await Reconcile();
  }
}

std::optional<BackendOrder>
EngineReconciler::DesiredOrder() const
{
  const auto endpoint = mConfig->mEndpoints.find(mSettings.mName);
  if (endpoint == mConfig->mEndpoints.end()) {
    return std::nullopt;
  }
  const auto model = mConfig->mModels.find(endpoint->second.mModel);
  if (model == mConfig->mModels.end()) {
    return std::nullopt;
  }
  BackendOrder order;
  order.mModel = model->second.mName;
  order.mWeights = model->second.mWeights;
  order.mAdapters = model->second.mAdapters;
  order.mRole = endpoint->second.mRole;
  return order;
}

bool
EngineReconciler::IsReconciled(const BackendOrder& aOrder) const
{
  const auto& found = mCompanion.LastState();
  return found.mModel == aOrder.mModel && found.mWeights == aOrder.mWeights &&
         found.mAdapters == aOrder.mAdapters && found.mRole == aOrder.mRole;
}

Task<void>
EngineReconciler::Reconcile()
{
  const auto desired = DesiredOrder();
  const bool isUp = mCompanion.LastState().mIncarnation != 0;
  if (!desired || !isUp || IsReconciled(*desired)) {
    mWaitingSince.reset();
    co_return;
  }
  if (!co_await IsBatchDue(desired->mModel, desired->mWeights)) {
    co_return;
  }
  state::OrderMachine machine(state::RandomNonce(),
                              mCompanion.LastState().mFence);
  const bool isComplete = co_await RunOrderMachine(machine, *desired);
  co_await mCompanion.Refresh();
  mCompanion.PauseAdmission(false);
  if (!isComplete) {
    mMetrics.Count("shuntjunction_orders_total", { { "outcome", "lost" } });
    co_await PauseAfterFailure();
  }
}

Task<bool>
EngineReconciler::RunOrderMachine(state::OrderMachine& aMachine,
                                  BackendOrder aOrder)
{
  for (int step = 0; step < kMaxSteps; ++step) {
    switch (aMachine.Step()) {
      case OrderStep::kReadFence:
      case OrderStep::kRecheckFence:
        aMachine.OnFenceRead(co_await ReadFence());
        break;
      case OrderStep::kAcquireFence:
        aMachine.OnFenceWritten(
          co_await mPlatform.Write(mFenceKey,
                                   state::WriteFenceRecord(aMachine.Next()),
                                   aMachine.Revision()));
        break;
      case OrderStep::kDrain:
        mCompanion.PauseAdmission(true);
        co_await WaitForStreams();
        aMachine.OnDrained();
        break;
      case OrderStep::kSendOrder:
        aOrder.mFence = aMachine.Fence();
        co_await SendOrder(aOrder);
        aMachine.OnOrderSent();
        break;
      case OrderStep::kCompleted:
        co_return true;
      case OrderStep::kLost:
        mLog.Info(
          "no order sent: the fencing token is held by another process, or "
          "its state is unknown.");
        co_return false;
    }
  }
  mLog.Warn("no order sent: the platform does not respond.");
  co_return false;
}

Task<void>
EngineReconciler::SendOrder(BackendOrder aOrder)
{
  mLog.Info("ordering " + aOrder.mModel + ", weights version " +
            std::to_string(aOrder.mWeights) + ", with fencing token " +
            std::to_string(aOrder.mFence) + ".");
  const auto done = co_await mBackend.Order(aOrder);
  mMetrics.Count("shuntjunction_orders_total",
                 { { "outcome", done ? "done" : "failed" } });
  if (!done) {
    mLog.Warn("the order failed: " + done.error().Describe() + ".");
    co_await PauseAfterFailure();
  }
}

Task<Result<state::StoredFence>>
EngineReconciler::ReadFence()
{
  const auto found = co_await mPlatform.Read(mFenceKey);
  if (!found) {
    co_return tl::unexpected(found.error());
  }
  state::StoredFence held;
  if (*found) {
    const auto record = state::ReadFenceRecord((*found)->mValue);
    if (!record) {
      co_return tl::unexpected(record.error());
    }
    held = { *record, (*found)->mRevision };
  }
  co_return held;
}

Task<void>
EngineReconciler::PauseAfterFailure()
{
  std::uniform_int_distribution<std::int64_t> jitter(kFailurePause.count(),
                                                     2 * kFailurePause.count());
  co_await transport::Sleep(Millis(jitter(mRandom)));
}

Task<void>
EngineReconciler::WaitForStreams()
{
  const auto until = state::BootClock::now() + mSettings.mDrainTimeout;
  while (mCompanion.Running() > 0 && state::BootClock::now() < until) {
    co_await transport::Sleep(kStreamPoll);
  }
}

Task<bool>
EngineReconciler::IsBatchDue(std::string aModel, std::uint32_t aWeights)
{
  if (mCompanion.LastState().mModel != aModel) {
    // It does not serve the model yet, so nothing becomes unavailable.
    co_return true;
  }
  const auto now = state::BootClock::now();
  mWaitingSince = mWaitingSince.value_or(now);
  if (now - *mWaitingSince > kMaxBatchWait) {
    co_return true;
  }
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const auto& [name, endpoint] : mConfig->mEndpoints) {
    if (endpoint.mModel == aModel) {
      order.emplace_back(state::PlacementHash(name, aWeights), name);
    }
  }
  std::sort(order.begin(), order.end());
  const auto self =
    std::find_if(order.begin(), order.end(), [&](const auto& aItem) {
      return aItem.second == mSettings.mName;
    });
  const std::size_t size = (order.size() + kBatches - 1) / kBatches;
  const auto rank = static_cast<std::size_t>(self - order.begin());
  const std::size_t earlier = rank / size * size;
  if (earlier == 0) {
    co_return true;
  }
  const auto list = co_await mPlatform.List(std::string(kStatusPrefix));
  if (!list) {
    co_await transport::Sleep(kFailurePause);
    co_return false;
  }
  std::size_t changed = 0;
  for (std::size_t i = 0; i < earlier; ++i) {
    const std::string key = std::string(kStatusPrefix) + order[i].second;
    for (const auto& object : list->mObjects) {
      const auto value = object.mKey == key
                           ? state::ParseJson(object.mValue, key)
                           : Result<json::value>(json::value());
      const auto* status = value ? value->if_object() : nullptr;
      const auto* weights =
        status == nullptr ? nullptr : status->if_contains("weights");
      // Any writer may have written it, also a number that no type holds.
      json::error_code error;
      const auto loaded =
        weights == nullptr ? 0 : weights->to_number<std::uint32_t>(error);
      if (weights != nullptr && !error && loaded == aWeights) {
        ++changed;
      }
    }
  }
  co_return changed == earlier;
}

} // namespace shuntjunction::coordination
