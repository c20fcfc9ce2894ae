#include "rollout/relay_rollouts.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::Rollout;
using state::RolloutState;
using state::VersionChoice;

namespace {

constexpr std::string_view kComponent = "rollout";

/// Fewest endpoints of the target version that get requests, so that one
/// defective endpoint can be distinguished from a bad version.
constexpr std::size_t kMinCanaryEndpoints = 3;

/// Time after completion in which the former versions get nothing: longer than
/// their endpoints remain listed. Later another version may replace the target
/// without an order.
constexpr Millis kCompletedFilterTime{ 30000 };

/// Rows of outcomes that are kept for one order; more routes are not reported.
constexpr std::size_t kMaxRows = 512;

/// Whether the store's state of an order replaces the one that a relay knows. A
/// halt that is not written yet has the same step as one that another process
/// wrote; then the halt holds until the next step.
bool
IsNewer(const Rollout& aStored, const Rollout& aKnown)
{
  const auto known = aKnown.mStatus ? aKnown.mStatus->mStep : 0;
  const auto stored = aStored.mStatus ? aStored.mStatus->mStep : 0;
  return stored > known || (stored == known && aKnown.IsRunning());
}

/// Corrects the time of a completion that a relay learns of with its order, as
/// after a start: it happened when the outcome was due at the latest.
void
DateCompletion(Rollout& aRollout, const state::Clock& aClock)
{
  const auto& status = aRollout.mStatus;
  const bool isDated = status && status->mState == RolloutState::kCompleted &&
                       status->mStartedAtMillis != 0;
  if (!isDated) {
    return;
  }
  const Millis sinceOrder(aClock.WallMillis() - status->mStartedAtMillis);
  const auto sinceDue = sinceOrder - aRollout.mOrder.mWithin;
  aRollout.mStepLearnedAt =
    std::min(aRollout.mStepLearnedAt, aClock.Now() - sinceDue);
}

} // namespace

/// One order as this relay carries it out.
struct RelayRollouts::Order
{
  Rollout mRollout; ///< with the newest step known
  state::RolloutExposure mExposure;
  state::RolloutReport mReport;
  state::TimePoint mNoticeAt; ///< when its step was last confirmed by notice
  std::set<std::string> mCanary;

  /// Whether the filter of an ended order still applies.
  bool IsInEffect(state::TimePoint aNow) const
  {
    const auto& status = mRollout.mStatus;
    return !status || status->mState != RolloutState::kCompleted ||
           aNow - mRollout.mStepLearnedAt < kCompletedFilterTime;
  }
};

bool
VersionFilter::Allows(const state::EndpointInfo& aEndpoint) const
{
  const bool isTarget = aEndpoint.mSoftwareVersion == mTarget;
  switch (mChoice) {
    case VersionChoice::kAny:
      return true;
    case VersionChoice::kOld:
      return !isTarget;
    case VersionChoice::kTarget:
      break;
  }
  return isTarget && (mEndpoints.empty() || mEndpoints.contains(aEndpoint.mId));
}

RelayRollouts::RelayRollouts(const RelayDependencies& aDependencies,
                             const ViewFreshness& aFreshness,
                             const state::ShareDirectory& aOwners,
                             const RelayEndpoints& aEndpoints)
  : mDependencies(aDependencies)
  , mFreshness(aFreshness)
  , mOwners(aOwners)
  , mEndpoints(aEndpoints)
  , mStart(state::RandomSource{ std::random_device{}() }())
{
}

