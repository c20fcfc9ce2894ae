#include "shuntjunction/coordination/relay.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

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
/// Interval between two reports on a roll-out.
constexpr Millis kRolloutReportInterval{ 200 };
/// Connections accepted in one turn, so that other work goes on.
constexpr int kMaxAcceptsPerTurn = 64;
/// Descriptors reserved for files, the store, listening sockets, checks of the
/// load balancer, and processes that query this one.
constexpr std::int64_t kReservedDescriptors = 300;
/// Pause after a connection could not be accepted.
constexpr Millis kAcceptPause{ 50 };

/// Serves a connection, or closes it unread while there is no room: its caller
/// then tries another relay at once instead of waiting for one without room.
void
BeginSession(const std::shared_ptr<Relay::Core>& aCore,
             asio::ip::tcp::socket aSocket)
{
  if (aCore->IsFull()) {
    aCore->mDependencies.mMetrics.Count(
      "shuntjunction_relay_connections_refused_total");
    boost::system::error_code ignored; // Nothing was read from it.
    aSocket.close(ignored);
    return;
  }
  transport::SetDeadPeerTimeouts(aSocket, transport::DeadPeerTimeouts{});
  const auto session =
    std::make_shared<RelaySession>(aCore, std::move(aSocket));
  transport::Spawn(aCore->mDependencies.mContext, session->Run());
}

/// Accepts the connections that are already pending. Accepting only one per
/// turn of the event loop would leave callers waiting in a burst, a delay that
/// nothing else measures.
void
AcceptWaiting(const std::shared_ptr<Relay::Core>& aCore)
{
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    boost::system::error_code error;
    auto socket =
      aCore->mAcceptor->accept(aCore->mDependencies.mContext, error);
    if (error) {
      return;
    }
    BeginSession(aCore, std::move(socket));
  }
}

