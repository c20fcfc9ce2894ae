// Attempts at endpoints, and what is said when none of them answered.

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
  mQuery.mServes = mSubmit.mServes;
  mQuery.mLevels = mChain.mLevels;
  mQuery.mBlocks = static_cast<std::uint32_t>(mChain.mBlocks.size());
  mExchange.OnGone([this] {
    mIsGone = true;
    if (mMailbox) {
      mMailbox->Push(AttemptEvent(CallerGone{}));
    }
  });
  mRouter.mRetries.Earn(mArrived);
  const auto& settings = mRouter.mSettings.mRouter;
  while (!mIsGone && mLife->MayOffer() && mAttempts < settings.mMaxAttempts) {
    const TimePoint now = mRouter.mClock.Now();
    if (!mHasFirstToken && now >= mDeadline) {
      mIsTooLate = true;
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
  const RequestState end = mLife->State();
  if (end != RequestState::kComplete && !mIsGone) {
    const ApiError error = FinalError();
    mRouter.mLog.Info("ended in " + error.mCode + " after " +
                        std::to_string(mAttempts) + " attempts: " + mLastText +
                        ".",
                      mRequestId);
    co_await mSink->Fail(error);
  }
  NoteEnd();
}

Task<bool>
RequestRun::ReconsiderExcluded()
{
  // An endpoint that was lost may be back; one that refused is not asked
  // again, since whoever asked is told when to come back instead.
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
  // A stream that is resumed has met its deadline; what counts from then on
  // is the time between two tokens.
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
    mLastText = ready.error().Describe();
    LoseEndpoint();
    co_return;
  }
  mMailbox = std::make_shared<AttemptMailbox>(mRouter.mContext.get_executor());
  const protocol::StreamId id = link->Open(mMailbox);
  const std::uint32_t attempt = mGate.OpenAttempt();
  mIsStarted = false;
  mLife->Offered();
  auto submit = MakeSubmit(id);
  submit.mConfigVersion = link->VersionNews(mRouter.mConfig.Version());
  link->Send(submit);
  mRouter.mLog.Debug("attempt " + std::to_string(attempt) + " goes to " +
                       mRouter.mTable.At(aHandle).mInstance.mName + ".",
                     mRequestId);
  auto outcome = AttemptOutcome::kGoesOn;
  while (outcome == AttemptOutcome::kGoesOn) {
    auto event = co_await mMailbox->Receive(EventDeadline());
    if (!event) {
      mLastText = "no answer in time";
      mIsTooLate = !mHasFirstToken;
      mLife->Lost();
      LoseEndpoint();
      link->Send(protocol::Cancel{ id, attempt });
      break;
    }
    if (std::holds_alternative<CallerGone>(*event)) {
      link->Send(protocol::Cancel{ id, attempt });
      break;
    }
    if (const auto* down = std::get_if<LinkDown>(&*event)) {
      mLastText = "the link broke: " + down->mText;
      mLife->Lost();
      LoseEndpoint();
      break;
    }
    outcome = co_await Take(*link, id, std::move(std::get<Message>(*event)));
  }
  link->Close(id);
  mGate.CloseAttempt();
  mMailbox.reset();
}

void
RequestRun::LoseEndpoint()
{
  mRouter.mTable.At(mEndpoint).mHealth.Failed(mRouter.mClock.Now());
  mExcluded.push_back(mEndpoint);
}

Task<RequestRun::AttemptOutcome>
RequestRun::Take(PeerLink& aLink, protocol::StreamId aId, Message aMessage)
{
  if (auto* tokens = std::get_if<protocol::Tokens>(&aMessage)) {
    co_return co_await TakeTokens(aLink, aId, std::move(*tokens));
  }
  if (auto* finished = std::get_if<protocol::Finished>(&aMessage)) {
    co_return co_await TakeFinished(std::move(*finished));
  }
  if (const auto* started = std::get_if<protocol::Started>(&aMessage)) {
    TakeStarted(*started);
    co_return AttemptOutcome::kGoesOn;
  }
  if (const auto* refused = std::get_if<protocol::Refused>(&aMessage)) {
    TakeRefused(*refused);
    co_return AttemptOutcome::kEnded;
  }
  if (const auto* failed = std::get_if<protocol::Failed>(&aMessage)) {
    TakeFailed(*failed);
    co_return AttemptOutcome::kEnded;
  }
  mRouter.mMetrics.Count("shuntjunction_frames_unexpected_total");
  co_return AttemptOutcome::kGoesOn;
}

void
RequestRun::TakeStarted(const protocol::Started& aStarted)
{
  if (aStarted.mAttempt != mGate.AttemptNumber()) {
    return;
  }
  const TimePoint now = mRouter.mClock.Now();
  mLife->Started();
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
    RequestMeasure::kQueue, mSubmit.mTeam, mSubmit.mPriority, queued.count());
  if (mQuery.mBlocks > 0) {
    metrics.Observe(RequestMeasure::kCachedShare,
                    mSubmit.mTeam,
                    mSubmit.mPriority,
                    1.0 - static_cast<double>(missing) / mQuery.mBlocks);
    metrics.Observe(
      RequestMeasure::kRecomputed, mSubmit.mTeam, mSubmit.mPriority, missing);
    metrics.Count("shuntjunction_prompt_blocks_total", {}, mQuery.mBlocks);
    metrics.Count("shuntjunction_computed_blocks_total", {}, missing);
  }
}

