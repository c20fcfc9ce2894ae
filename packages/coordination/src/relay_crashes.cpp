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

/// Crashes of one moment are told together: an endpoint that crashes cuts some
/// ten requests off within a few milliseconds.
constexpr Millis kReportBatchDelay{ 10 };

/// A machine in reach refuses a connection within some milliseconds; one that
/// says nothing for longer did not crash as far as can be told.
constexpr Millis kCheckTimeout{ 100 };

/// What was found holds for all that broke off in this time.
constexpr Millis kCheckValidity{ 100 };

constexpr Millis kCheckPollInterval{ 5 };

/// A process that crashes closes all it has within this, also on a machine with
/// much else to do; nobody waits for it.
constexpr Millis kRecheckDelay{ 250 };

} // namespace

RelayCrashes::RelayCrashes(const RelayDependencies& aParts)
  : mParts(aParts)
  , mLedger(state::CrashTrackerSettings{})
{
}

RelayCrashes::Running::iterator
RelayCrashes::Begin(const RequestDigest& aRequest, std::function<void()> aEnd)
{
  return mRunning.emplace(aRequest, std::move(aEnd));
}

void
RelayCrashes::Note(const RequestDigest& aRequest,
                   const RelayEndpoint& aEndpoint)
{
  const CrashReport report{ aRequest, aEndpoint.mNameHash };
  const bool wasFree = QuarantineLeft(aRequest) == Millis(0);
  if (!mLedger.Note(report, Now())) {
    return;
  }
  if (mSeen.size() >= mLedger.Settings().mMaxRequests) {
    mSeen.clear();
  }
  mSeen.insert(aRequest);
  mParts.mLog.Write(EventLine(kRelayComponent, "endpoint-crashed")
                      .Add("endpoint", aEndpoint.mInfo.mId)
                      .Add("content", aRequest.Text())
                      .Add("crashes", Crashes(aRequest)));
  mParts.mMetrics.Count("shuntjunction_relay_crash_reports_total",
                        { { "service", aEndpoint.mInfo.mService } });
  Tell(report, false);
  if (wasFree && QuarantineLeft(aRequest) > Millis(0)) {
    BeginQuarantine(aRequest, "own");
  }
}

void
RelayCrashes::NoteCompleted(const RequestDigest& aRequest)
{
  mSeen.erase(aRequest);
  for (const auto& report : mLedger.Clear(aRequest)) {
    Tell(report, true);
  }
}

void
RelayCrashes::Take(const protocol::CrashReports& aReports)
{
  for (const auto& word : aReports.mWords) {
    const auto& report = word.mReport.mReport;
    if (word.mIsCleared) {
      mSeen.erase(report.mRequest);
      mLedger.Clear(report.mRequest);
      continue;
    }
    const bool wasFree = QuarantineLeft(report.mRequest) == Millis(0);
    mLedger.Note(report, Now() - word.mReport.mAge);
    if (wasFree && QuarantineLeft(report.mRequest) > Millis(0)) {
      BeginQuarantine(report.mRequest, "relays");
    }
  }
}

void
RelayCrashes::ApplyQuarantined(const QuarantinedRequests& aQuarantined)
{
  const auto wall = mParts.mClock.WallMillis();
  for (const auto& [request, kept] : aQuarantined) {
    const bool isKnown = mStored.contains(request);
    const Millis left{ kept.mUntilMillis - wall };
    if (!isKnown && left > Millis(0) &&
        mLedger.Quarantine(request, Now(), left)) {
      BeginQuarantine(request, "store");
    }
  }
  for (const auto& [request, kept] : mStored) {
    if (!aQuarantined.contains(request)) {
      mParts.mLog.Write(
        EventLine(kRelayComponent, "released").Add("content", request.Text()));
      NoteCompleted(request);
    }
  }
  mStored = aQuarantined;
}

Millis
RelayCrashes::QuarantineLeft(const RequestDigest& aRequest) const
{
  return mLedger.QuarantineLeft(aRequest, Now());
}

int
RelayCrashes::Crashes(const RequestDigest& aRequest) const
{
  return mLedger.Crashes(aRequest, Now());
}

void
RelayCrashes::SetGauges()
{
  mParts.mMetrics.Set("shuntjunction_relay_crash_suspects",
                      static_cast<double>(mLedger.Suspects()));
  mParts.mMetrics.Set("shuntjunction_relay_quarantined",
                      static_cast<double>(mLedger.Quarantined(Now())));
}

