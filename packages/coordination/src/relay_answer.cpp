#include <array>
#include <cstdio>

#include "relay_attempt.h"

// The part of a run that reads an endpoint's answer and forwards it.

namespace shuntjunction::coordination {

using state::RouteKind;
using transport::ParseStatus;
using transport::RelayResponse;
using transport::RelayResponseReader;
using transport::Task;

namespace {

constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooMany = 429;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kServerError = 500;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

bool
IsSuccess(unsigned aStatus)
{
  constexpr unsigned kFirst = 200;
  constexpr unsigned kLast = 299;
  return aStatus >= kFirst && aStatus <= kLast;
}

/// Statuses that assure a caller that its request was not run.
bool
ImpliesNotRun(unsigned aStatus)
{
  return aStatus == kMisdirected || aStatus == kTooMany ||
         aStatus == kRequestTimeout || aStatus == kUnavailable;
}

bool
HasNoBody(unsigned aStatus)
{
  return aStatus == kNoContent || aStatus == kNotModified;
}

/// A piece of a body in chunked transfer coding.
std::string
Chunk(std::string_view aData)
{
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aData.size());
  std::string chunk = size.data();
  chunk += aData;
  chunk += "\r\n";
  return chunk;
}

/// An endpoint that crashes by a request does so within this time of the first
/// bytes of its answer.
constexpr state::Millis kAnswerBeginning{ 250 };

constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace

Task<AttemptOutcome>
RelayRun::ReadAnswer(Attempt& aAttempt)
{
  auto& reader = *aAttempt.mConnection.mReader;
  if (!aAttempt.mAnswer) {
    aAttempt.mAnswer =
      std::make_unique<RelayResponseReader>(mRequest->mMethod == "HEAD");
  }
  while (true) {
    if (mInterrupt != RunInterrupt::kNone) {
      ApplyUnreadNotice(aAttempt);
      co_return AttemptOutcome::kInterrupted;
    }
    const auto step = ReadBuffered(aAttempt);
    if (!step) {
      const auto received = reader.Buffered().size();
      if (co_await MayMoveElsewhere(aAttempt)) {
        mLastProblem = "endpoint silent";
        LogSilence(aAttempt);
        co_return AttemptOutcome::kSilent;
      }
      if (mInterrupt != RunInterrupt::kNone ||
          reader.Buffered().size() != received) {
        continue;
      }
      if (HasEndedUnanswered(aAttempt)) {
        mLastProblem = "run ended unanswered";
        LogSilence(aAttempt);
        co_return AttemptOutcome::kEnded;
      }
      if (HasRevivedAttempt()) {
        mLastProblem = "former endpoint revived";
        co_return AttemptOutcome::kWithdrawn;
      }
      co_await reader.Wait(NextSilenceCheck(aAttempt));
      continue;
    }
    if (*step == ParseStatus::kMalformed) {
      co_return AttemptOutcome::kBroken;
    }
    NoteArrival(aAttempt);
    if (const auto outcome = EvaluateHeadOnce(aAttempt, *step)) {
      co_return *outcome;
    }
    aAttempt.mEndpointChoice.mEndpoint->mLastBytesAt = Now();
    const bool isDone = *step == ParseStatus::kDone;
    if (aAttempt.mIsForeign) {
      if (!SkipForeignAnswer(aAttempt, isDone)) {
        co_return AttemptOutcome::kBroken;
      }
      continue;
    }
    if (!aAttempt.mIsHeadEvaluated) {
      continue;
    }
    if (!ReceiveBody(aAttempt)) {
      co_return AttemptOutcome::kBroken;
    }
    if (isDone) {
      const bool isCutOff = co_await IsCutOff(aAttempt);
      if (isCutOff && mInterrupt == RunInterrupt::kNone) {
        co_return AttemptOutcome::kBroken;
      }
    }
    if (mInterrupt != RunInterrupt::kNone) {
      co_return AttemptOutcome::kInterrupted;
    }
    if (isDone && !aAttempt.mIsStreamed && ShouldRetryFailure(aAttempt)) {
      SaveFailure(aAttempt);
      Finish(aAttempt);
      co_return AttemptOutcome::kFailed;
    }
    if (!co_await ForwardBody(aAttempt, isDone)) {
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

std::optional<ParseStatus>
RelayRun::ReadBuffered(Attempt& aAttempt)
{
  auto& reader = *aAttempt.mConnection.mReader;
  ParseStatus step = ParseStatus::kNeedMore;
  std::size_t consumed = 0;
  const auto buffered = reader.Buffered().size();
  if (buffered > 0) {
    step = aAttempt.mAnswer->Put(reader.Buffered(), consumed);
    reader.Consume(consumed);
  }
  if (!NoteParsed(aAttempt, buffered, consumed)) {
    mLastProblem = "answer arrives too slowly";
    return ParseStatus::kMalformed;
  }
  if (step == ParseStatus::kNeedMore && consumed == 0) {
    // Anything still buffered is an incomplete element.
    if (!reader.IsClosed()) {
      return std::nullopt;
    }
    mAnswerTrace.mEnd =
      reader.HasReachedEof() ? AnswerEnd::kClosed : AnswerEnd::kReset;
    if (!reader.HasReachedEof() || !aAttempt.mAnswer->FinishAtEof()) {
      mLastProblem =
        aAttempt.mAnswer->HasBegun() ? "answer cut off" : "closed unanswered";
      return ParseStatus::kMalformed;
    }
    return ParseStatus::kDone;
  }
  if (step == ParseStatus::kMalformed) {
    mLastProblem = "malformed answer: " + aAttempt.mAnswer->Problem();
  } else if (step == ParseStatus::kDone) {
    mAnswerTrace.mEnd = AnswerEnd::kFramed;
  }
  return step;
}

Task<bool>
RelayRun::MayMoveElsewhere(Attempt& aAttempt)
{
  if (Now() < aAttempt.mMaySuspendAt ||
      !ShouldMoveElsewhere(aAttempt.mEndpointChoice)) {
    co_return false;
  }
  const auto& reader = *aAttempt.mConnection.mReader;
  const auto received = reader.Buffered().size();
  const bool isAllowed = co_await ReserveRetry();
  // Its answer may have begun meanwhile.
  const bool isStillSilent = reader.Buffered().size() == received;
  co_return isAllowed&& isStillSilent&& ShouldMoveElsewhere(
    aAttempt.mEndpointChoice);
}

std::optional<AttemptOutcome>
RelayRun::EvaluateHeadOnce(Attempt& aAttempt, ParseStatus aStep)
{
  const bool isDone = aStep == ParseStatus::kDone;
  if (aAttempt.mIsHeadEvaluated || (!isDone && aStep != ParseStatus::kHead)) {
    return std::nullopt;
  }
  aAttempt.mIsHeadEvaluated = true;
  mAnswerTrace.mFraming = aAttempt.mAnswer->Head().mFraming;
  aAttempt.mAnswerInfo =
    mCore->mDependencies.mCodec.ReadAnswer(aAttempt.mAnswer->Head());
  const auto& id = aAttempt.mAnswerInfo.mRequestId;
  aAttempt.mIsForeign = !id.empty() && id != mCall.mRequestId;
  ApplyNotice(aAttempt);
  if (aAttempt.mIsForeign) {
    return std::nullopt;
  }
  const auto outcome = EvaluateHead(aAttempt);
  if (outcome && isDone && *outcome != AttemptOutcome::kBroken) {
    Finish(aAttempt);
  }
  return outcome;
}

void
RelayRun::ApplyNotice(Attempt& aAttempt)
{
  const auto& facts = aAttempt.mAnswerInfo;
  auto& endpoint = *aAttempt.mEndpointChoice.mEndpoint;
  const bool isOfAnother =
    !facts.mEndpointId.empty() && facts.mEndpointId != endpoint.mInfo.mId;
  if (isOfAnother) {
    return;
  }
  const auto status = aAttempt.mAnswer->Head().mStatus;
  mCore->mNotices.Apply(endpoint, facts.mNotice, mCall.mRequestId);
  // The address may belong to another endpoint by now. Its rate does not apply
  // here; a drain does no harm, since the addressed endpoint has ended.
  if (status != kMisdirected) {
    const bool hasPermit = aAttempt.mPermit && !aAttempt.mIsForeign;
    mCore->mRates.NoteRate(
      endpoint, facts.mNotice.mRate, hasPermit ? &*aAttempt.mPermit : nullptr);
  }
  if (!aAttempt.mIsForeign) {
    SettleClearance(aAttempt, !facts.mIsNotRun && !ImpliesNotRun(status));
  }
}

void
RelayRun::ApplyUnreadNotice(Attempt& aAttempt)
{
  auto& reader = *aAttempt.mConnection.mReader;
  if (aAttempt.mIsHeadEvaluated || reader.Buffered().empty()) {
    return;
  }
  std::size_t consumed = 0;
  const auto step = aAttempt.mAnswer->Put(reader.Buffered(), consumed);
  if (step == ParseStatus::kHead || step == ParseStatus::kDone) {
    aAttempt.mAnswerInfo =
      mCore->mDependencies.mCodec.ReadAnswer(aAttempt.mAnswer->Head());
    ApplyNotice(aAttempt);
  }
}

bool
RelayRun::NoteParsed(Attempt& aAttempt,
                     std::size_t aBuffered,
                     std::size_t aConsumed) const
{
  const auto before =
    std::exchange(aAttempt.mUnparsedBytes, aBuffered - aConsumed);
  aAttempt.mParsedBytes = aConsumed;
  if (aConsumed > 0) {
    aAttempt.mIncomplete.Reset();
    return true;
  }
  return aBuffered == before ||
         aAttempt.mIncomplete.Add(aBuffered - before, Now());
}

bool
RelayRun::SkipForeignAnswer(Attempt& aAttempt, bool aIsDone)
{
  // This is a late answer to an earlier request; the one to this request may
  // follow.
  aAttempt.mAnswer->TakeBody();
  if (!aAttempt.mForeign.Add(aAttempt.mParsedBytes, Now())) {
    mLastProblem = "too much of answers to other requests";
    return false;
  }
  if (!aIsDone) {
    return true;
  }
  aAttempt.mIsForeignSkipped = true;
  aAttempt.mAnswer =
    std::make_unique<RelayResponseReader>(mRequest->mMethod == "HEAD");
  aAttempt.mIsHeadEvaluated = false;
  aAttempt.mIsForeign = false;
  return true;
}

std::optional<AttemptOutcome>
RelayRun::EvaluateHead(Attempt& aAttempt)
{
  const auto& head = aAttempt.mAnswer->Head();
  const auto& facts = aAttempt.mAnswerInfo;
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
                        !ImpliesNotRun(head.mStatus) &&
                        (facts.mIsSigned || !IsSuccess(head.mStatus)) &&
                        (!mIsHeadForwarded || MayContinue(head));
  if (!isUsable) {
    mLastProblem = "unusable answer: " + std::to_string(head.mStatus);
    return AttemptOutcome::kBroken;
  }
  aAttempt.mIsStreamed =
    mRoute->mKind == RouteKind::kStream && IsSuccess(head.mStatus);
  NoteWeightsOfHead(aAttempt);
  BeginBody(aAttempt);
  return std::nullopt;
}

bool
RelayRun::MayContinue(const RelayResponse& aHead) const
{
  // An answer of another kind, such as 204, would end the stream as complete.
  return aHead.mStatus == mAnswerStatus && HasEventType(aHead);
}

void
RelayRun::HandleAnswerBegun(const Attempt& aAttempt)
{
  const auto& choice = aAttempt.mEndpointChoice;
  constexpr double kMillisPerSecond = 1000.0;
  if (!mIsHeadForwarded) {
    mCore->mDependencies.mMetrics.Observe(
      RequestMetric::kFirstToken,
      mTeam != nullptr ? mTeam->mName : "",
      mRoute->mUrgency == 0 ? state::Priority::kUrgent
                            : state::Priority::kOrdinary,
      static_cast<double>(SinceArrival().count()) / kMillisPerSecond);
  }
  RemoveWaiting(choice);
  if (choice.mWeights != 0 && choice.mContinueFrom.empty()) {
    mCore->mPrefillRate.Note(choice.mWaitingTokens + choice.mPrefillTokens,
                             SinceArrival() - *mTimes.mSent);
  }
  if (choice.mPart.empty() || !IsSuccess(aAttempt.mAnswer->Head().mStatus)) {
    return;
  }
  auto& record = mCore->mPartRecords.At(choice.mPartName);
  const bool isFirst = record.IsPrefilling();
  record.mServedAt = Now();
  if (isFirst) {
    AnnouncePartReading(choice, true);
  }
  if (!choice.mPartStore.empty()) {
    record.mSavedAt = Now();
  }
}

void
RelayRun::NoteChunkTime(const RelayEndpoint& aEndpoint)
{
  const auto now = SinceArrival();
  if (!mTimes.mFirst) {
    mTimes.mFirst = now;
    mCore->mRollouts.NoteOutcome(
      aEndpoint.mInfo, mRoute->mName, now - mTimes.mSent.value_or(now));
  } else {
    mTimes.mLongestPause =
      std::max(mTimes.mLongestPause, now - mTimes.mLastChunk);
    if (now - *mTimes.mFirst >= kAnswerBeginning) {
      NoteAnswered();
    }
  }
  mTimes.mLastChunk = now;
}

Task<bool>
RelayRun::ForwardBody(Attempt& aAttempt, bool aIsDone)
{
  if (!aAttempt.mHasBegun) {
    aAttempt.mHasBegun = true;
    HandleAnswerBegun(aAttempt);
  }
  NoteChunkTime(*aAttempt.mEndpointChoice.mEndpoint);
  if (aAttempt.mIsStreamed) {
    co_return co_await ForwardStreamChunk(aAttempt, aIsDone);
  }
  if (!aIsDone &&
      aAttempt.mBufferedBody.size() > mCore->mLimits.mMaxBufferedAnswer) {
    // Too long to buffer: from here on, if the end is missing, the caller's
    // connection is closed.
    aAttempt.mIsStreamed = true;
    co_return co_await ForwardStreamChunk(aAttempt, aIsDone);
  }
  if (aIsDone) {
    co_return co_await ForwardBufferedAnswer(aAttempt);
  }
  co_return true;
}

std::string
RelayRun::BufferedAnswerText(const Attempt& aAttempt)
{
  const auto& head = aAttempt.mAnswer->Head();
  std::optional<std::size_t> length = aAttempt.mBufferedBody.size();
  if (mRequest->mMethod == "HEAD") {
    length =
      head.mLength ? std::optional<std::size_t>(*head.mLength) : std::nullopt;
  } else if (HasNoBody(head.mStatus)) {
    length = std::nullopt;
  }
  return HeadText(head, length) + "\r\n" + aAttempt.mBufferedBody;
}

Task<bool>
RelayRun::ForwardBufferedAnswer(Attempt& aAttempt)
{
  EndSuspended();
  std::string text = BufferedAnswerText(aAttempt);
  mIsHeadForwarded = true;
  mAnswerStatus = aAttempt.mAnswer->Head().mStatus;
  co_return co_await WriteToCaller(std::move(text));
}

bool
RelayRun::ShouldRetryFailure(const Attempt& aAttempt) const
{
  const bool isFailure = aAttempt.mAnswer->Head().mStatus == kServerError &&
                         mRoute->mKind == RouteKind::kRepeatable;
  const bool hasOther =
    !mSuspended.empty() ||
    static_cast<int>(mTriedEndpoints.size()) < mRoute->mMaxAttempts;
  const bool mayTry = mSavedFailure.empty() && hasOther;
  // The retry may take as long again, plus a margin; otherwise even the saved
  // failure would reach the caller too late.
  const auto spent = SinceArrival();
  return isFailure && mayTry && Now() + 2 * spent < mDeadline;
}

void
RelayRun::SaveFailure(const Attempt& aAttempt)
{
  mSavedFailure = BufferedAnswerText(aAttempt);
  mSavedFailureStatus = aAttempt.mAnswer->Head().mStatus;
  mLastProblem = "endpoint failed: " + std::to_string(mSavedFailureStatus);
}

Task<bool>
RelayRun::ForwardStreamChunk(Attempt& aAttempt, bool aIsDone)
{
  std::string body = std::exchange(aAttempt.mBufferedBody, {});
  if (!aAttempt.mEvents) {
    mPosition.mIsExact = mPosition.mIsExact && body.empty();
  } else {
    mPosition = aAttempt.mEvents->Position();
    NoteWeightsOfEvents(body);
    if (!body.empty()) {
      co_await RecordStreamOrigin(aAttempt);
    }
    body += aIsDone ? aAttempt.mEvents->TakeRest() : std::string();
  }
  std::string text;
  const bool isChunked = !mRequest->mIsHttp10;
  if (!mIsHeadForwarded) {
    mIsHeadForwarded = true;
    mAnswerStatus = aAttempt.mAnswer->Head().mStatus;
    if (!isChunked) {
      mKeepsConnection = false;
      // Only the connection marks the end of this answer, so that an orderly
      // close, also by the end of this process, would complete it.
      transport::SetResetOnClose(mCaller.Socket());
    }
    text = HeadText(aAttempt.mAnswer->Head(), std::nullopt);
    if (isChunked) {
      text += "Transfer-Encoding: chunked\r\n";
    }
    text += "\r\n";
  }
  if (!body.empty()) {
    text += isChunked ? Chunk(body) : body;
  }
  if (aIsDone && isChunked) {
    text += kLastChunk;
  }
  bool isWritten = true;
  if (!text.empty()) {
    // Others were asked for what follows the events forwarded before.
    EndSuspended();
    isWritten = co_await WriteToCaller(std::move(text));
  }
  if (isWritten && aIsDone && !isChunked) {
    transport::SetResetOnClose(mCaller.Socket(), false);
  }
  co_return isWritten;
}

std::string
RelayRun::HeadText(const RelayResponse& aAnswer,
                   std::optional<std::size_t> aLength)
{
  std::string text = "HTTP/1.1 " + std::to_string(aAnswer.mStatus) + " " +
                     aAnswer.mReason + "\r\n";
  const auto connection = aAnswer.Field("Connection");
  for (const auto& field : aAnswer.mFields) {
    if (!transport::IsHopByHopField(field.mName, connection) &&
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

} // namespace shuntjunction::coordination