Task<RequestRun::AttemptOutcome>
RequestRun::TakeTokens(PeerLink& aLink,
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
      co_return AttemptOutcome::kGoesOn;
    case state::StreamGate::Verdict::kGap:
      mLastText = "tokens were missing in the stream";
      mLife->Lost();
      LoseEndpoint();
      aLink.Send(protocol::Cancel{ aId, aTokens.mAttempt });
      co_return AttemptOutcome::kEnded;
    case state::StreamGate::Verdict::kDeliver:
      break;
  }
  const TimePoint now = mRouter.mClock.Now();
  const bool isFirst = !std::exchange(mHasFirstToken, true);
  const std::chrono::duration<double> since =
    now - (isFirst ? mArrived : mLastToken);
  metrics.Observe(isFirst ? RequestMeasure::kFirstToken
                          : RequestMeasure::kBetweenTokens,
                  mSubmit.mTeam,
                  mSubmit.mPriority,
                  since.count());
  mLastToken = now;
  mText += aTokens.mText;
  const auto most =
    static_cast<std::size_t>(mRouter.mSettings.mLimits.mMaxAnswerBytes);
  if (mText.size() > most) {
    mLastText = "the answer is too large";
    mLife->Settled();
    aLink.Send(protocol::Cancel{ aId, aTokens.mAttempt });
    co_return AttemptOutcome::kEnded;
  }
  const auto written = co_await mSink->Tokens(std::move(aTokens.mText));
  if (!written) {
    mIsGone = true;
    aLink.Send(protocol::Cancel{ aId, aTokens.mAttempt });
    co_return AttemptOutcome::kEnded;
  }
  aLink.Send(protocol::Credit{ aId, aTokens.mAttempt, aTokens.mCount });
  co_return AttemptOutcome::kGoesOn;
}

Task<RequestRun::AttemptOutcome>
RequestRun::TakeFinished(protocol::Finished aFinished)
{
  const state::AttemptId from{ aFinished.mAttempt, aFinished.mIncarnation };
  if (!mGate.Matches(from)) {
    mRouter.mMetrics.Count("shuntjunction_late_answers_dropped_total");
    co_return AttemptOutcome::kGoesOn;
  }
  const bool isService = mSubmit.mKind == RequestKind::kService;
  if (!isService && !mGate.Completes(from, aFinished.mTotalTokens)) {
    mLastText = "the stream ended before all its tokens came";
    mLife->Lost();
    LoseEndpoint();
    co_return AttemptOutcome::kEnded;
  }
  if (!aFinished.mIsReplayed) {
    mRouter.mTable.NoteLoad(mEndpoint,
                            { static_cast<std::int64_t>(aFinished.mWaitMicros),
                              aFinished.mMicrosPerBlock,
                              mRouter.mClock.Now() });
  }
  mLife->Finished();
  co_await mSink->Finish(std::move(aFinished));
  co_return AttemptOutcome::kEnded;
}

void
RequestRun::TakeRefused(const protocol::Refused& aRefused)
{
  mLife->Refused();
  mWasRefused = true;
  mLastText =
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
    // The companion lives, but what it stands for does not.
    mRouter.mTable.At(mEndpoint).mHealth.Failed(mRouter.mClock.Now());
    mWasRefused = false;
  }
  mRetryAfterMs = mRetryAfterMs == 0
                    ? aRefused.mRetryAfterMs
                    : std::min(mRetryAfterMs, aRefused.mRetryAfterMs);
}

void
RequestRun::TakeFailed(const protocol::Failed& aFailed)
{
  mLastText = aFailed.mText;
  switch (aFailed.mRunState) {
    case RunState::kAlreadyTaken:
      // A lost endpoint may have taken this very request: then no earlier one
      // did, and the caller must not be told of any.
      mSettledAs = mLife->WasLost() ? RunState::kUnknown : aFailed.mRunState;
      mLife->Settled();
      return;
    case RunState::kKeyReused:
      mSettledAs = aFailed.mRunState;
      mLife->Settled();
      return;
    default:
      mLife->Lost();
      LoseEndpoint();
      return;
  }
}

// The end.

ApiError
RequestRun::SettledError(RunState aRunState) const
{
  ApiError error;
  error.mStatus = aRunState == RunState::kKeyReused ? 422 : 409;
  error.mType = "idempotency_error";
  error.mCode =
    aRunState == RunState::kKeyReused ? "key_reused" : "already_taken";
  error.mMessage = mLastText;
  error.mRunState = state::kRunStateNames.Name(aRunState);
  return error;
}

ApiError
RequestRun::FinalError() const
{
  if (mSettledAs && *mSettledAs != RunState::kUnknown) {
    return SettledError(*mSettledAs);
  }
  const bool isNotRun = mLife->IsNotRun();
  ApiError error;
  error.mRunState = state::kRunStateNames.Name(isNotRun ? RunState::kNotRun
                                                        : RunState::kUnknown);
  error.mMessage = mLastText;
  error.mRetryAfterMs =
    mRetryAfterMs == 0 ? kDefaultRetryAfterMs : mRetryAfterMs;
  if (mIsTooLate) {
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
RequestRun::NoteEnd()
{
  const std::string_view outcome =
    mIsGone ? "caller-gone" : state::kRequestStateNames.Name(mLife->State());
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