void
RelayCrashes::BeginQuarantine(const RequestDigest& aRequest,
                              std::string_view aSource)
{
  const auto left = QuarantineLeft(aRequest);
  mParts.mLog.Write(EventLine(kRelayComponent, "quarantined")
                      .Add("content", aRequest.Text())
                      .Add("source", aSource)
                      .Add("crashes", Crashes(aRequest))
                      .Add("left_ms", left.count()));
  // Those that saw a crash keep it, three at the most: not every relay.
  if (mSeen.erase(aRequest) != 0 && mParts.mStoreQuarantine) {
    mParts.mStoreQuarantine(aRequest, left);
  }
  const auto [first, last] = mRunning.equal_range(aRequest);
  for (auto running = first; running != last; ++running) {
    running->second();
  }
}

void
RelayCrashes::Tell(const CrashReport& aReport, bool aIsCleared)
{
  if (!mParts.mSendCrashReports) {
    return;
  }
  const bool isFirst = mPendingReports.empty();
  mPendingReports[aReport.mEndpoint].mWords.push_back(
    { { aReport, Millis(0) }, aIsCleared });
  if (isFirst) {
    transport::Spawn(mParts.mContext, FlushSoon());
  }
}

Task<void>
RelayCrashes::FlushSoon()
{
  co_await transport::Sleep(kReportBatchDelay);
  for (const auto& [endpoint, reports] : std::exchange(mPendingReports, {})) {
    mParts.mSendCrashReports(endpoint, reports);
  }
}

namespace {

/// Asks whether anything listens at an endpoint's address; the connection, if
/// so. Notes a crash if not.
Task<std::shared_ptr<transport::SocketReader>>
Check(std::shared_ptr<Relay::Core> aCore, RelayEndpointPtr aEndpoint)
{
  const auto address = state::ParseAddress(aEndpoint->mInfo.mAddress);
  const auto target =
    transport::EndpointOf(address.value_or(state::Address{}), "relay.check");
  if (!target) {
    co_return nullptr;
  }
  aEndpoint->mIsBeingChecked = true;
  auto socket = co_await transport::ConnectSocket(*target, kCheckTimeout);
  aEndpoint->mIsBeingChecked = false;
  aEndpoint->mProbedAt = aCore->mParts.mClock.Now();
  if (!socket) {
    aEndpoint->mHasCrashed =
      socket.error() == transport::asio::error::connection_refused;
    co_return nullptr;
  }
  const auto reader = std::make_shared<transport::SocketReader>(
    std::move(*socket), aCore->mLimits.mReadAhead);
  reader->Start();
  co_return reader;
}

/// Looks again at an endpoint that listened: one that is about to end may close
/// its connections some moments before.
Task<void>
Recheck(std::shared_ptr<Relay::Core> aCore,
        RelayEndpointPtr aEndpoint,
        std::shared_ptr<transport::SocketReader> aConnection)
{
  co_await transport::Sleep(kRecheckDelay);
  if (!aConnection->IsClosed() || !aEndpoint->AcceptsWork()) {
    co_return;
  }
  const auto second = co_await Check(aCore, aEndpoint);
  if (second) {
    second->Close(false);
  }
  if (aEndpoint->mHasCrashed) {
    aCore->NoteCrashOfBrokenRequests(*aEndpoint);
  }
}

} // namespace

Task<bool>
HasCrashed(std::shared_ptr<Relay::Core> aCore, RelayEndpointPtr aEndpoint)
{
  while (aEndpoint->mIsBeingChecked) {
    co_await transport::Sleep(kCheckPollInterval);
  }
  const auto now = aCore->mParts.mClock.Now();
  if (aEndpoint->mHasCrashed) {
    co_return true;
  }
  // One that leaves ends as planned, whatever it still runs.
  if (!aEndpoint->AcceptsWork() ||
      now - aEndpoint->mProbedAt < kCheckValidity) {
    co_return false;
  }
  const auto connection = co_await Check(aCore, aEndpoint);
  if (connection) {
    // It serves a request, if one comes soon: it has cost a connection.
    EndpointConnection kept;
    kept.mReader = connection;
    aCore->mEndpoints.PutIdle(*aEndpoint, std::move(kept), {}, now);
    transport::Spawn(aCore->mParts.mContext,
                     Recheck(aCore, aEndpoint, connection));
  }
  co_return aEndpoint->mHasCrashed;
}

} // namespace shuntjunction::coordination
