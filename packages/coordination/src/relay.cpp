#include "shuntjunction/coordination/relay.h"

#include <algorithm>
#include <random>
#include <set>

#include <boost/asio/post.hpp>

#include "relay_core.h"
#include "relay_session.h"
#include "shuntjunction/state/followed_companions.h"
#include "shuntjunction/transport/connect.h"
#include "shuntjunction/transport/frame_channel.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;
namespace asio = transport::asio;

namespace {

/// Interval at which connections that were idle for too long are closed.
constexpr Millis kStaleInterval{ 500 };
/// Interval at which requests that wait at stopped endpoints are checked.
constexpr Millis kStoppedInterval{ 100 };
/// Interval at which the use of endpoints' rates is logged.
constexpr Millis kRatesInterval{ 1000 };
/// Interval at which the use of retry budgets is logged.
constexpr Millis kRetryWindowsInterval{ 1000 };
/// Interval between two reports on a roll-out.
constexpr Millis kRolloutReportInterval{ 200 };
/// Interval at which the use of memory is logged while much is reserved.
constexpr Millis kMemoryInterval{ 1000 };
/// Share of the memory that may be reserved from which on its use is logged.
constexpr double kLoggedMemoryShare = 0.5;
/// Descriptors reserved for files, the store, listening sockets, checks of the
/// load balancer, and processes that query this one.
constexpr std::int64_t kReservedDescriptors = 300;

void
BeginSession(const std::shared_ptr<Relay::Core>& aCore, AcceptedCaller aCaller)
{
  aCore->mAcceptor->NoteBegun();
  transport::SetDeadPeerTimeouts(aCaller.mSocket,
                                 transport::DeadPeerTimeouts{});
  const auto session =
    std::make_shared<RelaySession>(aCore, std::move(aCaller));
  transport::Spawn(aCore->mDependencies.mContext, session->Run());
}

/// Continuously measures how late this process runs.
Task<void>
WatchForOverload(std::shared_ptr<Relay::Core> aCore)
{
  auto& guard = aCore->mGuard;
  const auto& clock = aCore->mDependencies.mClock;
  while (true) {
    const auto due = clock.Now() + guard.Settings().mCheckInterval;
    co_await transport::Sleep(guard.Settings().mCheckInterval);
    const bool wasOverloaded = guard.IsOverloaded();
    const auto now = clock.Now();
    const auto late = std::chrono::duration_cast<Millis>(now - due);
    guard.NoteCheck(late, now);
    aCore->mAcceptor->NoteTrafficSign(late);
    if (guard.IsOverloaded() != wasOverloaded) {
      aCore->mAcceptor->SetOverloaded(guard.IsOverloaded());
      aCore->mDependencies.mLog.Write(
        EventLine(kRelayComponent, "overload")
          .Add("is", guard.IsOverloaded())
          .Add("late_ms", late.count())
          .Add("active", aCore->mActive)
          .Add("connections", aCore->mSessions.size()));
    }
  }
}

/// Logs what became of requests for endpoints that advertise rates.
Task<void>
LogRates(std::shared_ptr<Relay::Core> aCore)
{
  while (true) {
    co_await transport::Sleep(kRatesInterval);
    for (const auto& endpoint : aCore->mEndpoints.Limited()) {
      const auto& rate = *endpoint->mRate;
      if (rate.mSent + rate.mWithoutPermit > 0) {
        aCore->mRates.LogUse(*endpoint, "used");
      }
    }
  }
}

/// Logs what retry budgets allowed and denied.
Task<void>
LogRetryWindows(std::shared_ptr<Relay::Core> aCore)
{
  while (true) {
    co_await transport::Sleep(kRetryWindowsInterval);
    aCore->mRetryBudgets.LogWindows();
  }
}

/// Logs what this process's memory is used for.
Task<void>
LogMemory(std::shared_ptr<Relay::Core> aCore)
{
  constexpr std::int64_t kKilobyte = 1024;
  const auto loggedFrom = static_cast<std::int64_t>(
    static_cast<double>(aCore->mMemory.Limit()) * kLoggedMemoryShare);
  while (true) {
    co_await transport::Sleep(kMemoryInterval);
    const auto reserved = aCore->mMemory.Reserved();
    if (reserved < loggedFrom) {
      continue;
    }
    const auto usage = aCore->mDependencies.mMemoryProbe->Measure();
    aCore->mDependencies.mLog.Write(
      EventLine(kRelayComponent, "memory")
        .Add("limit_kb", aCore->mMemory.Limit() / kKilobyte)
        .Add("reserved_kb", reserved / kKilobyte)
        .Add("resident_kb", usage.mResident / kKilobyte)
        .Add("heap_kb", usage.mUsedHeap / kKilobyte)
        .Add("free_heap_kb", usage.mFreeHeap / kKilobyte)
        .Add("connections", aCore->mSessions.size())
        .Add("active", aCore->mActive)
        .Add("bodies_kb", aCore->mBodyBytes / kKilobyte)
        .Add("endpoint_connections", aCore->mEndpoints.OpenConnections()));
  }
}

Task<void>
WatchStoppedEndpoints(std::shared_ptr<Relay::Core> aCore)
{
  while (true) {
    co_await transport::Sleep(kStoppedInterval);
    aCore->mEndpoints.WakeRequestsAtStopped(aCore->mDependencies.mClock.Now());
  }
}

Task<void>
ReportRollouts(std::shared_ptr<Relay::Core> aCore)
{
  while (true) {
    co_await transport::Sleep(kRolloutReportInterval);
    aCore->mRollouts.SendReports();
  }
}

Task<void>
CloseStaleConnections(std::shared_ptr<Relay::Core> aCore)
{
  while (true) {
    co_await transport::Sleep(kStaleInterval);
    aCore->mEndpoints.CloseStale(aCore->mDependencies.mClock.Now());
  }
}

} // namespace

