#include <array>
#include <cstdio>

#include <boost/asio/write.hpp>

#include "relay_run.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::RouteKind;
using state::TimePoint;
using transport::ReadStep;
using transport::RelayAnswer;
using transport::RelayAnswerReader;
using transport::RelayRequest;
using transport::SocketReader;
using transport::Task;
namespace asio = transport::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooMany = 429;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

bool
IsSuccess(unsigned aStatus)
{
  constexpr unsigned kFirst = 200;
  constexpr unsigned kLast = 299;
  return aStatus >= kFirst && aStatus <= kLast;
}

/// Statuses that promise a caller that its request was not run.
bool
IsPromise(unsigned aStatus)
{
  return aStatus == kMisdirected || aStatus == kTooMany ||
         aStatus == kRequestTimeout || aStatus == kUnavailable;
}

bool
HasNoBody(unsigned aStatus)
{
  return aStatus == kNoContent || aStatus == kNotModified;
}

/// A piece of a body in chunked coding.
std::string
Chunk(std::string_view aPiece)
{
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aPiece.size());
  std::string chunk = size.data();
  chunk += aPiece;
  chunk += "\r\n";
  return chunk;
}

constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Bytes of a request on their way to an endpoint.
struct Sending
{
  std::string mHead;
  std::shared_ptr<RelayRequest> mRequest;
  bool mIsDone = false;
};

Task<void>
WriteRequest(std::shared_ptr<SocketReader> aConnection,
             std::shared_ptr<Sending> aSending)
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

} // namespace

/// One attempt at one endpoint.
struct RelayRun::Attempt
{
  RelayPick mPick;
  EndpointConnection mConnection;
  std::shared_ptr<Sending> mSending;
  std::unique_ptr<RelayAnswerReader> mAnswer;
  AnswerFacts mFacts;
  std::string mHeld;            ///< body that waits until the answer is whole
  bool mIsOtherSkipped = false; ///< an answer to another request came first
  bool mIsStreamed = false;     ///< passed on as it comes
  bool mHasBegun = false;
};

Task<AttemptOutcome>
RelayRun::Try(RelayPick aPick)
{
  Attempt attempt;
  attempt.mPick = std::move(aPick);
  auto& endpoint = *attempt.mPick.mEndpoint;
  const auto connected = co_await Connect(attempt);
  if (connected != AttemptOutcome::kDone) {
    ++mUnsentTries;
    co_return connected;
  }
  if (IsStale()) {
    // Nothing was sent yet, and the connection is as good as before.
    mCore->mEndpoints.PutIdle(
      endpoint, std::move(attempt.mConnection), {}, Now());
    mLastProblem = "stale-keys";
    mUnsentTries = INT32_MAX / 2;
    co_return AttemptOutcome::kUnsent;
  }
  const auto unread = attempt.mPick.mTokensToRead;
  mPartialEvent.clear();
  ++endpoint.mRunning;
  endpoint.mUnreadTokens += unread;
  mTried.push_back(endpoint.mInfo.mId);
  Send(attempt);
  const auto connection = attempt.mConnection.mReader;
  endpoint.mBusy.insert(connection);
  const auto outcome = co_await ReadAnswer(attempt);
  endpoint.mBusy.erase(connection);
  --endpoint.mRunning;
  if (!attempt.mHasBegun) {
    endpoint.mUnreadTokens -= unread;
  }
  mOpenAttempt = nullptr;
  if (attempt.mConnection.mReader) {
    // Not given back: whatever may still come belongs to nobody.
    attempt.mConnection.mReader->Close(true);
  }
  if (outcome == AttemptOutcome::kBroken ||
      outcome == AttemptOutcome::kInterrupted) {
    mMayHaveRun = true;
  }
  co_return outcome;
}