void
RelayRollouts::ApplyView(const RelayView& aView)
{
  std::erase_if(mOrders, [&](const auto& aItem) {
    return !aView.mRollouts.contains(aItem.first);
  });
  for (const auto& [service, rollout] : aView.mRollouts) {
    auto& order = mOrders[service];
    if (!order || order->mRollout.mOrder.mId != rollout.mOrder.mId) {
      const auto& bounds = mDependencies.mSettings.mBounds.mRollouts;
      order = std::make_shared<Order>(
        Order{ rollout, state::RolloutExposure(bounds), {}, {}, {} });
      DateCompletion(order->mRollout, mDependencies.mClock);
      order->mReport.mService = service;
      order->mReport.mOrderId = rollout.mOrder.mId;
      order->mReport.mRelay = mDependencies.mSettings.mName;
      order->mReport.mRelayStart = mStart;
    } else if (IsNewer(rollout, order->mRollout)) {
      order->mRollout = rollout;
    }
    order->mCanary = CanaryEndpoints(order->mRollout);
  }
}

void
RelayRollouts::ApplyNotice(const state::RolloutNotice& aNotice)
{
  const auto found = mOrders.find(aNotice.mService);
  if (found == mOrders.end() ||
      found->second->mRollout.mOrder.mId != aNotice.mOrderId) {
    return;
  }
  auto& order = *found->second;
  auto& rollout = order.mRollout;
  const auto now = mDependencies.mClock.Now();
  auto status = rollout.mStatus.value_or(state::RolloutStatus{});
  if (!rollout.IsRunning() || aNotice.mStep < status.mStep) {
    return;
  }
  order.mNoticeAt = now;
  if (aNotice.mStep == status.mStep && aNotice.mState == status.mState) {
    return;
  }
  status.mOrderId = aNotice.mOrderId;
  status.mTargetVersion = rollout.mOrder.mTargetVersion;
  status.mState = aNotice.mState;
  status.mStep = aNotice.mStep;
  status.mShare = aNotice.mShare;
  rollout.mStatus = status;
  rollout.mStepLearnedAt = now;
  order.mCanary = CanaryEndpoints(rollout);
  mDependencies.mLog.Write(
    EventLine(kComponent, "step-received")
      .Add("service", aNotice.mService)
      .Add("state", state::kRolloutStateNames.Name(aNotice.mState))
      .Add("step", aNotice.mStep)
      .Add("share", aNotice.mShare));
}

RelayRollouts::Order*
RelayRollouts::Find(std::string_view aService) const
{
  const auto found = mOrders.find(aService);
  return found == mOrders.end() ? nullptr : found->second.get();
}

Millis
RelayRollouts::NoticeAge(const Order& aOrder) const
{
  return std::chrono::duration_cast<Millis>(mDependencies.mClock.Now() -
                                            aOrder.mNoticeAt);
}

Millis
RelayRollouts::ConfirmedAge(const Order& aOrder) const
{
  return std::min(NoticeAge(aOrder),
                  AgeOf(mFreshness.mRollouts, mDependencies.mClock.Now()));
}

bool
RelayRollouts::HasListed(const std::string& aService,
                         const std::string& aVersion,
                         bool aIsVersion) const
{
  const auto serving = mEndpoints.Serving(aService);
  return std::any_of(
    serving.begin(), serving.end(), [&](const auto& aEndpoint) {
      return (aEndpoint->mInfo.mSoftwareVersion == aVersion) == aIsVersion;
    });
}

VersionFilter
RelayRollouts::Choose(const std::string& aService,
                      bool aIsRepeat,
                      state::RandomSource& aRandom) const
{
  const auto* order = Find(aService);
  if (order == nullptr || !order->IsInEffect(mDependencies.mClock.Now())) {
    return {};
  }
  const auto& rollout = order->mRollout;
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  VersionFilter filter;
  filter.mTarget = rollout.mOrder.mTargetVersion;
  filter.mChoice = order->mExposure.Choose(
    rollout, ConfirmedAge(*order), NoticeAge(*order), draw(aRandom), aIsRepeat);
  if (filter.mChoice == VersionChoice::kTarget) {
    filter.mEndpoints = order->mCanary;
  }
  // Without another version there is nothing else to serve callers with.
  if (filter.mChoice == VersionChoice::kOld &&
      !HasListed(aService, filter.mTarget, false)) {
    return {};
  }
  return filter;
}