Relay::Core::Core(const RelayDependencies& aDependencies)
  : mDependencies(aDependencies)
  , mDescriptors({ mDependencies.mSettings.mDescriptors, kReservedDescriptors })
  , mEndpoints(RelayEndpointSettings{})
  , mCrashes(mDependencies)
  , mPartCrashes(mDependencies, mCrashes)
  , mShares(mDependencies)
  , mRates(mDependencies, mShares.Directory())
  , mRetryBudgets(mDependencies, mShares.Directory())
  , mNotices(mDependencies)
  , mRollouts(mDependencies, mFreshness, mShares.Directory(), mEndpoints)
  , mStreams(mDependencies, mFreshness)
  , mWeights(mDependencies, mLimits.mWeightsMargin)
  , mPartRecords(mLimits.mMaxParts)
  , mPrefillRate(mLimits.mFirstToken)
  , mRandom(std::random_device{}())
  , mMemory({ mDependencies.mSettings.mMemoryBytes })
  , mAcceptor(std::make_unique<CallerAcceptor>(
      mDependencies.mContext,
      CallerAcceptorSettings{ mLimits.mBytesPerSession },
      mDependencies.mClock,
      mMemory,
      mDependencies.mLog,
      mDependencies.mMemoryProbe,
      [this](AcceptedCaller aCaller) { PostCaller(std::move(aCaller)); }))
{
  mAcceptor->SetMaxCallers(mDescriptors.MaxCallers());
}

void
Relay::Core::PostCaller(AcceptedCaller aCaller)
{
  asio::post(
    mDependencies.mContext,
    [core = shared_from_this(), caller = std::move(aCaller)]() mutable {
      BeginSession(core, std::move(caller));
    });
}

bool
Relay::Core::AreKeysFresh() const
{
  const auto age = AgeOf(mFreshness.mConfig, mDependencies.mClock.Now());
  return age < mDependencies.mSettings.mBounds.mKeyRevocationDeadline -
                 mLimits.mFreshnessMargin;
}

void
Relay::Core::EndRequests(bool aOnlyUnsent)
{
  // What is interrupted only wakes up later, so that no session ends here.
  for (auto* session : mSessions) {
    session->EndRequest(aOnlyUnsent);
  }
}

void
Relay::Core::CloseIdleSessions()
{
  const auto sessions = mSessions;
  for (auto* session : sessions) {
    session->CloseIfIdle();
  }
}

void
Relay::Core::UpdateRelayCount(std::uint32_t aRelays)
{
  mMaxRelays = std::max(mMaxRelays, aRelays);
}

bool
Relay::Core::MakeRoomForEndpoint()
{
  const auto limit = mDescriptors.MaxEndpointConnections(
    static_cast<std::int64_t>(mSessions.size()));
  while (mEndpoints.OpenConnections() >= limit) {
    if (!mEndpoints.CloseLongestIdle()) {
      return false;
    }
  }
  return true;
}