Task<AttemptOutcome>
RelayRun::Connect(Attempt& aAttempt)
{
  auto& endpoint = *aAttempt.mPick.mEndpoint;
  const auto maxRest = mRoute->IsRepeatable()
                         ? mCore->mEndpoints.Settings().mIdleLimit
                         : mCore->mLimits.mOnceMaxRest;
  aAttempt.mConnection = mCore->mEndpoints.TakeIdle(endpoint, maxRest, Now());
  if (aAttempt.mConnection.mReader) {
    mOpenAttempt = aAttempt.mConnection.mReader;
    co_return AttemptOutcome::kDone;
  }
  const auto address = state::ParseAddress(endpoint.mInfo.mAddress);
  boost::system::error_code badAddress;
  const auto ip = asio::ip::make_address(
    address ? address->mHost : std::string(), badAddress);
  if (badAddress) {
    mLastProblem = "bad-address";
    co_return AttemptOutcome::kUnsent;
  }
  const auto socket = std::make_shared<tcp::socket>(mCore->mParts.mContext);
  asio::steady_timer timer(mCore->mParts.mContext,
                           mCore->mEndpoints.Settings().mConnectTimeout);
  timer.async_wait([socket](const auto& aError) {
    boost::system::error_code ignored;
    if (!aError && socket->is_open()) {
      socket->close(ignored);
    }
  });
  const auto [error] = co_await socket->async_connect(
    tcp::endpoint(ip, address->mPort), transport::kAsTuple);
  if (timer.cancel() == 0 || error) {
    if (error == asio::error::connection_refused) {
      endpoint.mClosedUntil =
        Now() + mCore->mEndpoints.Settings().mRefusedPause;
    }
    mLastProblem = "connect: " + error.message();
    co_return AttemptOutcome::kUnsent;
  }
  transport::SetSilenceLimits(*socket, mCore->mEndpoints.Settings().mSilence);
  aAttempt.mConnection.mReader = std::make_shared<SocketReader>(
    std::move(*socket), mCore->mLimits.mReadAhead);
  aAttempt.mConnection.mReader->Start();
  mCore->mParts.mMetrics.Count("shuntjunction_relay_connections_opened_total");
  mOpenAttempt = aAttempt.mConnection.mReader;
  if (mInterrupt != RunInterrupt::kNone) {
    aAttempt.mConnection.mReader->Close(true);
    mOpenAttempt = nullptr;
    co_return AttemptOutcome::kUnsent;
  }
  co_return AttemptOutcome::kDone;
}

void
RelayRun::Send(Attempt& aAttempt)
{
  const auto& pick = aAttempt.mPick;
  const auto& codec = mCore->mParts.mCodec;
  HandOver handOver;
  handOver.mTimeLeft = std::chrono::duration_cast<Millis>(mDeadline - Now());
  handOver.mEndpointId = pick.mEndpoint->mInfo.mId;
  handOver.mResumeAfter = mLastEventId;
  if (mTeam != nullptr) {
    handOver.mTeam = mTeam->mName;
  }
  if (pick.mWeights != 0) {
    handOver.mUrgency = mTeam != nullptr
                          ? mTeam->mUrgency.value_or(mRoute->mUrgency)
                          : mRoute->mUrgency;
    handOver.mWeights = pick.mWeights;
    handOver.mSalt = pick.mSalt;
    handOver.mPartSource = pick.mPartSource;
    handOver.mPartStore = pick.mPartStore;
  }
  aAttempt.mSending = std::make_shared<Sending>();
  aAttempt.mSending->mRequest = mRequest;
  std::string& head = aAttempt.mSending->mHead;
  head = mRequest->mMethod + " " + mRequest->mTarget + " HTTP/1.1\r\n";
  const auto connection = mRequest->Field("Connection");
  for (const auto& field : mRequest->mFields) {
    const bool isPassed =
      !transport::IsConnectionField(field.mName, connection) &&
      !transport::IsSameName(field.mName, "Content-Length") &&
      !transport::IsSameName(field.mName, "Authorization") &&
      !transport::IsSameName(field.mName, "Expect") &&
      codec.IsCallersToSet(field.mName) &&
      (handOver.mResumeAfter.empty() ||
       !transport::IsSameName(field.mName, "Last-Event-Id"));
    if (isPassed) {
      head += field.mName + ": " + field.mValue + "\r\n";
    }
  }
  codec.AppendHandOver(handOver, head);
  if (mRequest->mIsChunked || mRequest->mHasLength) {
    head +=
      "Content-Length: " + std::to_string(mRequest->mBody.size()) + "\r\n";
  }
  head += "\r\n";
  if (!pick.mPart.empty()) {
    auto& record = mCore->mLedger.At(pick.mSalt, pick.mPart);
    if (Now() - record.mServedAt > mCore->mLimits.mPartMemory) {
      record.mReadingFrom = Now();
      record.mReader = pick.mEndpoint->mInfo.mId;
    }
  }
  transport::Spawn(
    mCore->mParts.mContext,
    WriteRequest(aAttempt.mConnection.mReader, aAttempt.mSending));
}

