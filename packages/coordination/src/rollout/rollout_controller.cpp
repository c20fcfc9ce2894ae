#include "shuntjunction/coordination/rollout_controller.h"

#include <algorithm>

namespace shuntjunction::coordination {

using state::Millis;
using state::Rollout;
using state::RolloutState;
using transport::Task;

namespace {

constexpr std::string_view kComponent = "rollout";

/// Interval between two decisions, as relays report.
constexpr Millis kDecisionInterval{ 200 };

/// Intervals at which the current step is sent again, within and beyond the
/// bound on exposure. A relay without any confirmation for RolloutExposure's
/// kLease or kRampLease uses old versions.
constexpr Millis kNoticeInterval{ 1000 };
constexpr Millis kRampNoticeInterval{ 200 };

/// Age of the orders beyond which their steps are not confirmed to relays:
/// another process may have decided a later step.
constexpr Millis kMaxListAge{ 1500 };

state::RolloutEndpoints
CountEndpoints(const RelayView& aView, const state::RolloutOrder& aOrder)
{
  state::RolloutEndpoints counts;
  for (const auto& endpoint : aView.mEndpoints) {
    if (endpoint.mService != aOrder.mService || endpoint.mIsLeaving) {
      continue;
    }
    const bool isTarget = endpoint.mSoftwareVersion == aOrder.mTargetVersion;
    ++(isTarget ? counts.mTarget : counts.mOther);
    (isTarget ? counts.mTargetSlots : counts.mOtherSlots) += endpoint.mSlots;
  }
  return counts;
}

state::RolloutNotice
NoticeOf(const std::string& aService, const state::RolloutStatus& aStatus)
{
  return {
    aService, aStatus.mOrderId, aStatus.mState, aStatus.mStep, aStatus.mShare
  };
}

} // namespace

struct RolloutController::Shared : std::enable_shared_from_this<Shared>
{
  /// One order that this companion knows.
  struct Order
  {
    Rollout mRollout;
    state::RolloutEvidence mEvidence;
    state::TimePoint mNoticeAt;
    state::TimePoint mReadAt; ///< when it was last read from the store
  };

  explicit Shared(const RolloutControllerDependencies& aDependencies)
    : mDependencies(aDependencies)
    , mDecider(aDependencies.mSettings.mBounds.mRollouts,
               state::RolloutSchedule{},
               mComparison)
  {
  }

  static Task<void> Run(std::weak_ptr<Shared> aShared)
  {
    while (true) {
      co_await transport::Sleep(kDecisionInterval);
      const auto shared = aShared.lock();
      if (!shared) {
        co_return;
      }
      co_await shared->DecideAll();
    }
  }

  Task<void> DecideAll()
  {
    std::vector<std::string> services;
    services.reserve(mOrders.size());
    for (const auto& [service, order] : mOrders) {
      services.push_back(service);
    }
    for (const auto& service : services) {
      const state::ShareKey key{ state::HashOfRollout(service), 0 };
      const auto order = Find(service);
      if (order && mView->mConfig &&
          mDependencies.mOwnership.IsOwnerInNewest(key)) {
        co_await Decide(order);
      }
    }
  }

  std::shared_ptr<Order> Find(const std::string& aService) const
  {
    const auto found = mOrders.find(aService);
    return found == mOrders.end() ? nullptr : found->second;
  }

  Task<void> Decide(std::shared_ptr<Order> aOrder)
  {
    const auto now = mDependencies.mClock.Now();
    const auto& order = aOrder->mRollout.mOrder;
    const auto decision = mDecider.Decide(aOrder->mRollout,
                                          aOrder->mEvidence,
                                          CountEndpoints(*mView, order),
                                          now,
                                          mDependencies.mClock.WallMillis());
    if (!decision.mStatus) {
      co_await ConfirmStep(aOrder);
      co_return;
    }
    const auto status = *decision.mStatus;
    if (decision.mIsHalt) {
      mDependencies.mPublish(NoticeOf(order.mService, status));
    }
    co_await WriteStep(aOrder, status);
  }

  /// Sends the current step again, once it is known to be the newest.
  Task<void> ConfirmStep(std::shared_ptr<Order> aOrder)
  {
    const auto& bounds = mDependencies.mSettings.mBounds.mRollouts;
    const auto share = aOrder->mRollout.Share();
    const auto interval =
      share > bounds.mExposureShare ? kRampNoticeInterval : kNoticeInterval;
    const auto now = mDependencies.mClock.Now();
    const auto& running = aOrder->mRollout;
    if (!running.IsRunning() || share <= 0 ||
        now - aOrder->mNoticeAt < interval) {
      co_return;
    }
    // A watch returns when something changes, which may take long.
    if (!IsFresh(*aOrder, now)) {
      co_await ReadAgain(aOrder);
    }
    const auto& status = aOrder->mRollout.mStatus;
    if (status && status->mState == RolloutState::kRunning &&
        IsFresh(*aOrder, mDependencies.mClock.Now())) {
      aOrder->mNoticeAt = mDependencies.mClock.Now();
      mDependencies.mPublish(
        NoticeOf(aOrder->mRollout.mOrder.mService, *status));
    }
  }