void
Relay::Core::NoteCrashOfBrokenRequests(RelayEndpoint& aEndpoint)
{
  for (const auto& broken : std::exchange(aEndpoint.mBrokenRequests, {})) {
    if (mDependencies.mClock.Now() - broken.mAt < mLimits.mRestartDetection) {
      mCrashes.NoteCrash(broken.mRequest, aEndpoint, broken.mAt);
      mPartCrashes.NoteCrash(
        broken.mParts, aEndpoint, broken.mIsTrial, broken.mAt);
    }
  }
}

void
Relay::Core::NoteRestart(RelayEndpoint& aEndpoint)
{
  NoteCrashOfBrokenRequests(aEndpoint);
  mPartRecords.ForgetPrefillsOf(aEndpoint.mInfo.mId);
  if (mDependencies.mReportWaiting && !aEndpoint.mInfo.mModels.empty()) {
    mDependencies.mReportWaiting(aEndpoint.mInfo.mAddress, {}, {});
  }
  mDependencies.mMetrics.Count("shuntjunction_relay_endpoint_restarts_total");
  mDependencies.mLog.Write(
    EventLine(kRelayComponent, "endpoint-restarted")
      .Add("endpoint", aEndpoint.mInfo.mId)
      .Add("started_at", aEndpoint.mEndpointIncarnation.Current().StartedAt())
      .Add("revision", aEndpoint.mInfo.mRevision));
}

void
Relay::Core::NoteCompanions(
  const std::map<std::string, std::string>& aZoneByHost)
{
  const auto& settings = mDependencies.mSettings;
  const auto& topology = settings.mTopology;
  std::set<std::string_view> zones;
  std::set<std::string_view> regions;
  std::size_t near = 0;
  for (const auto& [host, zone] : aZoneByHost) {
    zones.insert(zone);
    regions.insert(topology.RegionOf(zone));
    const auto distance = topology.Between(settings.mZone, zone);
    near += distance <= state::Distance::kSameRegion ? 1 : 0;
  }
  const auto all = aZoneByHost.size();
  auto followed = std::min(all, state::FollowSettings{}.mMax);
  if (topology.HasSeveralRegions()) {
    followed = std::min(followed,
                        near + state::kPinnedElsewhere + state::kUsedElsewhere);
  }
  mDescriptors.SetPeers(static_cast<std::int64_t>(followed));
  mAcceptor->SetMaxCallers(mDescriptors.MaxCallers());
  mRelayCountFactor = 1.0;
  if (all > state::FollowSettings{}.mMax) {
    mRelayCountFactor = static_cast<double>(zones.size());
  } else if (followed < all) {
    mRelayCountFactor = static_cast<double>(regions.size());
  }
}

Relay::Relay(const RelayDependencies& aDependencies)
  : mCore(std::make_shared<Core>(aDependencies))
{
}

Relay::~Relay()
{
  mCore->mAcceptor->Stop();
}

state::Result<state::Address>
Relay::Start()
{
  const auto address =
    state::ParseAddress(mCore->mDependencies.mSettings.mListen);
  if (!address) {
    return tl::unexpected(address.error());
  }
  transport::Spawn(mCore->mDependencies.mContext, CloseStaleConnections(mCore));
  transport::Spawn(mCore->mDependencies.mContext, WatchStoppedEndpoints(mCore));
  transport::Spawn(mCore->mDependencies.mContext, LogRates(mCore));
  transport::Spawn(mCore->mDependencies.mContext, LogRetryWindows(mCore));
  if (mCore->mDependencies.mSettings.mHasRollouts) {
    transport::Spawn(mCore->mDependencies.mContext, ReportRollouts(mCore));
  }
  transport::Spawn(mCore->mDependencies.mContext, WatchForOverload(mCore));
  if (mCore->mDependencies.mMemoryProbe != nullptr) {
    transport::Spawn(mCore->mDependencies.mContext, LogMemory(mCore));
  }
  return mCore->mAcceptor->Start(*address);
}

