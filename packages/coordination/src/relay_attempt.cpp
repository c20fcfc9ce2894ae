#include "relay_attempt.h"

#include <array>
#include <utility>

#include <boost/asio/write.hpp>

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
  const std::array<asio::const_buffer, 2> buffers{
    asio::buffer(aSending->mHead), asio::buffer(aSending->mRequest->mBody)
  };
  const auto [error, bytes] = co_await asio::async_write(
    aConnection->Socket(), buffers, transport::kAsTuple);
  if (!error) {
    aSending->mIsDone = true;
  }
  // An endpoint that answers early may close its side: the answer counts, so
  // only the reading decides.
}

/// Whether a caller's header field goes on to an endpoint.
bool
IsForwarded(const RelayCodec& aCodec,
            std::string_view aName,
            std::string_view aConnection,
            bool aIsResumed)
{
  return !transport::IsConnectionField(aName, aConnection) &&
         !transport::IsSameName(aName, "Content-Length") &&
         !transport::IsSameName(aName, "Authorization") &&
         !transport::IsSameName(aName, "Expect") &&
         aCodec.MayForwardField(aName) &&
         (!aIsResumed || !transport::IsSameName(aName, "Last-Event-Id"));
}

/// How an attempt ends that an obstacle stopped before the send.
AttemptOutcome
OutcomeOf(state::Obstacle aObstacle)
{
  switch (aObstacle) {
    case state::Obstacle::kCooldown:
    case state::Obstacle::kRecovering:
      return AttemptOutcome::kCooldown;
    case state::Obstacle::kNoPermit:
      return AttemptOutcome::kNoPlace;
    case state::Obstacle::kNone:
    case state::Obstacle::kRemoved:
    case state::Obstacle::kDraining:
      break;
  }
  return AttemptOutcome::kLeft;
}

/// The head of a request as an endpoint gets it.
std::string
RequestHead(const RelayRequest& aRequest,
            const RelayCodec& aCodec,
            const ForwardingInfo& aHandOver)
{
  std::string head =
    aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  const auto connection = aRequest.Field("Connection");
  const bool isResumed = !aHandOver.mResumeAfter.empty();
  for (const auto& field : aRequest.mFields) {
    if (IsForwarded(aCodec, field.mName, connection, isResumed)) {
      head += field.mName + ": " + field.mValue + "\r\n";
    }
  }
  aCodec.AppendForwardingFields(aHandOver, head);
  if (aRequest.mIsChunked || aRequest.mHasLength) {
    head += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  head += "\r\n";
  return head;
}

} // namespace

Task<AttemptOutcome>
RelayRun::Try(EndpointChoice aPick)
{
  const auto endpoint = aPick.mEndpoint;
  const int suspects = aPick.mIsCrashSuspect ? 1 : 0;
  // Before it connects: those that broke off together choose together.
  endpoint->mSuspectRequests += suspects;
  const auto outcome = co_await RunAttempt(std::move(aPick));
  endpoint->mSuspectRequests -= suspects;
  co_return outcome;
}

Task<AttemptOutcome>
RelayRun::RunAttempt(EndpointChoice aPick)
{
  Attempt attempt;
  attempt.mEndpointChoice = std::move(aPick);
  mTimes = {};
  auto& endpoint = *attempt.mEndpointChoice.mEndpoint;
  const auto connected = co_await Connect(attempt);
  if (connected == AttemptOutcome::kUnsent) {
    ++mUnsentTries;
  }
  if (connected != AttemptOutcome::kDone) {
    co_return connected;
  }
  auto clearance = ClearToSend(attempt);
  if (!clearance) {
    ReleaseUnused(attempt);
    co_return clearance.error();
  }
  mPartialEvent.clear();
  LogSent(attempt.mEndpointChoice);
  attempt.mEndpointChoice.mSentAt = Now();
  if (endpoint.mRunning++ == 0) {
    endpoint.mLastBytesAt = Now();
  }
  AddWaiting(attempt.mEndpointChoice);
  if (endpoint.mRate) {
    ++endpoint.mRate->mSent;
    mCore->mParts.mMetrics.Count("shuntjunction_relay_limited_sends_total",
                                 { { "service", mService } });
  }
  attempt.mPlace = std::exchange(mPlace, std::nullopt);
  mTriedEndpoints.push_back(endpoint.mInfo.mId);
  Send(attempt, std::move(*clearance));
  mTimes.mSent = SinceArrival();
  const auto connection = attempt.mConnection.mReader;
  endpoint.mBusy.insert(connection);
  const auto outcome = co_await ReadAnswer(attempt);
  endpoint.mBusy.erase(connection);
  --endpoint.mRunning;
  SettleClearance(attempt, false);
  if (!attempt.mHasBegun) {
    RemoveWaiting(attempt.mEndpointChoice);
  }
  mOpenConnection = nullptr;
  if (attempt.mConnection.mReader) {
    // Not given back: whatever may still come belongs to nobody.
    attempt.mConnection.mReader->Close(true);
  }
  if (outcome == AttemptOutcome::kBroken ||
      outcome == AttemptOutcome::kSilent ||
      outcome == AttemptOutcome::kInterrupted) {
    mMayHaveRun = true;
  }
  co_return outcome;
}

tl::expected<state::SendClearance, AttemptOutcome>
RelayRun::ClearToSend(const Attempt& aAttempt)
{
  // The wait for a part, a permit or a connection was long enough for the
  // endpoint to become unavailable since it was chosen.
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
  if (const auto reason = ReasonToWithhold(); !reason.empty()) {
    mLastProblem = reason;
    return tl::unexpected(AttemptOutcome::kWithheld);
  }
  return endpoint->mAvailability->GrantClearance(Now());
}

