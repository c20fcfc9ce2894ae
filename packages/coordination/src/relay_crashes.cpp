#include "relay_crashes.h"

#include <utility>

#include "relay_core.h"
#include "shuntjunction/transport/connect.h"

namespace shuntjunction::coordination {

using state::CrashReport;
using state::Millis;
using state::RequestDigest;
using transport::Task;

namespace {

/// Crashes of the same moment are reported together: an endpoint that crashes
/// breaks about ten requests within a few milliseconds.
constexpr Millis kReportBatchDelay{ 10 };

/// A reachable machine refuses a connection within a few milliseconds; one that
/// is silent for longer is not taken to have crashed.
constexpr Millis kCheckTimeout{ 100 };

/// Time for which the result holds for all requests that break meanwhile.
constexpr Millis kCheckValidity{ 100 };

constexpr Millis kCheckPollInterval{ 5 };

/// A process that crashes has closed all its sockets within this time, even on
/// a busy machine; no request waits for it.
constexpr Millis kRecheckDelay{ 250 };

} // namespace

RelayCrashes::RelayCrashes(const RelayDependencies& aDependencies)
  : mDependencies(aDependencies)
  , mTracker(state::CrashTrackerSettings{})
{
}

RelayCrashes::Running::iterator
RelayCrashes::Begin(const RequestDigest& aRequest, std::function<void()> aEnd)
{
  return mRunning.emplace(aRequest, std::move(aEnd));
}

void
RelayCrashes::NoteCrash(const RequestDigest& aRequest,
                        const RelayEndpoint& aEndpoint)
{
  const CrashReport report{ aRequest, aEndpoint.mNameHash };
  const bool wasFree = QuarantineLeft(aRequest) == Millis(0);
  if (!mTracker.Note(report, Now())) {
    return;
  }
  if (mOwnCrashes.size() >= mTracker.Settings().mMaxRequests) {
    mOwnCrashes.clear();
  }
  mOwnCrashes.insert(aRequest);
  mDependencies.mLog.Write(EventLine(kRelayComponent, "endpoint-crashed")
                             .Add("endpoint", aEndpoint.mInfo.mId)
                             .Add("content", aRequest.Text())
                             .Add("crashes", Crashes(aRequest)));
  mDependencies.mMetrics.Count("shuntjunction_relay_crash_reports_total",
                               { { "service", aEndpoint.mInfo.mService } });
  QueueReport(report, false);
  if (wasFree && QuarantineLeft(aRequest) > Millis(0)) {
    BeginQuarantine(aRequest, "own");
  }
}

void
RelayCrashes::NoteCompleted(const RequestDigest& aRequest)
{
  mOwnCrashes.erase(aRequest);
  for (const auto& report : mTracker.Clear(aRequest)) {
    QueueReport(report, true);
  }
}

void
RelayCrashes::ApplyReports(const protocol::CrashReports& aReports)
{
  for (const auto& word : aReports.mUpdates) {
    const auto& report = word.mReport.mReport;
    if (word.mIsCleared) {
      mOwnCrashes.erase(report.mRequest);
      mTracker.Clear(report.mRequest);
      continue;
    }
    const bool wasFree = QuarantineLeft(report.mRequest) == Millis(0);
    mTracker.Note(report, Now() - word.mReport.mAge);
    if (wasFree && QuarantineLeft(report.mRequest) > Millis(0)) {
      BeginQuarantine(report.mRequest, "relays");
    }
  }
}

std::vector<RequestDigest>
RelayCrashes::ApplyQuarantined(const QuarantinedRequests& aQuarantined)
{
  std::vector<RequestDigest> released;
  const auto wall = mDependencies.mClock.WallMillis();
  for (const auto& [request, entry] : aQuarantined) {
    const auto known = mStoredQuarantines.find(request);
    const bool isNew = known == mStoredQuarantines.end() ||
                       known->second.mUntilMillis < entry.mUntilMillis;
    const Millis left{ entry.mUntilMillis - wall };
    if (isNew && left > Millis(0) &&
        mTracker.Quarantine(request, Now(), left)) {
      BeginQuarantine(request, "store");
    }
  }
  for (const auto& [request, entry] : mStoredQuarantines) {
    // Entries that have expired are deleted by relays.
    if (!aQuarantined.contains(request) && entry.mUntilMillis > wall) {
      mDependencies.mLog.Write(
        EventLine(kRelayComponent, "released").Add("content", request.Text()));
      NoteCompleted(request);
      released.push_back(request);
    }
  }
  mStoredQuarantines = aQuarantined;
  return released;
}

Millis
RelayCrashes::QuarantineLeft(const RequestDigest& aRequest) const
{
  return mTracker.QuarantineLeft(aRequest, Now());
}

int
RelayCrashes::Crashes(const RequestDigest& aRequest) const
{
  return mTracker.Crashes(aRequest, Now());
}

void
RelayCrashes::SetGauges()
{
  mDependencies.mMetrics.Set("shuntjunction_relay_crash_suspects",
                             static_cast<double>(mTracker.Suspects()));
  mDependencies.mMetrics.Set("shuntjunction_relay_quarantined",
                             static_cast<double>(mTracker.Quarantined(Now())));
}

void
RelayCrashes::BeginQuarantine(const RequestDigest& aRequest,
                              std::string_view aSource)
{
  const auto left = QuarantineLeft(aRequest);
  mDependencies.mLog.Write(EventLine(kRelayComponent, "quarantined")
                             .Add("content", aRequest.Text())
                             .Add("source", aSource)
                             .Add("crashes", Crashes(aRequest))
                             .Add("left_ms", left.count()));
  // Only relays that saw a crash record it, three at most, not every relay.
  if (mOwnCrashes.erase(aRequest) != 0 && mDependencies.mStoreQuarantine) {
    mDependencies.mStoreQuarantine(aRequest, left);
  }
  const auto [first, last] = mRunning.equal_range(aRequest);
  for (auto running = first; running != last; ++running) {
    running->second();
  }
}

void
RelayCrashes::QueueReport(const CrashReport& aReport, bool aIsCleared)
{
  if (!mDependencies.mSendCrashReports) {
    return;
  }
  const bool isFirst = mPendingReports.empty();
  mPendingReports[aReport.mEndpoint].mUpdates.push_back(
    { { aReport, Millis(0) }, aIsCleared });
  if (isFirst) {
    transport::Spawn(mDependencies.mContext, FlushSoon());
  }
}

Task<void>
RelayCrashes::FlushSoon()
{
  co_await transport::Sleep(kReportBatchDelay);
  for (const auto& [endpoint, reports] : std::exchange(mPendingReports, {})) {
    mDependencies.mSendCrashReports(endpoint, reports);
  }
}

namespace {

/// Checks whether anything listens at an endpoint's address; returns the
/// connection if so. An endpoint that refuses has crashed, unless it drains.
Task<std::shared_ptr<transport::SocketReader>>
ProbeEndpoint(std::shared_ptr<Relay::Core> aCore, RelayEndpointPtr aEndpoint)
{
  const auto address = state::ParseAddress(aEndpoint->mInfo.mAddress);
  const auto target =
    transport::ToTcpEndpoint(address.value_or(state::Address{}), "relay.check");
  if (!target) {
    co_return nullptr;
  }
  aEndpoint->mIsBeingProbed = true;
  aEndpoint->mProbeStartedAt = aCore->mDependencies.mClock.Now();
  auto socket = co_await transport::ConnectSocket(*target, kCheckTimeout);
  aEndpoint->mIsBeingProbed = false;
  aEndpoint->mProbedAt = aCore->mDependencies.mClock.Now();
  if (!socket) {
    aEndpoint->mIsRefusing =
      socket.error() == transport::asio::error::connection_refused;
    aEndpoint->mHasCrashed = aEndpoint->mIsRefusing && aEndpoint->AcceptsWork();
    if (aEndpoint->mHasCrashed) {
      aEndpoint->mRunsQueries.NoteRefusal(aEndpoint->mProbeStartedAt);
    }
    co_return nullptr;
  }
  aEndpoint->mIsRefusing = false;
  const auto reader = std::make_shared<transport::SocketReader>(
    std::move(*socket), aCore->mLimits.mReadAhead);
  reader->Start();
  co_return reader;
}

/// Checks again an endpoint that listened: one that is about to end may close
/// its connections some moments earlier.
Task<void>
Recheck(std::shared_ptr<Relay::Core> aCore,
        RelayEndpointPtr aEndpoint,
        std::shared_ptr<transport::SocketReader> aConnection)
{
  co_await transport::Sleep(kRecheckDelay);
  if (!aConnection->IsClosed() || !aEndpoint->AcceptsWork()) {
    co_return;
  }
  const auto second = co_await ProbeEndpoint(aCore, aEndpoint);
  if (second) {
    second->Close(false);
  }
  if (aEndpoint->mHasCrashed) {
    aCore->NoteCrashOfBrokenRequests(*aEndpoint);
  }
}

/// Probes an endpoint. The open connection is kept for the next request, which
/// saves opening another.
Task<void>
ProbeAndKeepConnection(std::shared_ptr<Relay::Core> aCore,
                       RelayEndpointPtr aEndpoint)
{
  const auto connection = co_await ProbeEndpoint(aCore, aEndpoint);
  if (!connection) {
    co_return;
  }
  EndpointConnection idle;
  idle.mReader = connection;
  aCore->mEndpoints.PutIdle(
    *aEndpoint, std::move(idle), {}, aCore->mDependencies.mClock.Now());
  transport::Spawn(aCore->mDependencies.mContext,
                   Recheck(aCore, aEndpoint, connection));
}

} // namespace

Task<bool>
HasCrashed(std::shared_ptr<Relay::Core> aCore, RelayEndpointPtr aEndpoint)
{
  while (aEndpoint->mIsBeingProbed) {
    co_await transport::Sleep(kCheckPollInterval);
  }
  const auto now = aCore->mDependencies.mClock.Now();
  if (aEndpoint->mHasCrashed) {
    co_return true;
  }
  // An endpoint that leaves ends as planned, whatever it still runs.
  if (!aEndpoint->AcceptsWork() ||
      now - aEndpoint->mProbedAt < kCheckValidity) {
    co_return false;
  }
  co_await ProbeAndKeepConnection(aCore, aEndpoint);
  co_return aEndpoint->mHasCrashed;
}

Task<bool>
HasEnded(std::shared_ptr<Relay::Core> aCore, RelayEndpointPtr aEndpoint)
{
  const auto askedAt = aCore->mDependencies.mClock.Now();
  while (aEndpoint->mIsBeingProbed) {
    co_await transport::Sleep(kCheckPollInterval);
  }
  if (!aEndpoint->mHasCrashed && aEndpoint->mProbeStartedAt < askedAt) {
    co_await ProbeAndKeepConnection(aCore, aEndpoint);
  }
  co_return aEndpoint->mHasCrashed || aEndpoint->mIsRefusing;
}

} // namespace shuntjunction::coordination