void
Relay::ApplyView(std::shared_ptr<const RelayView> aView)
{
  mCore->mView = std::move(aView);
  Confirm(mCore->mView->mFreshness);
  for (const auto& released :
       mCore->mCrashes.ApplyQuarantined(mCore->mView->mQuarantined)) {
    mCore->mPartCrashes.Release(released);
  }
  const auto companions = CompanionZones(mCore->mView->mEndpoints);
  mCore->NoteCompanions(companions);
  mCore->mShares.Directory().SetHosts(companions);
  const auto changes = mCore->mEndpoints.Update(
    mCore->mView->mEndpoints, mCore->mDependencies.mClock.Now());
  mCore->mRollouts.ApplyView(*mCore->mView);
  mCore->mStreams.ApplyView(*mCore->mView);
  mCore->mWeights.ApplyView(*mCore->mView, companions);
  for (const auto& endpoint : changes.mRestarted) {
    mCore->NoteRestart(*endpoint);
  }
  for (const auto& endpoint : changes.mLeaving) {
    mCore->mDependencies.mLog.Write(
      EventLine(kRelayComponent, "endpoint-leaving")
        .Add("endpoint", endpoint->mInfo.mId)
        .Add("listed", endpoint->mAvailability->IsListed())
        .Add("revision", endpoint->mInfo.mRevision)
        .Add("running", endpoint->mRunning));
  }
}

void
Relay::Confirm(const ViewFreshness& aFreshness)
{
  mCore->mFreshness = aFreshness;
  mCore->mStreams.ApplyFreshness();
}

void
Relay::ApplyVersionHistory(const std::string& aService,
                           const std::optional<state::VersionHistory>& aHistory)
{
  mCore->mStreams.ApplyHistory(aService, aHistory);
}

std::vector<state::WeightsConfirmation>
Relay::ConfirmWeights(const std::string& aModel) const
{
  const auto* history = mCore->mWeights.Find(aModel);
  return history == nullptr
           ? std::vector<state::WeightsConfirmation>{}
           : history->Confirmations(mCore->mDependencies.mClock.Now());
}

void
Relay::ApplyNews(const protocol::EngineNews& aNews)
{
  mCore->UpdateRelayCount(aNews.mRelayCount);
  const auto now = mCore->mDependencies.mClock.Now();
  const auto former = mCore->mEndpoints.Find(aNews.mEndpoint);
  const bool wasDown = former && former->IsReportedDown();
  const auto restarted = mCore->mEndpoints.ApplyNews(aNews, now);
  // Another incarnation replaces it.
  const auto endpoint = mCore->mEndpoints.Find(aNews.mEndpoint);
  if (endpoint && endpoint->IsReportedDown() != wasDown) {
    const auto signals = RelayEndpoints::SignalsOf(*endpoint, now);
    mCore->mDependencies.mLog.Write(
      EventLine(kRelayComponent, "endpoint-down")
        .Add("is", endpoint->IsReportedDown())
        .Add("endpoint", aNews.mEndpoint)
        .Add("running", endpoint->mRunning)
        .Add("bytes_age_ms", signals.mSinceEndpointBytes.count()));
  }
  if (restarted) {
    mCore->NoteRestart(*restarted);
  }
}

void
Relay::HandleNewsConnectionEnd(const std::string& aHost)
{
  mCore->mEndpoints.NoteNewsConnectionEnded(aHost);
  mCore->mStreams.HandleHolderLost(aHost);
}

void
Relay::ForgetNews(const std::string& aHost)
{
  mCore->mEndpoints.ForgetNews(aHost);
}

void
Relay::ApplyPartReading(const protocol::PartReading& aReading)
{
  const auto now = mCore->mDependencies.mClock.Now();
  auto& record = mCore->mPartRecords.At(aReading.mPart);
  if (aReading.mIsDone) {
    record.mServedAt = now;
  } else if (now - record.mServedAt >= mCore->mLimits.mNewsDelay) {
    record.mPrefillStartedAt = now;
    record.mPrefillEndpoint = aReading.mEndpoint;
  }
}

void
Relay::ApplyCrashReports(const protocol::CrashReports& aReports)
{
  mCore->mCrashes.ApplyReports(aReports);
  mCore->mPartCrashes.ApplyReports(aReports);
}

void
Relay::ApplyRateNews(const state::RateNews& aNews)
{
  const auto endpoint = mCore->mEndpoints.FindIncarnation(aNews.mEndpoint);
  if (endpoint) {
    mCore->mRates.ApplyNews(*endpoint, aNews);
  }
}

void
Relay::ApplyRolloutNotice(const state::RolloutNotice& aNotice)
{
  mCore->mRollouts.ApplyNotice(aNotice);
}