Task<AttemptOutcome>
RelayRun::ReadAnswer(Attempt& aAttempt)
{
  const bool isHead = mRequest->mMethod == "HEAD";
  auto& reader = *aAttempt.mConnection.mReader;
  aAttempt.mAnswer = std::make_unique<RelayAnswerReader>(isHead);
  bool isHeadJudged = false;
  bool isSkipping = false;
  while (true) {
    if (mInterrupt != RunInterrupt::kNone) {
      co_return AttemptOutcome::kInterrupted;
    }
    ReadStep step = ReadStep::kNeedMore;
    std::size_t consumed = 0;
    if (!reader.Buffered().empty()) {
      step = aAttempt.mAnswer->Put(reader.Buffered(), consumed);
      reader.Consume(consumed);
    }
    if (step == ReadStep::kNeedMore && consumed == 0) {
      // What is buffered, if anything, is a piece that is not yet whole.
      if (!reader.IsClosed()) {
        co_await reader.Wait(mDeadline);
        continue;
      }
      if (!reader.IsEndedInOrder() || !aAttempt.mAnswer->EndOfConnection()) {
        mLastProblem =
          aAttempt.mAnswer->HasBegun() ? "answer cut off" : "closed unanswered";
        co_return AttemptOutcome::kBroken;
      }
      step = ReadStep::kDone;
    }
    if (step == ReadStep::kBad) {
      mLastProblem = "malformed answer";
      co_return AttemptOutcome::kBroken;
    }
    const bool isDone = step == ReadStep::kDone;
    if (!isHeadJudged && (isDone || step == ReadStep::kHead)) {
      isHeadJudged = true;
      aAttempt.mFacts =
        mCore->mParts.mCodec.ReadAnswer(aAttempt.mAnswer->Head());
      const auto& id = aAttempt.mFacts.mRequestId;
      isSkipping = !id.empty() && id != mCall.mRequestId;
      if (!isSkipping) {
        if (const auto verdict = JudgeHead(aAttempt)) {
          if (isDone && *verdict != AttemptOutcome::kBroken) {
            Finish(aAttempt);
          }
          co_return *verdict;
        }
      }
    }
    if (isSkipping) {
      // An answer to an earlier request came late: ours may follow it.
      aAttempt.mAnswer->TakeBody();
      if (isDone) {
        aAttempt.mIsOtherSkipped = true;
        aAttempt.mAnswer = std::make_unique<RelayAnswerReader>(isHead);
        isHeadJudged = false;
        isSkipping = false;
      }
      continue;
    }
    if (!isHeadJudged) {
      continue;
    }
    if (!co_await PassBody(aAttempt, isDone)) {
      co_return mInterrupt != RunInterrupt::kNone ? AttemptOutcome::kInterrupted
                                                  : AttemptOutcome::kBroken;
    }
    if (isDone) {
      Finish(aAttempt);
      LogOutcome("answered", "");
      co_return AttemptOutcome::kDone;
    }
  }
}

std::optional<AttemptOutcome>
RelayRun::JudgeHead(Attempt& aAttempt)
{
  const auto& head = aAttempt.mAnswer->Head();
  const auto& facts = aAttempt.mFacts;
  if (head.mStatus == kMisdirected) {
    mLastProblem = "misdirected";
    return AttemptOutcome::kMisdirected;
  }
  if (facts.mIsNotRun) {
    mLastProblem = "endpoint refused: " + std::to_string(head.mStatus);
    return AttemptOutcome::kNotRun;
  }
  const bool isOurs = facts.mRequestId == mCall.mRequestId;
  const bool isUsable = isOurs && !facts.mIsEncoded &&
                        !IsPromise(head.mStatus) &&
                        (facts.mIsSigned || !IsSuccess(head.mStatus)) &&
                        (!mIsHeadPassed || IsSuccess(head.mStatus));
  if (!isUsable) {
    mLastProblem = "unusable answer: " + std::to_string(head.mStatus);
    return AttemptOutcome::kBroken;
  }
  aAttempt.mIsStreamed =
    mRoute->mKind == RouteKind::kStream && IsSuccess(head.mStatus);
  return std::nullopt;
}

void
RelayRun::NoteAnswerBegun(const Attempt& aAttempt)
{
  const auto& pick = aAttempt.mPick;
  constexpr double kMillisPerSecond = 1000.0;
  mCore->mParts.mMetrics.Observe(
    RequestMeasure::kFirstToken,
    mTeam != nullptr ? mTeam->mName : "",
    mRoute->mUrgency == 0 ? state::Priority::kUrgent
                          : state::Priority::kOrdinary,
    static_cast<double>(SinceArrival().count()) / kMillisPerSecond);
  pick.mEndpoint->mUnreadTokens -= pick.mTokensToRead;
  if (pick.mPart.empty() || !IsSuccess(aAttempt.mAnswer->Head().mStatus)) {
    return;
  }
  auto& record = mCore->mLedger.At(pick.mSalt, pick.mPart);
  record.mHolder = pick.mEndpoint->mInfo.mId;
  record.mServedAt = Now();
  if (!pick.mPartStore.empty()) {
    record.mSavedAt = Now();
  }
}

