#include "relay_crashes.h"

#include <algorithm>
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

/// Longest time for which a quarantine is deferred. Runs that go on for so long
/// after the others crashed are not the cause.
constexpr Millis kMaxDeferral{ 3000 };

constexpr Millis kDeferralPollInterval{ 15 };

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
  return mRunning.emplace(aRequest, RunningRequest{ std::move(aEnd) });
}

void
RelayCrashes::NoteCrash(const RequestDigest& aRequest,
                        const RelayEndpoint& aEndpoint,
                        state::TimePoint aAt)
{
  const CrashReport report{ aRequest, aEndpoint.mNameHash };
  const bool wasFree = QuarantineLeft(aRequest) == Millis(0);
  if (!mTracker.Note(report, aAt)) {
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
  QueueReport(report, aAt, false);
  NoteFurtherCrash(report, aAt);
  if (wasFree && QuarantineLeft(aRequest) > Millis(0)) {
    Judge(aRequest, "own");
  }
}

void
RelayCrashes::NoteCompleted(const RequestDigest& aRequest)
{
  mOwnCrashes.erase(aRequest);
  Dismiss(aRequest, "completed");
  for (const auto& report : mTracker.Clear(aRequest, Now())) {
    QueueReport(report, Now(), true);
  }
  // Another relay may have recorded it.
  if (mOwnQuarantines.contains(aRequest) ||
      mStoredQuarantines.contains(aRequest)) {
    DeleteStored(aRequest);
  }
}

void
RelayCrashes::ApplyReports(const protocol::CrashReports& aReports)
{
  for (const auto& word : aReports.mUpdates) {
    const auto& report = word.mReport.mReport;
    if (word.mIsCleared) {
      mOwnCrashes.erase(report.mRequest);
      Dismiss(report.mRequest, "completed elsewhere");
      mTracker.Clear(report.mRequest, Now() - word.mReport.mAge);
      if (mOwnQuarantines.contains(report.mRequest)) {
        DeleteStored(report.mRequest);
      }
      continue;
    }
    const auto at = Now() - word.mReport.mAge;
    const bool wasFree = QuarantineLeft(report.mRequest) == Millis(0);
    if (mTracker.Note(report, at)) {
      NoteFurtherCrash(report, at);
    }
    if (wasFree && QuarantineLeft(report.mRequest) > Millis(0)) {
      Judge(report.mRequest, "relays");
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
      Judge(request, "store");
    }
  }
  for (const auto& [request, entry] :
       std::exchange(mStoredQuarantines, aQuarantined)) {
    // Entries that have expired are deleted by relays.
    if (!aQuarantined.contains(request) && entry.mUntilMillis > wall) {
      mDependencies.mLog.Write(
        EventLine(kRelayComponent, "released").Add("content", request.Text()));
      mOwnQuarantines.erase(request);
      NoteCompleted(request);
      released.push_back(request);
    }
  }
  std::erase_if(mOwnQuarantines, [&](const auto& aRequest) {
    return QuarantineLeft(aRequest) == Millis(0);
  });
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
RelayCrashes::Judge(const RequestDigest& aRequest, std::string_view aSource)
{
  const auto moment = mTracker.CommonMoment(aRequest, Now());
  if (!moment) {
    BeginQuarantine(aRequest, aSource);
    return;
  }
  const auto crashed = mTracker.CrashedEndpoints(aRequest);
  const Deferral deferral{ *moment,
                           Now() + kMaxDeferral,
                           std::string(aSource),
                           { crashed.begin(), crashed.end() } };
  if (!RunsUnharmed(aRequest, deferral)) {
    BeginQuarantine(aRequest, aSource);
    return;
  }
  mDependencies.mLog.Write(EventLine(kRelayComponent, "quarantine-deferred")
                             .Add("content", aRequest.Text())
                             .Add("source", aSource)
                             .Add("crashes", Crashes(aRequest)));
  mDependencies.mMetrics.Count(
    "shuntjunction_relay_deferred_quarantines_total");
  mDeferred.insert_or_assign(aRequest, deferral);
  transport::Spawn(mDependencies.mContext, AwaitRuns(aRequest));
}

void
RelayCrashes::NoteFurtherCrash(const CrashReport& aReport, state::TimePoint aAt)
{
  const auto found = mDeferred.find(aReport.mRequest);
  if (found == mDeferred.end()) {
    return;
  }
  auto& deferral = found->second;
  deferral.mCrashed.insert(aReport.mEndpoint);
  if (aAt - deferral.mMoment >= mTracker.Settings().mMoment) {
    const auto source = deferral.mSource;
    mDeferred.erase(found);
    BeginQuarantine(aReport.mRequest, source);
  }
}

bool
RelayCrashes::RunsUnharmed(const RequestDigest& aRequest,
                           const Deferral& aDeferral) const
{
  const auto [first, last] = mRunning.equal_range(aRequest);
  return std::any_of(first, last, [&](const auto& aItem) {
    const auto& running = aItem.second;
    return running.mEndpoint != 0 && running.mSentAt < aDeferral.mMoment &&
           !aDeferral.mCrashed.contains(running.mEndpoint);
  });
}

Task<void>
RelayCrashes::AwaitRuns(RequestDigest aRequest)
{
  while (true) {
    const auto found = mDeferred.find(aRequest);
    if (found == mDeferred.end()) {
      co_return;
    }
    const auto& deferral = found->second;
    if (!RunsUnharmed(aRequest, deferral)) {
      const auto source = deferral.mSource;
      mDeferred.erase(found);
      BeginQuarantine(aRequest, source);
      co_return;
    }
    if (Now() >= deferral.mUntil) {
      Dismiss(aRequest, "runs go on");
      mTracker.Release(aRequest);
      co_return;
    }
    co_await transport::Sleep(kDeferralPollInterval);
  }
}

void
RelayCrashes::Dismiss(const RequestDigest& aRequest, std::string_view aReason)
{
  if (mDeferred.erase(aRequest) != 0) {
    mDependencies.mLog.Write(EventLine(kRelayComponent, "quarantine-dismissed")
                               .Add("content", aRequest.Text())
                               .Add("reason", aReason));
  }
}

void
RelayCrashes::DeleteStored(const RequestDigest& aRequest)
{
  mOwnQuarantines.erase(aRequest);
  if (mDependencies.mDeleteQuarantine) {
    mDependencies.mDeleteQuarantine(aRequest);
  }
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
    mOwnQuarantines.insert(aRequest);
    mDependencies.mStoreQuarantine(aRequest, left);
  }
  const auto [first, last] = mRunning.equal_range(aRequest);
  for (auto running = first; running != last; ++running) {
    running->second.mEnd();
  }
}

void
RelayCrashes::QueueReport(const CrashReport& aReport,
                          state::TimePoint aAt,
                          bool aIsCleared)
{
  if (!mDependencies.mSendCrashReports) {
    return;
  }
  const bool isFirst = mPendingReports.empty();
  mPendingReports[aReport.mEndpoint].mUpdates.push_back(
    { { aReport, std::chrono::duration_cast<Millis>(Now() - aAt) },
      aIsCleared });
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