void
Relay::SetGauges()
{
  mCore->mCrashes.SetGauges();
  mCore->mPartCrashes.SetGauges();
  auto& metrics = mCore->mDependencies.mMetrics;
  const auto now = mCore->mDependencies.mClock.Now();
  const auto& fresh = mCore->mFreshness;
  const auto ageOrUnknown = [now](ConfirmedAt aConfirmed) {
    return aConfirmed ? static_cast<double>(AgeOf(aConfirmed, now).count())
                      : -1;
  };
  metrics.Set("shuntjunction_relay_ready", IsReady() ? 1 : 0);
  metrics.Set("shuntjunction_relay_active", static_cast<double>(Active()));
  metrics.Set("shuntjunction_relay_connections",
              static_cast<double>(Connections()));
  for (std::size_t i = 0; i < kAcceptRefusalNames.Size(); ++i) {
    const auto reason = static_cast<AcceptRefusal>(i);
    const MetricLabels labels{
      { "reason", std::string(kAcceptRefusalNames.Name(reason)) }
    };
    metrics.Set("shuntjunction_relay_connections_refused_total",
                static_cast<double>(mCore->mAcceptor->Refused(reason)),
                labels);
    metrics.Set("shuntjunction_relay_connections_refused_with_bytes_total",
                static_cast<double>(mCore->mAcceptor->RefusedWithBytes(reason)),
                labels);
  }
  metrics.Set("shuntjunction_relay_memory_reserved_bytes",
              static_cast<double>(mCore->mMemory.Reserved()));
  metrics.Set("shuntjunction_relay_memory_reservable_bytes",
              static_cast<double>(mCore->mMemory.Limit()));
  if (const auto* probe = mCore->mDependencies.mMemoryProbe) {
    const auto usage = probe->Measure();
    metrics.Set("shuntjunction_memory_resident_bytes",
                static_cast<double>(usage.mResident));
    metrics.Set("shuntjunction_memory_free_heap_bytes",
                static_cast<double>(usage.mFreeHeap));
  }
  metrics.Set("shuntjunction_relay_connections_most",
              static_cast<double>(mCore->mDescriptors.MaxCallers()));
  metrics.Set("shuntjunction_relay_endpoint_connections",
              static_cast<double>(mCore->mEndpoints.OpenConnections()));
  metrics.Set("shuntjunction_relay_limited_endpoints",
              static_cast<double>(mCore->mEndpoints.Limited().size()));
  metrics.Set("shuntjunction_relay_draining_endpoints",
              static_cast<double>(mCore->mEndpoints.CountObstacles(
                state::Obstacle::kDraining, now)));
  metrics.Set("shuntjunction_relay_cooldown_endpoints",
              static_cast<double>(mCore->mEndpoints.CountObstacles(
                state::Obstacle::kCooldown, now)));
  metrics.Set("shuntjunction_relay_config_version",
              static_cast<double>(mCore->mView->mConfig->Version()));
  metrics.Set("shuntjunction_relay_config_age_ms", ageOrUnknown(fresh.mConfig));
  metrics.Set("shuntjunction_relay_list_age_ms",
              ageOrUnknown(fresh.mEndpoints));
  metrics.Set("shuntjunction_relay_list_revision",
              static_cast<double>(fresh.mEndpointsRevision));
  metrics.Set("shuntjunction_relay_store_revision",
              static_cast<double>(fresh.mStoreRevision));
  metrics.Set("shuntjunction_relay_former_words",
              static_cast<double>(mCore->mEndpoints.StaleReports()));
  metrics.Set("shuntjunction_relay_endpoints",
              static_cast<double>(mCore->mView->mEndpoints.size()));
}

bool
Relay::IsReady() const
{
  return !mCore->mIsStopping && mCore->mView->mConfig->Version() != 0 &&
         mCore->AreKeysFresh() && !mCore->mAcceptor->IsFull();
}

void
Relay::BeginStop()
{
  mCore->mIsStopping = true;
}

void
Relay::RefuseNew()
{
  mCore->mIsRefusing = true;
  mCore->CloseIdleSessions();
}

void
Relay::EndUnsentRequests()
{
  mCore->EndRequests(true);
}

void
Relay::EndRequests()
{
  mCore->EndRequests(false);
}

std::size_t
Relay::Active() const
{
  return mCore->mActive;
}

std::size_t
Relay::Connections() const
{
  return mCore->mSessions.size();
}

} // namespace shuntjunction::coordination