void
RelayRun::ReleaseUnused(Attempt& aAttempt)
{
  // Nothing was sent on the connection: it is as good as before.
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
  // After a pause of the process the deadline's timer comes behind what woke
  // it.
  if (Now() >= mDeadline) {
    return "deadline";
  }
  if (AreKeysStale()) {
    return "stale-keys";
  }
  // Only what is sent counts as a repeat.
  if (!mTriedEndpoints.empty() && !mCore->BudgetOf(mService).TryRepeat(Now())) {
    return "retry-budget";
  }
  return {};
}

Task<AttemptOutcome>
RelayRun::Connect(Attempt& aAttempt)
{
  auto& endpoint = *aAttempt.mEndpointChoice.mEndpoint;
  const auto maxRest = mRoute->IsRepeatable()
                         ? mCore->mEndpoints.Settings().mIdleLimit
                         : mCore->mLimits.mOnceMaxIdle;
  aAttempt.mConnection = mCore->mEndpoints.TakeIdle(endpoint, maxRest, Now());
  if (aAttempt.mConnection.mReader) {
    mOpenConnection = aAttempt.mConnection.mReader;
    co_return AttemptOutcome::kDone;
  }
  const auto& settings = mCore->mEndpoints.Settings();
  const auto address = state::ParseAddress(endpoint.mInfo.mAddress);
  const auto target =
    transport::EndpointOf(address.value_or(state::Address{}), "relay.connect");
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
  mCore->mParts.mMetrics.Count("shuntjunction_relay_connections_opened_total");
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
                mCore->mParts.mCodec,
                MakeForwardingInfo(aAttempt.mEndpointChoice));
  NotePartPrefill(aAttempt.mEndpointChoice);
  transport::Spawn(
    mCore->mParts.mContext,
    WriteRequest(aAttempt.mConnection.mReader, aAttempt.mOutgoing));
}

ForwardingInfo
RelayRun::MakeForwardingInfo(const EndpointChoice& aPick) const
{
  ForwardingInfo handOver;
  handOver.mTimeLeft = std::chrono::duration_cast<Millis>(mDeadline - Now());
  handOver.mEndpointId = aPick.mEndpoint->mInfo.mId;
  handOver.mResumeAfter = mLastEventId;
  if (mTeam != nullptr) {
    handOver.mTeam = mTeam->mName;
  }
  if (aPick.mWeights != 0) {
    handOver.mUrgency = aPick.mUrgency;
    handOver.mWeights = aPick.mWeights;
    handOver.mSalt = aPick.mSalt;
    handOver.mPartSource = aPick.mPartSource;
    handOver.mPartStore = aPick.mPartStore;
  }
  return handOver;
}

void
RelayRun::NotePartPrefill(const EndpointChoice& aPick)
{
  if (aPick.mPart.empty()) {
    return;
  }
  auto& record = mCore->mLedger.At(aPick.mPartName);
  const bool isKept = mCore->mEndpoints.Parts().HasHolder(aPick.mPartName);
  const bool isNewsDue = Now() - record.mServedAt < mCore->mLimits.mNewsDelay;
  if (isKept || isNewsDue) {
    return;
  }
  record.mPrefillStartedAt = Now();
  record.mPrefillEndpoint = aPick.mEndpoint->mInfo.mId;
  AnnouncePartReading(aPick, false);
}

void
RelayRun::AddWaiting(const EndpointChoice& aPick)
{
  auto& endpoint = *aPick.mEndpoint;
  endpoint.mWaiting.Add(aPick.mUrgency, aPick.mPrefillTokens);
  if (aPick.mIsDeprioritized) {
    endpoint.mLate.Add(aPick.mSentAt);
  }
  ReportWaiting(endpoint, aPick.mIsKept ? std::string() : aPick.mPartName);
}

void
RelayRun::RemoveWaiting(const EndpointChoice& aPick)
{
  auto& endpoint = *aPick.mEndpoint;
  endpoint.mWaiting.Remove(aPick.mUrgency, aPick.mPrefillTokens);
  if (aPick.mIsDeprioritized) {
    endpoint.mLate.Remove(aPick.mSentAt);
  }
  ReportWaiting(endpoint, {});
}

void
RelayRun::ReportWaiting(const RelayEndpoint& aEndpoint,
                        const std::string& aPart)
{
  const auto& tell = mCore->mParts.mReportWaiting;
  // Of a former life nothing is told any more.
  if (tell && aEndpoint.mAvailability->IsListed() &&
      !aEndpoint.mInfo.mModels.empty()) {
    tell(aEndpoint.mInfo.mAddress, aEndpoint.mWaiting, aPart);
  }
}

void
RelayRun::AnnouncePartReading(const EndpointChoice& aPick, bool aIsDone)
{
  const auto& tell = mCore->mParts.mSendPartReading;
  if (tell) {
    const auto& endpoint = aPick.mEndpoint->mInfo;
    tell(endpoint.mAddress, { aPick.mPartName, aIsDone, endpoint.mId });
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
  mCore->mEndpoints.PutIdle(*aAttempt.mEndpointChoice.mEndpoint,
                            std::exchange(aAttempt.mConnection, {}),
                            head.Field("Keep-Alive"),
                            Now());
}

} // namespace shuntjunction::coordination