std::optional<VersionFilter>
RelayRollouts::Alternative(const std::string& aService,
                           const VersionFilter& aFilter) const
{
  const auto* order = Find(aService);
  if (order == nullptr || aFilter.mChoice == VersionChoice::kAny) {
    return std::nullopt;
  }
  const auto& rollout = order->mRollout;
  auto filter = aFilter;
  filter.mEndpoints.clear();
  if (aFilter.mChoice == VersionChoice::kTarget && rollout.IsRunning()) {
    filter.mChoice = VersionChoice::kOld;
    return filter;
  }
  // The old endpoints may have stopped after a completion that this relay could
  // not learn of.
  const bool mayBeCompleted = rollout.IsRunning() && rollout.Share() >= 1.0;
  if (aFilter.mChoice == VersionChoice::kOld && mayBeCompleted &&
      !HasListed(aService, filter.mTarget, false)) {
    filter.mChoice = VersionChoice::kTarget;
    return filter;
  }
  return std::nullopt;
}

bool
RelayRollouts::MayUse(const state::EndpointInfo& aEndpoint) const
{
  const auto* order = Find(aEndpoint.mService);
  if (order == nullptr || !order->IsInEffect(mDependencies.mClock.Now())) {
    return true;
  }
  const auto& rollout = order->mRollout;
  const auto& target = rollout.mOrder.mTargetVersion;
  const bool isTarget = aEndpoint.mSoftwareVersion == target;
  if (rollout.IsRunning()) {
    const bool isExposed =
      rollout.Share() > 0 &&
      ConfirmedAge(*order) <= state::RolloutExposure::kLease;
    return !isTarget || isExposed ||
           !HasListed(aEndpoint.mService, target, false);
  }
  const bool isCompleted = rollout.Share() > 0;
  return isTarget == isCompleted ||
         !HasListed(aEndpoint.mService, target, isCompleted);
}

void
RelayRollouts::NoteSent(const state::EndpointInfo& aEndpoint)
{
  auto* order = Find(aEndpoint.mService);
  if (order != nullptr && order->mRollout.IsRunning()) {
    order->mExposure.NoteSent(aEndpoint.mSoftwareVersion ==
                              order->mRollout.mOrder.mTargetVersion);
  }
}

state::RolloutOutcomes*
RelayRollouts::RowOf(const state::EndpointInfo& aEndpoint,
                     std::string_view aRoute)
{
  auto* order = Find(aEndpoint.mService);
  if (order == nullptr || !order->mRollout.IsRunning()) {
    return nullptr;
  }
  const bool isTarget =
    aEndpoint.mSoftwareVersion == order->mRollout.mOrder.mTargetVersion;
  const state::RolloutKey key{ state::PlacementHash(aRoute),
                               isTarget,
                               isTarget ? state::PlacementHash(aEndpoint.mId)
                                        : 0 };
  auto& rows = order->mReport.mOutcomes;
  const bool hasRoom = rows.contains(key) || rows.size() < kMaxRows;
  return hasRoom ? &rows[key] : nullptr;
}

void
RelayRollouts::NoteOutcome(const state::EndpointInfo& aEndpoint,
                           std::string_view aRoute,
                           std::optional<Millis> aFirst)
{
  auto* row = RowOf(aEndpoint, aRoute);
  if (row == nullptr) {
    return;
  }
  ++row->mRequests;
  if (aFirst) {
    ++row->mLatency[state::RolloutLatencyBucket(*aFirst)];
  } else {
    ++row->mFailed;
  }
  mDependencies.mMetrics.Count(
    "shuntjunction_relay_rollout_requests_total",
    { { "service", aEndpoint.mService },
      { "version", aEndpoint.mSoftwareVersion },
      { "outcome", aFirst ? "answered" : "failed" } });
}