Task<void>
Accept(std::shared_ptr<Relay::Core> aCore)
{
  const auto acceptor = aCore->mAcceptor;
  while (acceptor->is_open()) {
    auto [error, socket] = co_await acceptor->async_accept(transport::kAsTuple);
    if (error) {
      co_await transport::Sleep(kAcceptPause);
      continue;
    }
    BeginSession(aCore, std::move(socket));
    AcceptWaiting(aCore);
  }
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
    const auto late = std::chrono::duration_cast<Millis>(clock.Now() - due);
    guard.NoteTimerDelay(late);
    if (guard.IsOverloaded() != wasOverloaded) {
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
  , mShares(mDependencies)
  , mRates(mDependencies, mShares.Directory())
  , mNotices(mDependencies)
  , mRollouts(mDependencies, mShares.Directory(), mEndpoints)
  , mPartRecords(mLimits.mMaxParts)
  , mPrefillRate(mLimits.mFirstToken)
  , mRandom(std::random_device{}())
{
}

bool
Relay::Core::AreKeysFresh() const
{
  const auto age =
    mDependencies.mConfigConfirmed.Age(mDependencies.mClock.Now());
  return age < mDependencies.mSettings.mBounds.mKeyRevocationDeadline -
                 mLimits.mFreshnessMargin;
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
Relay::Core::IsFull() const
{
  const auto limit = static_cast<std::size_t>(
    mDependencies.mSettings.mMemoryBytes / mLimits.mBytesPerSession);
  const auto callers = static_cast<std::int64_t>(mSessions.size());
  return mGuard.IsOverloaded() || mSessions.size() >= limit ||
         callers >= mDescriptors.MaxCallers();
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
      mCrashes.NoteCrash(broken.mRequest, aEndpoint);
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
  mRelayCountFactor = 1.0;
  if (all > state::FollowSettings{}.mMax) {
    mRelayCountFactor = static_cast<double>(zones.size());
  } else if (followed < all) {
    mRelayCountFactor = static_cast<double>(regions.size());
  }
}

state::WindowBudget&
Relay::Core::BudgetOf(const std::string& aService)
{
  const auto& settings = mDependencies.mSettings.mBounds.mRetries;
  auto& budget =
    mBudgets.try_emplace(aService, settings, mDependencies.mClock.Now())
      .first->second;
  budget.SetSlack(mShares.Directory().HasHosts()
                    ? 0.0
                    : std::floor(settings.mSlack / kRelaysWithoutCompanions));
  return budget;
}

Relay::Relay(const RelayDependencies& aDependencies)
  : mCore(std::make_shared<Core>(aDependencies))
{
}

Relay::~Relay() = default;

state::Result<state::Address>
Relay::Start()
{
  const auto address =
    state::ParseAddress(mCore->mDependencies.mSettings.mListen);
  if (!address) {
    return tl::unexpected(address.error());
  }
  auto acceptor = transport::Listen(mCore->mDependencies.mContext, *address);
  if (!acceptor) {
    return tl::unexpected(acceptor.error());
  }
  mCore->mAcceptor = *acceptor;
  // AcceptWaiting needs this, so that accept() returns when none is pending.
  boost::system::error_code ignored;
  mCore->mAcceptor->non_blocking(true, ignored);
  transport::Spawn(mCore->mDependencies.mContext, Accept(mCore));
  transport::Spawn(mCore->mDependencies.mContext, CloseStaleConnections(mCore));
  transport::Spawn(mCore->mDependencies.mContext, WatchStoppedEndpoints(mCore));
  transport::Spawn(mCore->mDependencies.mContext, LogRates(mCore));
  if (mCore->mDependencies.mSettings.mHasRollouts) {
    transport::Spawn(mCore->mDependencies.mContext, ReportRollouts(mCore));
  }
  transport::Spawn(mCore->mDependencies.mContext, WatchForOverload(mCore));
  return transport::LocalAddress(*mCore->mAcceptor);
}

void
Relay::ApplyView(std::shared_ptr<const RelayView> aView)
{
  mCore->mView = std::move(aView);
  mCore->mCrashes.ApplyQuarantined(mCore->mView->mQuarantined);
  const auto companions = CompanionZones(mCore->mView->mEndpoints);
  mCore->NoteCompanions(companions);
  mCore->mShares.Directory().SetHosts(companions);
  const auto changes = mCore->mEndpoints.Update(
    mCore->mView->mEndpoints, mCore->mDependencies.mClock.Now());
  mCore->mRollouts.ApplyView(*mCore->mView);
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
Relay::ApplyNews(const protocol::EngineNews& aNews)
{
  mCore->UpdateRelayCount(aNews.mRelayCount);
  const auto restarted =
    mCore->mEndpoints.ApplyNews(aNews, mCore->mDependencies.mClock.Now());
  if (restarted) {
    mCore->NoteRestart(*restarted);
  }
}

void
Relay::HandleNewsConnectionEnd(const std::string& aHost)
{
  mCore->mEndpoints.NoteNewsConnectionEnded(aHost);
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
  auto& metrics = mCore->mDependencies.mMetrics;
  const auto now = mCore->mDependencies.mClock.Now();
  const auto age = mCore->mDependencies.mConfigConfirmed.IsKnown()
                     ? mCore->mDependencies.mConfigConfirmed.Age(now)
                     : Millis(-1);
  metrics.Set("shuntjunction_relay_ready", IsReady() ? 1 : 0);
  metrics.Set("shuntjunction_relay_active", static_cast<double>(Active()));
  metrics.Set("shuntjunction_relay_connections",
              static_cast<double>(Connections()));
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
  metrics.Set("shuntjunction_relay_config_age_ms",
              static_cast<double>(age.count()));
  const auto& list = mCore->mDependencies.mEndpointList;
  metrics.Set("shuntjunction_relay_list_age_ms",
              list.IsKnown() ? static_cast<double>(list.Age(now).count()) : -1);
  metrics.Set("shuntjunction_relay_list_revision",
              static_cast<double>(list.Known()));
  metrics.Set("shuntjunction_relay_store_revision",
              static_cast<double>(list.Store()));
  metrics.Set("shuntjunction_relay_former_words",
              static_cast<double>(mCore->mEndpoints.StaleReports()));
  metrics.Set("shuntjunction_relay_endpoints",
              static_cast<double>(mCore->mView->mEndpoints.size()));
}

bool
Relay::IsReady() const
{
  return !mCore->mIsStopping && mCore->mView->mConfig->Version() != 0 &&
         mCore->AreKeysFresh() && !mCore->IsFull();
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