Task<bool>
RelayRun::PassBody(Attempt& aAttempt, bool aIsDone)
{
  if (!aAttempt.mHasBegun) {
    aAttempt.mHasBegun = true;
    NoteAnswerBegun(aAttempt);
  }
  if (aAttempt.mIsStreamed) {
    co_return co_await PassStreamPiece(aAttempt, aIsDone);
  }
  aAttempt.mHeld += aAttempt.mAnswer->TakeBody();
  if (!aIsDone && aAttempt.mHeld.size() > mCore->mLimits.mMaxHeldAnswer) {
    // Too long to hold: from here on an end that is missing cuts the caller.
    aAttempt.mIsStreamed = true;
    co_return co_await PassStreamPiece(aAttempt, aIsDone);
  }
  if (aIsDone) {
    co_return co_await PassHeldAnswer(aAttempt);
  }
  co_return true;
}

Task<bool>
RelayRun::PassHeldAnswer(Attempt& aAttempt)
{
  const auto& head = aAttempt.mAnswer->Head();
  std::optional<std::size_t> length = aAttempt.mHeld.size();
  if (mRequest->mMethod == "HEAD") {
    length =
      head.mLength ? std::optional<std::size_t>(*head.mLength) : std::nullopt;
  } else if (HasNoBody(head.mStatus)) {
    length = std::nullopt;
  }
  std::string text = HeadText(head, length) + "\r\n" + aAttempt.mHeld;
  mIsHeadPassed = true;
  mFirstStatus = head.mStatus;
  co_return co_await WriteToCaller(std::move(text));
}

Task<bool>
RelayRun::PassStreamPiece(Attempt& aAttempt, bool aIsDone)
{
  std::string piece =
    std::exchange(aAttempt.mHeld, {}) + aAttempt.mAnswer->TakeBody();
  if (mRoute->mKind == RouteKind::kStream) {
    piece = TakeWholeEvents(std::move(piece), aIsDone);
  }
  std::string text;
  const bool isChunked = !mRequest->mIsHttp10;
  if (!mIsHeadPassed) {
    mIsHeadPassed = true;
    mFirstStatus = aAttempt.mAnswer->Head().mStatus;
    if (!isChunked) {
      mIsKept = false;
    }
    text = HeadText(aAttempt.mAnswer->Head(), std::nullopt);
    if (isChunked) {
      text += "Transfer-Encoding: chunked\r\n";
    }
    text += "\r\n";
  }
  if (!piece.empty()) {
    text += isChunked ? Chunk(piece) : piece;
  }
  if (aIsDone && isChunked) {
    text += kLastChunk;
  }
  if (text.empty()) {
    co_return true;
  }
  co_return co_await WriteToCaller(std::move(text));
}

std::string
RelayRun::TakeWholeEvents(std::string aBytes, bool aIsDone)
{
  constexpr std::string_view kEventEnd = "\n\n";
  constexpr std::string_view kIdField = "id:";
  mPartialEvent += aBytes;
  const auto end = mPartialEvent.rfind(kEventEnd);
  const std::size_t size =
    aIsDone ? mPartialEvent.size()
            : (end == std::string::npos ? 0 : end + kEventEnd.size());
  std::string events = mPartialEvent.substr(0, size);
  mPartialEvent.erase(0, size);
  const auto idLine = events.rfind(kIdField);
  const bool isLineStart =
    idLine != std::string::npos && (idLine == 0 || events[idLine - 1] == '\n');
  if (isLineStart) {
    auto value = std::string_view(events).substr(idLine + kIdField.size());
    value = value.substr(0, value.find_first_of("\r\n"));
    while (!value.empty() && value.front() == ' ') {
      value.remove_prefix(1);
    }
    mLastEventId = value;
  }
  return events;
}

std::string
RelayRun::HeadText(const RelayAnswer& aAnswer,
                   std::optional<std::size_t> aLength) const
{
  std::string text = "HTTP/1.1 " + std::to_string(aAnswer.mStatus) + " " +
                     aAnswer.mReason + "\r\n";
  const auto connection = aAnswer.Field("Connection");
  for (const auto& field : aAnswer.mFields) {
    if (!transport::IsConnectionField(field.mName, connection) &&
        !transport::IsSameName(field.mName, "Content-Length")) {
      text += field.mName + ": " + field.mValue + "\r\n";
    }
  }
  if (aLength) {
    text += "Content-Length: " + std::to_string(*aLength) + "\r\n";
  }
  AppendConnectionField(text);
  return text;
}

void
RelayRun::Finish(Attempt& aAttempt)
{
  const auto& head = aAttempt.mAnswer->Head();
  auto& connection = aAttempt.mConnection;
  const bool isReusable = head.mKeepsAlive && aAttempt.mSending->mIsDone &&
                          !aAttempt.mIsOtherSkipped &&
                          !connection.mReader->IsClosed() &&
                          connection.mReader->Buffered().empty();
  if (!isReusable) {
    return;
  }
  mOpenAttempt = nullptr;
  mCore->mEndpoints.PutIdle(*aAttempt.mPick.mEndpoint,
                            std::move(connection),
                            head.Field("Keep-Alive"),
                            Now());
  connection.mReader = nullptr;
}

} // namespace shuntjunction::coordination