  bool IsFresh(const Order& aOrder, state::TimePoint aNow) const
  {
    return mDependencies.mRolloutList.Age(aNow) < kMaxListAge ||
           aNow - aOrder.mReadAt < kMaxListAge;
  }

  Task<void> WriteStep(std::shared_ptr<Order> aOrder,
                       state::RolloutStatus aStatus)
  {
    const auto service = aOrder->mRollout.mOrder.mService;
    const std::string key = mDependencies.mCodec.RolloutPrefix() + service;
    const auto revision = aOrder->mRollout.mRevision;
    const auto written = co_await mDependencies.mPlatform.WriteStatus(
      key, mDependencies.mCodec.WriteRolloutStatus(aStatus), revision);
    LogStep(*aOrder, aStatus, written);
    if (!written) {
      // It may have taken effect, or another process decided first.
      co_await ReadAgain(aOrder);
      co_return;
    }
    auto& rollout = aOrder->mRollout;
    if (rollout.mRevision == revision) {
      rollout.mRevision = *written;
      rollout.mStatus = aStatus;
      rollout.mStepLearnedAt = mDependencies.mClock.Now();
    }
    aOrder->mNoticeAt = mDependencies.mClock.Now();
    mDependencies.mPublish(NoticeOf(service, aStatus));
  }

  Task<void> ReadAgain(std::shared_ptr<Order> aOrder)
  {
    const auto requestedAt = mDependencies.mClock.Now();
    const auto object = co_await mDependencies.mPlatform.Read(
      mDependencies.mCodec.RolloutPrefix() + aOrder->mRollout.mOrder.mService);
    if (!object || !*object) {
      co_return;
    }
    auto rollout =
      mDependencies.mCodec.ReadRollout((*object)->mKey, (*object)->mValue);
    if (rollout) {
      aOrder->mReadAt = requestedAt;
      rollout->mRevision = (*object)->mRevision;
      Update(*aOrder, *rollout, mDependencies.mClock.Now());
    }
  }

  /// Replaces what is known of an order, if the other state is newer and of the
  /// same order.
  static void Update(Order& aOrder, Rollout aNewer, state::TimePoint aNow)
  {
    auto& known = aOrder.mRollout;
    if (aNewer.mOrder.mId != known.mOrder.mId ||
        aNewer.mRevision <= known.mRevision) {
      return;
    }
    aNewer.mLearnedAt = known.mLearnedAt;
    aNewer.mStepLearnedAt =
      aNewer.mStatus == known.mStatus ? known.mStepLearnedAt : aNow;
    known = std::move(aNewer);
  }

  void LogStep(const Order& aOrder,
               const state::RolloutStatus& aStatus,
               const state::Result<std::uint64_t>& aWritten)
  {
    const auto& evidence = aOrder.mEvidence;
    EventLine line(kComponent, "step-decided");
    line.Add("service", aOrder.mRollout.mOrder.mService)
      .Add("target", aStatus.mTargetVersion)
      .Add("state", state::kRolloutStateNames.Name(aStatus.mState))
      .Add("step", aStatus.mStep)
      .Add("share", aStatus.mShare)
      .Add("reason", aStatus.mReason)
      .Add("sent", evidence.Sent())
      .Add("exposed", evidence.Exposed())
      .Add("written", aWritten.has_value());
    if (!aWritten) {
      line.Add("error", aWritten.error().Describe());
    }
    mDependencies.mLog.Write(std::move(line));
  }

  RolloutControllerDependencies mDependencies;
  state::SequentialComparison mComparison;
  state::RolloutDecider mDecider;
  std::shared_ptr<const RelayView> mView = std::make_shared<RelayView>();
  std::map<std::string, std::shared_ptr<Order>> mOrders; ///< by service
};

RolloutController::RolloutController(
  const RolloutControllerDependencies& aDependencies)
  : mShared(std::make_shared<Shared>(aDependencies))
{
}

RolloutController::~RolloutController() = default;

void
RolloutController::Start()
{
  transport::Spawn(mShared->mDependencies.mContext, Shared::Run(mShared));
}

void
RolloutController::ApplyView(std::shared_ptr<const RelayView> aView)
{
  auto& orders = mShared->mOrders;
  const auto now = mShared->mDependencies.mClock.Now();
  std::erase_if(orders, [&](const auto& aItem) {
    return !aView->mRollouts.contains(aItem.first);
  });
  for (const auto& [service, rollout] : aView->mRollouts) {
    auto& order = orders[service];
    if (order && order->mRollout.mOrder.mId == rollout.mOrder.mId) {
      Shared::Update(*order, rollout, now);
    } else {
      order = std::make_shared<Shared::Order>(Shared::Order{
        rollout, state::RolloutEvidence(rollout.mOrder.mId), {}, {} });
    }
  }
  mShared->mView = std::move(aView);
}

void
RolloutController::ApplyReport(const state::RolloutReport& aReport)
{
  const auto order = mShared->Find(aReport.mService);
  if (order) {
    order->mEvidence.Apply(aReport, mShared->mDependencies.mClock.Now());
  }
}

} // namespace shuntjunction::coordination