void
RelayRollouts::NoteLateFailure(const state::EndpointInfo& aEndpoint,
                               std::string_view aRoute,
                               Millis aFirst)
{
  auto* row = RowOf(aEndpoint, aRoute);
  if (row == nullptr) {
    return;
  }
  // An order that was learned of meanwhile has not counted it yet.
  auto& answered = row->mLatency[state::RolloutLatencyBucket(aFirst)];
  if (answered > 0) {
    --answered;
  } else {
    ++row->mRequests;
  }
  ++row->mFailed;
}

std::uint32_t
RelayRollouts::CountOldRunning(const state::RolloutOrder& aOrder) const
{
  std::int64_t running = 0;
  for (const auto& endpoint : mEndpoints.Listed(aOrder.mService)) {
    if (endpoint->mInfo.mSoftwareVersion != aOrder.mTargetVersion) {
      running += endpoint->mRunning;
    }
  }
  return static_cast<std::uint32_t>(running);
}

std::set<std::string>
RelayRollouts::CanaryEndpoints(const Rollout& aRollout) const
{
  const double share = aRollout.Share();
  const auto& bounds = mDependencies.mSettings.mBounds.mRollouts;
  if (!aRollout.IsRunning() || share <= 0 || share > bounds.mExposureShare) {
    return {};
  }
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& endpoint : mEndpoints.Serving(aRollout.mOrder.mService)) {
    if (endpoint->mInfo.mSoftwareVersion == aRollout.mOrder.mTargetVersion) {
      ranked.emplace_back(
        state::PlacementHash(endpoint->mInfo.mId, aRollout.mOrder.mId),
        endpoint->mInfo.mId);
    }
  }
  // As many endpoints as give each the load that it will have later: some
  // versions fail only under load.
  const auto wanted = std::max(kMinCanaryEndpoints,
                               static_cast<std::size_t>(std::ceil(
                                 share * static_cast<double>(ranked.size()))));
  std::sort(ranked.begin(), ranked.end());
  std::set<std::string> chosen;
  for (std::size_t i = 0; i < std::min(wanted, ranked.size()); ++i) {
    chosen.insert(ranked[i].second);
  }
  return chosen;
}

void
RelayRollouts::SendReports()
{
  for (const auto& [service, order] : mOrders) {
    if (!order->mRollout.IsRunning() || !mDependencies.mReportRollout) {
      continue;
    }
    order->mCanary = CanaryEndpoints(order->mRollout);
    auto& report = order->mReport;
    const auto& status = order->mRollout.mStatus;
    report.mStep = status ? status->mStep : 0;
    report.mSent = order->mExposure.Sent();
    report.mExposed = order->mExposure.Exposed();
    report.mOldRunning = CountOldRunning(order->mRollout.mOrder);
    SetGauges(*order);
    const auto owner =
      mOwners.OwnerOfEndpoint({}, state::HashOfRollout(service));
    if (owner) {
      mDependencies.mReportRollout(owner->mHost, report);
    }
  }
}

void
RelayRollouts::SetGauges(const Order& aOrder) const
{
  auto& metrics = mDependencies.mMetrics;
  const MetricLabels labels{ { "service", aOrder.mReport.mService } };
  metrics.Set(
    "shuntjunction_relay_rollout_share", aOrder.mRollout.Share(), labels);
  metrics.Set("shuntjunction_relay_rollout_sent",
              static_cast<double>(aOrder.mExposure.Sent()),
              labels);
  metrics.Set("shuntjunction_relay_rollout_exposed",
              static_cast<double>(aOrder.mExposure.Exposed()),
              labels);
}

std::size_t
RelayRollouts::Running() const
{
  return static_cast<std::size_t>(
    std::count_if(mOrders.begin(), mOrders.end(), [](const auto& aItem) {
      return aItem.second->mRollout.IsRunning();
    }));
}

} // namespace shuntjunction::coordination
