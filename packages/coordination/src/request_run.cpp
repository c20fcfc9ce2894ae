// Attempts at endpoints, and the error when none of them answered.

#include "request_run.h"

namespace shuntjunction::coordination {

using protocol::Message;
using state::EndpointHandle;
using state::Millis;
using state::RequestKind;
using state::RequestState;
using state::RunState;
using state::TimePoint;
using transport::Task;

namespace {

constexpr Millis kDeadlineGrace{ 250 }; ///< for the companion's own refusal
constexpr Millis kReconsiderPause{ 100 };
constexpr std::uint32_t kDefaultRetryAfterMs = 1000;

} // namespace

// Attempts, one after the other.

Task<void>
RequestRun::Serve()
{
  mQuery.mTeam = mTeam->mName;
  mQuery.mServedName = mSubmit.mServedName;
  mQuery.mLevels = mChain.mLevels;
  mQuery.mBlocks = static_cast<std::uint32_t>(mChain.mBlocks.size());
  mExchange.OnDisconnect([this] {
    mIsCallerGone = true;
    if (mMailbox) {
      mMailbox->Push(AttemptEvent(ClientDisconnected{}));
    }
  });
  mRouter.mRetries.Earn(mArrived);
  const auto& settings = mRouter.mSettings.mRouter;
  while (!mIsCallerGone && mLifecycle->MayOffer() &&
         mAttempts < settings.mMaxAttempts) {
    const TimePoint now = mRouter.mClock.Now();
    if (!mHasFirstToken && now >= mDeadline) {
      mIsDeadlineExceeded = true;
      break;
    }
    mEndpoint = co_await mRouter.Choose(mQuery, mSubmit.mPriority, mExcluded);
    if (!mEndpoint.IsValid()) {
      if (co_await ReconsiderExcluded()) {
        continue;
      }
      break;
    }
    if (mAttempts > 0 && !mRouter.mRetries.Spend(now)) {
      mIsOutOfRetries = true;
      break;
    }
    ++mAttempts;
    co_await TryOnce(mEndpoint);
  }
  const RequestState end = mLifecycle->State();
  if (end != RequestState::kComplete && !mIsCallerGone) {
    const ApiError error = FinalError();
    mRouter.mLog.Info("ended in " + error.mCode + " after " +
                        std::to_string(mAttempts) + " attempts: " + mLastError +
                        ".",
                      mRequestId);
    co_await mSink->Fail(error);
  }
  CountOutcome();
}

Task<bool>
RequestRun::ReconsiderExcluded()
{
  // A lost endpoint may be back. One that refused is not asked again, since its
  // caller is told when to retry instead.
  if (mWasRefused || mExcluded.empty()) {
    co_return false;
  }
  mExcluded.clear();
  ++mAttempts;
  co_await transport::Sleep(kReconsiderPause);
  co_return true;
}

protocol::Submit
RequestRun::MakeSubmit(protocol::StreamId aId) const
{
  protocol::Submit submit = mSubmit;
  submit.mId = aId;
  submit.mAttempt = mGate.AttemptNumber();
  submit.mWeightsVersion = mWeights;
  submit.mResumeOffset = mGate.Delivered();
  submit.mResumeText = mText;
  const TimePoint now = mRouter.mClock.Now();
  // A resumed stream has met its deadline; from then on the time between two
  // tokens counts.
  const TimePoint due = mHasFirstToken
                          ? now + mRouter.mSettings.mRouter.mTokenTimeout
                          : std::max(mDeadline, now + kDeadlineGrace);
  const auto left = std::chrono::duration_cast<Millis>(due - now);
  submit.mDeadlineMs = static_cast<std::uint32_t>(left.count());
  return submit;
}

TimePoint
RequestRun::EventDeadline() const
{
  const auto& settings = mRouter.mSettings.mRouter;
  if (mHasFirstToken) {
    return mRouter.mClock.Now() + settings.mTokenTimeout;
  }
  return mDeadline + kDeadlineGrace;
}

Task<void>
RequestRun::TryOnce(EndpointHandle aHandle)
{
  const auto link = mRouter.Link(aHandle);
  const auto ready = co_await link->Ready();
  mWasRefused = false;
  if (!ready) {
    mLastError = ready.error().Describe();
    ExcludeEndpoint();
    co_return;
  }
  mMailbox = std::make_shared<AttemptMailbox>(mRouter.mContext.get_executor());
  const protocol::StreamId id = link->Open(mMailbox);
  const std::uint32_t attempt = mGate.OpenAttempt();
  mIsStarted = false;
  mLifecycle->Offered();
  auto submit = MakeSubmit(id);
  submit.mConfigVersion = link->UnannouncedVersion(mRouter.mConfig.Version());
  link->Send(submit);
  mRouter.mLog.Debug("attempt " + std::to_string(attempt) + " goes to " +
                       mRouter.mTable.At(aHandle).mInstance.mName + ".",
                     mRequestId);
  auto outcome = AttemptOutcome::kContinues;
  while (outcome == AttemptOutcome::kContinues) {
    auto event = co_await mMailbox->Receive(EventDeadline());
    if (!event) {
      mLastError = "no answer in time";
      mIsDeadlineExceeded = !mHasFirstToken;
      mLifecycle->Lost();
      ExcludeEndpoint();
      link->Send(protocol::Cancel{ id, attempt });
      break;
    }
    if (std::holds_alternative<ClientDisconnected>(*event)) {
      link->Send(protocol::Cancel{ id, attempt });
      break;
    }
    if (const auto* down = std::get_if<LinkDown>(&*event)) {
      mLastError = "the link broke: " + down->mText;
      mLifecycle->Lost();
      ExcludeEndpoint();
      break;
    }
    outcome =
      co_await HandleMessage(*link, id, std::move(std::get<Message>(*event)));
  }
  link->Close(id);
  mGate.CloseAttempt();
  mMailbox.reset();
}

void
RequestRun::ExcludeEndpoint()
{
  mRouter.mTable.At(mEndpoint).mHealth.Failed(mRouter.mClock.Now());
  mExcluded.push_back(mEndpoint);
}

Task<RequestRun::AttemptOutcome>
RequestRun::HandleMessage(PeerLink& aLink,
                          protocol::StreamId aId,
                          Message aMessage)
{
  if (auto* tokens = std::get_if<protocol::Tokens>(&aMessage)) {
    co_return co_await HandleTokens(aLink, aId, std::move(*tokens));
  }
  if (auto* finished = std::get_if<protocol::Finished>(&aMessage)) {
    co_return co_await HandleFinished(std::move(*finished));
  }
  if (const auto* started = std::get_if<protocol::Started>(&aMessage)) {
    HandleStarted(*started);
    co_return AttemptOutcome::kContinues;
  }
  if (const auto* refused = std::get_if<protocol::Refused>(&aMessage)) {
    HandleRefused(*refused);
    co_return AttemptOutcome::kEnded;
  }
  if (const auto* failed = std::get_if<protocol::Failed>(&aMessage)) {
    HandleFailed(*failed);
    co_return AttemptOutcome::kEnded;
  }
  mRouter.mMetrics.Count("shuntjunction_frames_unexpected_total");
  co_return AttemptOutcome::kContinues;
}

void
RequestRun::HandleStarted(const protocol::Started& aStarted)
{
  if (aStarted.mAttempt != mGate.AttemptNumber()) {
    return;
  }
  const TimePoint now = mRouter.mClock.Now();
  mLifecycle->Started();
  mGate.Bind(aStarted.mIncarnation);
  mIsStarted = true;
  if (mWeights == 0) {
    mWeights = aStarted.mWeightsVersion;
  }
  auto& entry = mRouter.mTable.At(mEndpoint);
  entry.mHealth.Succeeded();
  const std::uint32_t missing =
    mQuery.mBlocks - std::min(mQuery.mBlocks, aStarted.mCachedBlocks);
  const double micros = static_cast<double>(missing) *
                        static_cast<double>(entry.mLoad.mMicrosPerBlock);
  entry.mSentMicros += static_cast<std::int64_t>(micros);
  mRouter.mChooser->NoteSent(mQuery, micros / 1e6, now);
  auto& metrics = mRouter.mMetrics;
  const std::chrono::duration<double> queued = now - mArrived;
  metrics.Observe(
    RequestMetric::kQueue, mSubmit.mTeam, mSubmit.mPriority, queued.count());
  if (mQuery.mBlocks > 0) {
    metrics.Observe(RequestMetric::kCachedShare,
                    mSubmit.mTeam,
                    mSubmit.mPriority,
                    1.0 - static_cast<double>(missing) / mQuery.mBlocks);
    metrics.Observe(
      RequestMetric::kRecomputed, mSubmit.mTeam, mSubmit.mPriority, missing);
    metrics.Count("shuntjunction_prompt_blocks_total", {}, mQuery.mBlocks);
    metrics.Count("shuntjunction_computed_blocks_total", {}, missing);
  }
}

Task<RequestRun::AttemptOutcome>
RequestRun::HandleTokens(PeerLink& aLink,
                         protocol::StreamId aId,
                         protocol::Tokens aTokens)
{
  auto& metrics = mRouter.mMetrics;
  const state::AttemptId from{ aTokens.mAttempt, aTokens.mIncarnation };
  switch (mGate.Offer(from, aTokens.mOffset, aTokens.mCount)) {
    case state::StreamGate::Verdict::kDrop:
      metrics.Count("shuntjunction_tokens_dropped_total",
                    {},
                    static_cast<double>(aTokens.mCount));
      co_return AttemptOutcome::kContinues;
    case state::StreamGate::Verdict::kGap:
      mLastError = "tokens were missing in the stream";
      mLifecycle->Lost();
      ExcludeEndpoint();
      aLink.Send(protocol::Cancel{ aId, aTokens.mAttempt });
      co_return AttemptOutcome::kEnded;
    case state::StreamGate::Verdict::kDeliver:
      break;
  }
  const TimePoint now = mRouter.mClock.Now();
  const bool isFirst = !std::exchange(mHasFirstToken, true);
  const std::chrono::duration<double> since =
    now - (isFirst ? mArrived : mLastToken);
  metrics.Observe(isFirst ? RequestMetric::kFirstToken
                          : RequestMetric::kBetweenTokens,
                  mSubmit.mTeam,
                  mSubmit.mPriority,
                  since.count());
  mLastToken = now;
  mText += aTokens.mText;
  const auto limit =
    static_cast<std::size_t>(mRouter.mSettings.mLimits.mMaxAnswerBytes);
  if (mText.size() > limit) {
    mLastError = "the answer is too large";
    mLifecycle->Settled();
    aLink.Send(protocol::Cancel{ aId, aTokens.mAttempt });
    co_return AttemptOutcome::kEnded;
  }
  const auto written = co_await mSink->WriteTokens(std::move(aTokens.mText));
  if (!written) {
    mIsCallerGone = true;
    aLink.Send(protocol::Cancel{ aId, aTokens.mAttempt });
    co_return AttemptOutcome::kEnded;
  }
  aLink.Send(protocol::Credit{ aId, aTokens.mAttempt, aTokens.mCount });
  co_return AttemptOutcome::kContinues;
}

Task<RequestRun::AttemptOutcome>
RequestRun::HandleFinished(protocol::Finished aFinished)
{
  const state::AttemptId from{ aFinished.mAttempt, aFinished.mIncarnation };
  if (!mGate.Matches(from)) {
    mRouter.mMetrics.Count("shuntjunction_late_answers_dropped_total");
    co_return AttemptOutcome::kContinues;
  }
  const bool isService = mSubmit.mKind == RequestKind::kService;
  if (!isService && !mGate.Completes(from, aFinished.mTotalTokens)) {
    mLastError = "the stream ended before all its tokens came";
    mLifecycle->Lost();
    ExcludeEndpoint();
    co_return AttemptOutcome::kEnded;
  }
  if (!aFinished.mIsReplayed) {
    mRouter.mTable.NoteLoad(mEndpoint,
                            { static_cast<std::int64_t>(aFinished.mWaitMicros),
                              aFinished.mMicrosPerBlock,
                              mRouter.mClock.Now() });
  }
  mLifecycle->Finished();
  co_await mSink->Finish(std::move(aFinished));
  co_return AttemptOutcome::kEnded;
}

void
RequestRun::HandleRefused(const protocol::Refused& aRefused)
{
  mLifecycle->Refused();
  mWasRefused = true;
  mLastError =
    "refused by " + mRouter.mTable.At(mEndpoint).mInstance.mName + " (" +
    std::string(state::kRefusalReasonNames.Name(aRefused.mReason)) + ")";
  mExcluded.push_back(mEndpoint);
  mRouter.mTable.At(mEndpoint).mHealth.Succeeded();
  mRouter.mTable.NoteLoad(mEndpoint,
                          { static_cast<std::int64_t>(aRefused.mWaitMicros),
                            aRefused.mMicrosPerBlock,
                            mRouter.mClock.Now() });
  if (aRefused.mReason == state::RefusalReason::kLeaving) {
    mRouter.mTable.NoteLeaving(mEndpoint, mRouter.mClock.Now());
  }
  if (aRefused.mReason == state::RefusalReason::kEngineDown) {
    // The companion runs, but its engine does not.
    mRouter.mTable.At(mEndpoint).mHealth.Failed(mRouter.mClock.Now());
    mWasRefused = false;
  }
  mRetryAfterMs = mRetryAfterMs == 0
                    ? aRefused.mRetryAfterMs
                    : std::min(mRetryAfterMs, aRefused.mRetryAfterMs);
}

void
RequestRun::HandleFailed(const protocol::Failed& aFailed)
{
  mLastError = aFailed.mText;
  switch (aFailed.mRunState) {
    case RunState::kAlreadyTaken:
      // If an attempt was lost, its endpoint may have accepted this very
      // request. The caller must then not be told that an earlier request was
      // accepted.
      mSettledState =
        mLifecycle->WasLost() ? RunState::kUnknown : aFailed.mRunState;
      mLifecycle->Settled();
      return;
    case RunState::kKeyReused:
      mSettledState = aFailed.mRunState;
      mLifecycle->Settled();
      return;
    default:
      mLifecycle->Lost();
      ExcludeEndpoint();
      return;
  }
}

// Completion and errors.

ApiError
RequestRun::SettledError(RunState aRunState) const
{
  ApiError error;
  error.mStatus = aRunState == RunState::kKeyReused ? 422 : 409;
  error.mType = "idempotency_error";
  error.mCode =
    aRunState == RunState::kKeyReused ? "key_reused" : "already_taken";
  error.mMessage = mLastError;
  error.mRunState = state::kRunStateNames.Name(aRunState);
  return error;
}

ApiError
RequestRun::FinalError() const
{
  if (mSettledState && *mSettledState != RunState::kUnknown) {
    return SettledError(*mSettledState);
  }
  const bool isNotRun = mLifecycle->IsNotRun();
  ApiError error;
  error.mRunState = state::kRunStateNames.Name(isNotRun ? RunState::kNotRun
                                                        : RunState::kUnknown);
  error.mMessage = mLastError;
  error.mRetryAfterMs =
    mRetryAfterMs == 0 ? kDefaultRetryAfterMs : mRetryAfterMs;
  if (mIsDeadlineExceeded) {
    error.mStatus = 504;
    error.mType = "timeout_error";
    error.mCode = "deadline_exceeded";
  } else if (isNotRun) {
    error.mStatus = 503;
    error.mType = "overloaded_error";
    error.mCode = "not_run";
  } else {
    error.mStatus = 502;
    error.mType = "upstream_error";
    error.mCode = "outcome_unknown";
  }
  if (mIsOutOfRetries) {
    error.mMessage += "; the retry budget is spent";
  }
  return error;
}

void
RequestRun::CountOutcome()
{
  const std::string_view outcome =
    mIsCallerGone ? "caller-gone"
                  : state::kRequestStateNames.Name(mLifecycle->State());
  mRouter.mMetrics.Count(
    "shuntjunction_requests_total",
    { { "class", std::string(state::kPriorityNames.Name(mSubmit.mPriority)) },
      { "outcome", std::string(outcome) } });
  if (mAttempts > 1) {
    mRouter.mMetrics.Count(
      "shuntjunction_retries_total", {}, static_cast<double>(mAttempts - 1));
  }
}

} // namespace shuntjunction::coordination
