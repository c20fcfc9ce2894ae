#include "relay_attempt.h"

#include <utility>

#include "shuntjunction/transport/connect.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::RelayRequest;
using transport::SocketReader;
using transport::Task;
namespace asio = transport::asio;

namespace {

Task<void>
WriteRequest(std::shared_ptr<SocketReader> aConnection,
             std::shared_ptr<OutgoingRequest> aSending)
{
  const SocketReader::WriteBuffers buffers{
    asio::buffer(aSending->mHead), asio::buffer(aSending->mRequest->mBody)
  };
  // An endpoint that answers early may close its side in order. Its answer
  // still counts, so only the reading side decides.
  aSending->mIsDone = co_await aConnection->Write(buffers);
}

/// Whether a caller's header field is forwarded to an endpoint.
bool
IsForwarded(const RelayCodec& aCodec,
            std::string_view aName,
            std::string_view aConnection,
            bool aIsResumed)
{
  return !transport::IsHopByHopField(aName, aConnection) &&
         !transport::IsSameName(aName, "Content-Length") &&
         !transport::IsSameName(aName, "Authorization") &&
         !transport::IsSameName(aName, "Expect") &&
         aCodec.MayForwardField(aName) &&
         (!aIsResumed || !transport::IsSameName(aName, "Last-Event-Id"));
}

/// Outcome of an attempt that an obstacle stopped before the request was sent.
AttemptOutcome
OutcomeOf(state::Obstacle aObstacle)
{
  switch (aObstacle) {
    case state::Obstacle::kCooldown:
    case state::Obstacle::kRecovering:
      return AttemptOutcome::kCooldown;
    case state::Obstacle::kNoPermit:
      return AttemptOutcome::kNoPermit;
    case state::Obstacle::kNone:
    case state::Obstacle::kRemoved:
    case state::Obstacle::kDraining:
      break;
  }
  return AttemptOutcome::kLeaving;
}

/// The head of a request as an endpoint gets it.
std::string
RequestHead(const RelayRequest& aRequest,
            const RelayCodec& aCodec,
            const ForwardingInfo& aInfo)
{
  std::string head =
    aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  const auto connection = aRequest.Field("Connection");
  const bool isResumed = !aInfo.mResumeAfter.empty();
  for (const auto& field : aRequest.mFields) {
    if (IsForwarded(aCodec, field.mName, connection, isResumed)) {
      head += field.mName + ": " + field.mValue + "\r\n";
    }
  }
  aCodec.AppendForwardingFields(aInfo, head);
  if (aRequest.mIsChunked || aRequest.mHasLength) {
    head += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  head += "\r\n";
  return head;
}

} // namespace

Task<AttemptOutcome>
RelayRun::TryEndpoint(EndpointChoice aChoice)
{
  const auto endpoint = aChoice.mEndpoint;
  const int suspects = aChoice.mIsCrashSuspect ? 1 : 0;
  // Counted before connecting: requests whose connections broke together also
  // choose their next endpoints together, and each has to see the others.
  endpoint->mSuspectRequests += suspects;
  const auto outcome = co_await RunAttempt(std::move(aChoice));
  endpoint->mSuspectRequests -= suspects;
  co_return outcome;
}

Task<AttemptOutcome>
RelayRun::RunAttempt(EndpointChoice aChoice)
{
  auto attempt = std::make_unique<Attempt>();
  attempt->mEndpointChoice = std::move(aChoice);
  mTimes = {};
  mAnswerTrace = {};
  auto& endpoint = *attempt->mEndpointChoice.mEndpoint;
  const auto connected = co_await Connect(*attempt);
  if (connected == AttemptOutcome::kUnsent) {
    ++mUnsentTries;
  }
  if (connected != AttemptOutcome::kDone) {
    co_return connected;
  }
  auto clearance = ClearToSend(*attempt);
  if (!clearance) {
    ReleaseUnused(*attempt);
    co_return clearance.error();
  }
  attempt->mSoftwareVersion = endpoint.mInfo.mSoftwareVersion;
  mIsPastBeginning = false;
  mIsTrial =
    mCore->mPartCrashes.SuspicionOf(mParts) >= state::PartSuspicion::kSuspect;
  PlaceCopy(*attempt);
  LogSent(attempt->mEndpointChoice);
  attempt->mEndpointChoice.mSentAt = Now();
  mAbsentSince.reset();
  mLatestEnd = state::RunEnd::kUnknown;
  mLatestRun = { mCall.mRequestId, attempt->mEndpointChoice.mSentAt, {} };
  if (endpoint.mRunning++ == 0) {
    endpoint.mLastBytesAt = Now();
  }
  AddWaiting(attempt->mEndpointChoice);
  if (endpoint.mRate) {
    ++endpoint.mRate->mSent;
    mCore->mDependencies.mMetrics.Count(
      "shuntjunction_relay_limited_sends_total", { { "service", mService } });
  }
  attempt->mPermit = std::exchange(mPermit, std::nullopt);
  attempt->mRetryCharge = std::exchange(mRetryCharge, nullptr);
  mTriedEndpoints.push_back(endpoint.mInfo.mId);
  mCore->mRollouts.NoteSent(endpoint.mInfo);
  Send(*attempt, std::move(*clearance));
  NoteRunning(*attempt);
  mTimes.mSent = SinceArrival();
  endpoint.mBusy.insert(attempt->mConnection.mReader);
  const std::int64_t runs = attempt->mEndpointChoice.mWeights != 0 ? 1 : 0;
  mCore->mEngineRuns += runs;
  mCore->mEngineRunTokens += runs * mCall.mPromptTokens;
  co_return co_await CompleteAttempt(std::move(attempt));
}

void
RelayRun::NoteRunning(const Attempt& aAttempt)
{
  auto& running = mRunningEntry.value()->second;
  running.mEndpoint = aAttempt.mEndpointChoice.mEndpoint->mNameHash;
  running.mSentAt = aAttempt.mEndpointChoice.mSentAt;
}

Task<AttemptOutcome>
RelayRun::CompleteAttempt(std::unique_ptr<Attempt> aAttempt)
{
  const auto outcome = co_await ReadAnswer(*aAttempt);
  mRunningEntry.value()->second.mEndpoint = 0;
  mOpenConnection = nullptr;
  if (outcome == AttemptOutcome::kSilent ||
      outcome == AttemptOutcome::kWithdrawn) {
    Suspend(std::move(aAttempt), outcome);
  } else {
    EndAttempt(*aAttempt, outcome);
  }
  // One that is suspended may still answer that it was not run.
  if (outcome == AttemptOutcome::kBroken || outcome == AttemptOutcome::kEnded ||
      outcome == AttemptOutcome::kInterrupted) {
    mMayHaveRun = true;
  }
  co_return outcome;
}

void
RelayRun::EndAttempt(Attempt& aAttempt, AttemptOutcome aOutcome)
{
  auto& endpoint = *aAttempt.mEndpointChoice.mEndpoint;
  KeepUnsettled(aAttempt, aOutcome);
  const std::int64_t runs = aAttempt.mEndpointChoice.mWeights != 0 ? 1 : 0;
  mCore->mEngineRuns -= runs;
  mCore->mEngineRunTokens -= runs * mCall.mPromptTokens;
  --endpoint.mRunning;
  SettleClearance(aAttempt, false);
  if (!aAttempt.mHasBegun) {
    RemoveWaiting(aAttempt.mEndpointChoice);
  }
  if (const auto reader = aAttempt.mConnection.mReader) {
    endpoint.mBusy.erase(reader);
    // Not returned to the pool: whatever may still come belongs to no request.
    reader->Close(true);
  }
}

tl::expected<state::SendClearance, AttemptOutcome>
RelayRun::ClearToSend(const Attempt& aAttempt)
{
  if (HasRevivedAttempt()) {
    mLastProblem = "former endpoint revived";
    return tl::unexpected(AttemptOutcome::kWithheld);
  }
  // While the request waited for a part, a permit or a connection, the chosen
  // endpoint may have become unavailable.
  const auto& endpoint = aAttempt.mEndpointChoice.mEndpoint;
  const auto permit =
    endpoint->PermitNeedOf(IsUrgent(Urgency()), HasPermitFor(endpoint));
  const auto obstacle = endpoint->mAvailability->ObstacleAtSend(Now(), permit);
  if (obstacle != state::Obstacle::kNone) {
    mLastProblem =
      "endpoint " + std::string(state::kObstacleNames.Name(obstacle));
    mCore->mNotices.CountWithheld(*endpoint, obstacle);
    return tl::unexpected(OutcomeOf(obstacle));
  }
  if (!mCore->mRollouts.MayUse(endpoint->mInfo) || !IsOfOrigin(*endpoint)) {
    mLastProblem = "endpoint of another version";
    return tl::unexpected(AttemptOutcome::kLeaving);
  }
  // A run that goes on from a copy began before.
  const auto& choice = aAttempt.mEndpointChoice;
  if (choice.mWeights != 0 && choice.mContinueFrom.empty() &&
      IsOutdatedAtBegin(*mCore, *endpoint, mCall, choice.mWeights)) {
    mLastProblem = "weights outdated";
    return tl::unexpected(AttemptOutcome::kLeaving);
  }
  // It may have become suspect while the request waited.
  if (!mIsPastBeginning && mTrials.empty() &&
      mCore->mPartCrashes.SuspicionOf(mParts) >=
        state::PartSuspicion::kRestricted) {
    mLastProblem = "part restricted";
    return tl::unexpected(AttemptOutcome::kLeaving);
  }
  if (mCore->mCrashes.IsDeferred(mDigest)) {
    mLastProblem = kSuspectedReason;
    return tl::unexpected(AttemptOutcome::kLeaving);
  }
  if (const auto reason = ReasonToWithhold(); !reason.empty()) {
    mLastProblem = reason;
    return tl::unexpected(AttemptOutcome::kWithheld);
  }
  return endpoint->mAvailability->GrantClearance(Now());
}

void
RelayRun::ReleaseUnused(Attempt& aAttempt)
{
  // Nothing was sent on the connection, so it is still usable.
  mOpenConnection = nullptr;
  mCore->mEndpoints.PutIdle(*aAttempt.mEndpointChoice.mEndpoint,
                            std::move(aAttempt.mConnection),
                            {},
                            Now());
}

void
RelayRun::SettleClearance(Attempt& aAttempt, bool aIsAccepted)
{
  if (aAttempt.mClearance) {
    aAttempt.mEndpointChoice.mEndpoint->mAvailability->Settle(
      *std::exchange(aAttempt.mClearance, std::nullopt), aIsAccepted);
  }
}

std::string_view
RelayRun::ReasonToWithhold()
{
  // After a pause of the process, whatever woke it runs before the deadline's
  // timer.
  if (Now() >= mDeadline) {
    return "deadline";
  }
  if (AreKeysStale()) {
    return "stale-keys";
  }
  // Only what is sent counts as a retry.
  if (!mTriedEndpoints.empty() && !UseRetry()) {
    return "retry-budget";
  }
  return {};
}

Task<AttemptOutcome>
RelayRun::Connect(Attempt& aAttempt)
{
  auto& endpoint = *aAttempt.mEndpointChoice.mEndpoint;
  const auto maxIdle = mRoute->IsRepeatable()
                         ? mCore->mEndpoints.Settings().mIdleLimit
                         : mCore->mLimits.mOnceMaxIdle;
  aAttempt.mConnection = mCore->mEndpoints.TakeIdle(endpoint, maxIdle, Now());
  if (aAttempt.mConnection.mReader) {
    mOpenConnection = aAttempt.mConnection.mReader;
    co_return AttemptOutcome::kDone;
  }
  const auto& settings = mCore->mEndpoints.Settings();
  const auto address = state::ParseAddress(endpoint.mInfo.mAddress);
  const auto target = transport::ToTcpEndpoint(
    address.value_or(state::Address{}), "relay.connect");
  if (!target) {
    mLastProblem = "bad-address";
    co_return AttemptOutcome::kUnsent;
  }
  if (!mCore->MakeRoomForEndpoint()) {
    mLastProblem = "no-descriptors";
    co_return AttemptOutcome::kWithheld;
  }
  auto count = mCore->mEndpoints.CountConnection();
  auto socket =
    co_await transport::ConnectSocket(*target, settings.mConnectTimeout);
  if (!socket) {
    if (socket.error() == asio::error::connection_refused) {
      endpoint.mAvailability->Pause(settings.mRefusedPause, Now());
    }
    mLastProblem = "connect: " + socket.error().message();
    co_return AttemptOutcome::kUnsent;
  }
  aAttempt.mConnection.mReader = std::make_shared<SocketReader>(
    std::move(*socket), mCore->mLimits.mReadAhead);
  aAttempt.mConnection.mReader->KeepWhileOpen(std::move(count));
  aAttempt.mConnection.mReader->Start();
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_connections_opened_total");
  mOpenConnection = aAttempt.mConnection.mReader;
  if (mInterrupt != RunInterrupt::kNone) {
    aAttempt.mConnection.mReader->Close(true);
    mOpenConnection = nullptr;
    co_return AttemptOutcome::kWithheld;
  }
  co_return AttemptOutcome::kDone;
}

void
RelayRun::Send(Attempt& aAttempt, state::SendClearance aClearance)
{
  aAttempt.mClearance = std::move(aClearance);
  aAttempt.mOutgoing = std::make_shared<OutgoingRequest>();
  aAttempt.mOutgoing->mRequest = mRequest;
  aAttempt.mOutgoing->mHead =
    RequestHead(*mRequest,
                mCore->mDependencies.mCodec,
                MakeForwardingInfo(aAttempt.mEndpointChoice));
  NotePartPrefill(aAttempt.mEndpointChoice);
  transport::Spawn(
    mCore->mDependencies.mContext,
    WriteRequest(aAttempt.mConnection.mReader, aAttempt.mOutgoing));
}

ForwardingInfo
RelayRun::MakeForwardingInfo(const EndpointChoice& aChoice) const
{
  ForwardingInfo handOver;
  handOver.mRequestId = mCall.mRequestId;
  handOver.mTimeLeft = std::chrono::duration_cast<Millis>(mDeadline - Now());
  handOver.mEndpointId = aChoice.mEndpoint->mInfo.mId;
  handOver.mResumeAfter = mPosition.mLastEventId;
  if (mTeam != nullptr) {
    handOver.mTeam = mTeam->mName;
  }
  if (aChoice.mWeights != 0) {
    handOver.mUrgency = aChoice.mUrgency;
    handOver.mWeights = aChoice.mWeights;
    handOver.mSalt = aChoice.mSalt;
    handOver.mPartSource = aChoice.mPartSource;
    handOver.mPartStore = aChoice.mPartStore;
    handOver.mBackupAddress = aChoice.mCopyAddress;
    handOver.mContinueFrom = aChoice.mContinueFrom;
  }
  return handOver;
}

void
RelayRun::NotePartPrefill(const EndpointChoice& aChoice)
{
  if (aChoice.mPart.empty()) {
    return;
  }
  auto& record = mCore->mPartRecords.At(aChoice.mPartName);
  const bool isCached = mCore->mEndpoints.Parts().HasHolder(aChoice.mPartName);
  const bool isNewsDue = Now() - record.mServedAt < mCore->mLimits.mNewsDelay;
  if (isCached || isNewsDue) {
    return;
  }
  record.mPrefillStartedAt = Now();
  record.mPrefillEndpoint = aChoice.mEndpoint->mInfo.mId;
  AnnouncePartReading(aChoice, false);
}

void
RelayRun::AddWaiting(const EndpointChoice& aChoice)
{
  auto& endpoint = *aChoice.mEndpoint;
  endpoint.mWaiting.Add(aChoice.mUrgency, aChoice.mPrefillTokens);
  if (aChoice.mIsDeprioritized) {
    endpoint.mLate.Add(aChoice.mSentAt);
  }
  ReportWaiting(endpoint,
                aChoice.mIsPartCached ? std::string() : aChoice.mPartName);
}

void
RelayRun::RemoveWaiting(const EndpointChoice& aChoice)
{
  auto& endpoint = *aChoice.mEndpoint;
  endpoint.mWaiting.Remove(aChoice.mUrgency, aChoice.mPrefillTokens);
  if (aChoice.mIsDeprioritized) {
    endpoint.mLate.Remove(aChoice.mSentAt);
  }
  ReportWaiting(endpoint, {});
}

void
RelayRun::ReportWaiting(const RelayEndpoint& aEndpoint,
                        const std::string& aPart)
{
  const auto& report = mCore->mDependencies.mReportWaiting;
  // Nothing is reported for a former incarnation.
  if (report && aEndpoint.mAvailability->IsListed() &&
      !aEndpoint.mInfo.mModels.empty()) {
    report(aEndpoint.mInfo.mAddress, aEndpoint.mWaiting, aPart);
  }
}

void
RelayRun::AnnouncePartReading(const EndpointChoice& aChoice, bool aIsDone)
{
  const auto& report = mCore->mDependencies.mSendPartReading;
  if (report) {
    const auto& endpoint = aChoice.mEndpoint->mInfo;
    report(endpoint.mAddress, { aChoice.mPartName, aIsDone, endpoint.mId });
  }
}

void
RelayRun::Finish(Attempt& aAttempt)
{
  const auto& head = aAttempt.mAnswer->Head();
  const auto& reader = aAttempt.mConnection.mReader;
  const bool isReusable = head.mKeepsAlive && aAttempt.mOutgoing->mIsDone &&
                          !aAttempt.mIsForeignSkipped && !reader->IsClosed() &&
                          reader->Buffered().empty();
  if (!isReusable) {
    return;
  }
  mOpenConnection = nullptr;
  aAttempt.mEndpointChoice.mEndpoint->mBusy.erase(reader);
  mCore->mEndpoints.PutIdle(*aAttempt.mEndpointChoice.mEndpoint,
                            std::exchange(aAttempt.mConnection, {}),
                            head.Field("Keep-Alive"),
                            Now());
}

} // namespace shuntjunction::coordination
