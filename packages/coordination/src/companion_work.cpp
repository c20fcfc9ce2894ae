// Stages of a request in the companion: admission, claim, backend.

#include <algorithm>

#include "companion_parts.h"
#include "shuntjunction/coordination/chat_api.h"
#include "shuntjunction/state/digest.h"
#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::coordination {

using state::AdmissionRefusal;
using state::AdmissionTicket;
using state::ClaimStep;
using state::Millis;
using state::RefusalReason;
using state::RequestKind;
using state::RunState;
using state::TimePoint;
using transport::Task;

namespace {

/// Retry delay sent with a refusal if the router should try another endpoint.
constexpr Millis kRetryElsewhereDelay{ 100 };
constexpr Millis kRetryLaterDelay{ 1000 };
/// Timeout for the next event of a response.
constexpr Millis kResponseTimeout{ 60000 };
/// Weight of the newest sample in the moving average.
constexpr double kBlockTimeSmoothing = 0.1;
constexpr std::uint32_t kMinMeasuredBlocks = 8;

} // namespace

std::optional<RefusalReason>
Companion::ReasonToRefuse(const protocol::Submit& aSubmit) const
{
  if (mIsDraining) {
    return RefusalReason::kLeaving;
  }
  if (mState.mIncarnation == 0) {
    return RefusalReason::kEngineDown;
  }
  if (!mBackend.IsEngine()) {
    const bool isServiceCall = aSubmit.mKind == RequestKind::kService;
    return isServiceCall ? std::nullopt
                         : std::optional(RefusalReason::kWrongModel);
  }
  const bool isWrongWeights =
    aSubmit.mWeightsVersion != 0 && aSubmit.mWeightsVersion != mState.mWeights;
  if (mIsPaused || aSubmit.mServedName != mState.mModel || isWrongWeights) {
    return RefusalReason::kWrongModel;
  }
  return std::nullopt;
}

void
Companion::BeginWork(const std::shared_ptr<Session>& aSession,
                     protocol::Submit aSubmit)
{
  const auto work = std::make_shared<Work>(
    mContext.get_executor(), aSession, std::move(aSubmit));
  if (const auto reason = ReasonToRefuse(work->mSubmit)) {
    Refuse(*work, *reason, kRetryElsewhereDelay);
    return;
  }
  const auto& submit = work->mSubmit;
  if (!aSession->mWork.emplace(submit.mId, work).second) {
    mMetrics.Count("shuntjunction_frames_unexpected_total");
    return;
  }
  Admit(work);
}

void
Companion::Admit(const WorkPtr& aWork)
{
  const auto& submit = aWork->mSubmit;
  if (submit.mKind != RequestKind::kService) {
    const auto body = state::ParseJson(submit.mBody, "body");
    if (body && body->is_object()) {
      const state::CacheScope scope{ submit.mTeam,
                                     submit.mServedName,
                                     mState.mWeights };
      aWork->mChain = state::BuildPrefixChain(
        scope, PromptLevels(submit.mKind, body->as_object()));
    }
  }
  const TimePoint now = mClock.Now();
  AdmissionTicket& ticket = aWork->mTicket;
  ticket.mId = ++mNextTicket;
  ticket.mPriority = submit.mPriority;
  ticket.mTeam = submit.mTeam;
  ticket.mArrived = now;
  ticket.mDeadline = now + Millis(submit.mDeadlineMs);
  const auto team = mConfig.mSnapshot->mTeams.find(submit.mTeam);
  if (team != mConfig.mSnapshot->mTeams.end()) {
    ticket.mTeamWeight = team->second.mWeight;
  }
  const auto blocks = static_cast<std::uint32_t>(aWork->mChain.mBlocks.size());
  const std::uint32_t cached =
    mIndex.CachedBlocks(std::span(aWork->mChain.mBlocks));
  ticket.mCostMicros =
    static_cast<std::int64_t>((blocks - cached) * mMicrosPerBlock);
  for (const auto& level : aWork->mChain.mLevels) {
    if (level.mBlocks > cached) {
      ticket.mMissingPrefix = level.mHash;
      break;
    }
  }
  mWorkByTicket.emplace(ticket.mId, aWork);
  Apply(mQueue.Enqueue(ticket, now));
  transport::Spawn(mContext, RunWork(aWork));
  ProcessQueue();
}

void
Companion::Apply(const std::vector<AdmissionRefusal>& aRefusals)
{
  for (const auto& refusal : aRefusals) {
    const auto work = mWorkByTicket.find(refusal.mId);
    if (work != mWorkByTicket.end()) {
      work->second->mRefusal = refusal;
      work->second->mMailbox.Push(WorkEvent::kRefused);
    }
  }
}

void
Companion::ProcessQueue()
{
  const TimePoint now = mClock.Now();
  Apply(mQueue.Expire(now));
  while (const auto ticket = mQueue.Next(now)) {
    const auto work = mWorkByTicket.find(ticket->mId);
    if (work != mWorkByTicket.end()) {
      work->second->mMailbox.Push(WorkEvent::kAdmitted);
    } else {
      mQueue.Remove(ticket->mId);
    }
  }
  if (const auto wake = mQueue.NextWake(now)) {
    mQueueTimer.expires_at(*wake);
    mQueueTimer.async_wait([this](auto aError) {
      if (!aError) {
        ProcessQueue();
      }
    });
  }
}

Task<void>
Companion::RunWork(WorkPtr aWork)
{
  ++mActive;
  ClaimResult claim;
  const bool isAdmitted = co_await AwaitAdmission(aWork);
  if (isAdmitted && co_await AwaitClaim(aWork, claim)) {
    co_await RunBackend(aWork, std::move(claim));
  }
  mQueue.Remove(aWork->mTicket.mId);
  mWorkByTicket.erase(aWork->mTicket.mId);
  if (const auto session = aWork->mSession.lock()) {
    session->mWork.erase(aWork->mSubmit.mId);
  }
  --mActive;
  ProcessQueue();
}

Task<bool>
Companion::AwaitAdmission(WorkPtr aWork)
{
  while (true) {
    const auto workEvent = co_await aWork->mMailbox.Receive(TimePoint::max());
    switch (workEvent.value_or(WorkEvent::kCancelled)) {
      case WorkEvent::kAdmitted:
        co_return true;
      case WorkEvent::kRefused:
        Refuse(*aWork, aWork->mRefusal.mReason, aWork->mRefusal.mRetryAfter);
        co_return false;
      case WorkEvent::kCancelled:
        co_return false;
      case WorkEvent::kCredit:
        break;
    }
  }
}

Task<bool>
Companion::AwaitClaim(WorkPtr aWork, ClaimResult& aClaim)
{
  const auto& submit = aWork->mSubmit;
  if (submit.mIsAtMostOnce) {
    const TimePoint giveUpAt =
      std::min(mClock.Now() + mSettings.mCompanion.mClaimTimeout,
               aWork->mTicket.mDeadline);
    const std::string digest = state::Sha256Hex(
      submit.mMethod + " " + submit.mTarget + "\n" + submit.mBody);
    aClaim =
      co_await mClaims.Acquire(submit.mTeam, submit.mKey, digest, giveUpAt);
    switch (aClaim.mStep) {
      case ClaimStep::kExecute:
        break;
      case ClaimStep::kReplay:
        Replay(*aWork, aClaim.mRecord);
        co_return false;
      case ClaimStep::kHeldByOther:
        Fail(*aWork,
             RunState::kAlreadyTaken,
             "an earlier request with this key was taken and its outcome is "
             "not known");
        co_return false;
      case ClaimStep::kKeyReused:
        Fail(*aWork,
             RunState::kKeyReused,
             "this key was used before with another request");
        co_return false;
      default:
        Refuse(*aWork, RefusalReason::kPlatformDown, kRetryLaterDelay);
        co_return false;
    }
  }
  // Check again: the state may have changed while the request waited, or the
  // process may have been suspended.
  auto reason = ReasonToRefuse(submit);
  if (reason == RefusalReason::kLeaving) {
    reason.reset(); // A planned stop lets admitted requests finish.
  }
  if (mClock.Now() >= aWork->mTicket.mDeadline) {
    reason = RefusalReason::kTooLate;
  }
  if (!reason && !aWork->mIsCancelled) {
    co_return true;
  }
  if (submit.mIsAtMostOnce) {
    mClaims.Release(aClaim);
  }
  Refuse(
    *aWork, reason.value_or(RefusalReason::kTooLate), kRetryElsewhereDelay);
  co_return false;
}

Task<void>
Companion::RunBackend(WorkPtr aWork, ClaimResult aClaim)
{
  auto& submit = aWork->mSubmit;
  const state::CacheScope scope{ submit.mTeam,
                                 submit.mServedName,
                                 mState.mWeights };
  const std::uint32_t weights = mState.mWeights;
  BackendCall call;
  call.mSubmit = submit;
  call.mSalt = state::EngineSalt(scope, mSettings.mSecret);
  call.mChain = aWork->mChain.mBlocks;
  call.mCancel = aWork->mCancel;
  aWork->mSubmittedAt = mClock.Now();
  const auto response = co_await mBackend.Open(std::move(call));
  if (!response) {
    mLog.Warn("the backend failed: " + response.error().Describe() + ".",
              submit.mRequestId);
    if (response.error().mCode == state::ErrorCode::kUnavailable) {
      if (submit.mIsAtMostOnce) {
        mClaims.Release(aClaim);
      }
      Refuse(*aWork, RefusalReason::kEngineDown, kRetryElsewhereDelay);
    } else {
      Fail(*aWork, RunState::kUnknown, response.error().mText);
    }
    co_return;
  }
  if ((*response)->Weights() != weights) {
    // The cache salt was derived from another weights version.
    Fail(*aWork, RunState::kUnknown, "the engine changed its weights");
    co_return;
  }
  const state::Incarnation incarnation = (*response)->CurrentIncarnation();
  aWork->mIncarnation = incarnation;
  if (mBackend.IsEngine() && incarnation != mState.mIncarnation) {
    mIndex.Restart(incarnation);
  }
  const auto blocks = static_cast<std::uint32_t>(aWork->mChain.mBlocks.size());
  aWork->mComputedBlocks =
    blocks - std::min(blocks, (*response)->CachedBlocks());
  aWork->Send(protocol::Started{ submit.mId,
                                 submit.mAttempt,
                                 incarnation,
                                 (*response)->CachedBlocks(),
                                 aWork->UnannouncedVersion(ConfigVersion()),
                                 (*response)->Weights() });
  bool hasFirstToken = false;
  std::string recordedText;
  while (true) {
    auto event = co_await (*response)->Next(kResponseTimeout);
    if (!event) {
      mLog.Warn("the response was interrupted: " + event.error().Describe() +
                  ".",
                submit.mRequestId);
      Fail(*aWork, RunState::kUnknown, event.error().mText);
      co_return;
    }
    if (!std::exchange(hasFirstToken, true)) {
      UpdateBlockTime(*aWork);
      mQueue.NoteFirstToken(aWork->mTicket.mId);
      ProcessQueue();
    }
    if (auto* tokens = std::get_if<BackendTokens>(&*event)) {
      if (submit.mIsAtMostOnce && recordedText.size() <= kMaxRecordedBytes) {
        recordedText += tokens->mText;
      }
      aWork->mWindow -= tokens->mCount;
      aWork->Send(protocol::Tokens{ submit.mId,
                                    submit.mAttempt,
                                    incarnation,
                                    tokens->mOffset,
                                    tokens->mCount,
                                    std::move(tokens->mText) });
      if (!co_await AwaitWindow(aWork)) {
        co_return;
      }
      continue;
    }
    const auto& end = std::get<BackendEnd>(*event);
    if (submit.mIsAtMostOnce) {
      auto& record = aClaim.mRecord;
      record.mIsDone = true;
      record.mStatus = end.mStatus;
      record.mContentType = end.mContentType;
      record.mBody = recordedText + end.mBody;
      record.mFinishReason = end.mFinishReason;
      record.mTokens = end.mTotalTokens;
      transport::Spawn(mContext, mClaims.Record(aClaim));
    }
    FinishWork(*aWork, end);
    co_return;
  }
}

Task<bool>
Companion::AwaitWindow(WorkPtr aWork)
{
  // A non-repeatable request runs to completion in any case, so that its
  // outcome is available if the caller retries.
  if (aWork->mSubmit.mIsAtMostOnce) {
    co_return true;
  }
  while (aWork->mWindow <= 0 && !aWork->mIsCancelled) {
    co_await aWork->mMailbox.Receive(TimePoint::max());
  }
  co_return !aWork->mIsCancelled;
}

void
Companion::UpdateBlockTime(const Work& aWork)
{
  if (aWork.mComputedBlocks < kMinMeasuredBlocks || mQueue.Running() > 1) {
    return;
  }
  const std::chrono::duration<double, std::micro> time =
    mClock.Now() - aWork.mSubmittedAt;
  const double measured = time.count() / aWork.mComputedBlocks;
  mMicrosPerBlock += kBlockTimeSmoothing * (measured - mMicrosPerBlock);
}

void
Companion::FinishWork(Work& aWork, const BackendEnd& aEnd)
{
  protocol::Finished finished;
  finished.mId = aWork.mSubmit.mId;
  finished.mAttempt = aWork.mSubmit.mAttempt;
  finished.mIncarnation = aWork.mIncarnation;
  finished.mStatus = static_cast<std::uint16_t>(aEnd.mStatus);
  finished.mContentType = aEnd.mContentType;
  finished.mBody = aEnd.mBody;
  finished.mTotalTokens = aEnd.mTotalTokens;
  finished.mFinishReason = aEnd.mFinishReason;
  finished.mPromptTokens = aEnd.mPromptTokens;
  finished.mCachedTokens = aEnd.mCachedTokens;
  finished.mRecomputedBlocks = aWork.mComputedBlocks;
  finished.mWaitMicros =
    static_cast<std::uint64_t>(mQueue.WaitMicros(aWork.mSubmit.mPriority));
  finished.mMicrosPerBlock = static_cast<std::uint32_t>(mMicrosPerBlock);
  aWork.Send(finished);
}

void
Companion::Replay(Work& aWork, const state::ClaimRecord& aRecord)
{
  const auto& submit = aWork.mSubmit;
  protocol::Finished finished;
  finished.mId = submit.mId;
  finished.mAttempt = submit.mAttempt;
  finished.mStatus = static_cast<std::uint16_t>(aRecord.mStatus);
  finished.mContentType = aRecord.mContentType;
  finished.mFinishReason = aRecord.mFinishReason;
  finished.mTotalTokens = aRecord.mTokens;
  finished.mIsReplayed = true;
  if (submit.mKind == RequestKind::kService) {
    finished.mBody = aRecord.mBody;
  } else {
    aWork.Send(protocol::Tokens{
      submit.mId, submit.mAttempt, 0, 0, aRecord.mTokens, aRecord.mBody });
  }
  aWork.Send(finished);
}

void
Companion::Refuse(Work& aWork, RefusalReason aReason, Millis aRetryAfter)
{
  mMetrics.Count(
    "shuntjunction_refusals_total",
    { { "reason", std::string(state::kRefusalReasonNames.Name(aReason)) } });
  protocol::Refused refused;
  refused.mId = aWork.mSubmit.mId;
  refused.mAttempt = aWork.mSubmit.mAttempt;
  refused.mReason = aReason;
  refused.mRetryAfterMs = static_cast<std::uint32_t>(aRetryAfter.count());
  refused.mWaitMicros =
    static_cast<std::uint64_t>(mQueue.WaitMicros(aWork.mSubmit.mPriority));
  refused.mMicrosPerBlock = static_cast<std::uint32_t>(mMicrosPerBlock);
  refused.mConfigVersion = aWork.UnannouncedVersion(ConfigVersion());
  aWork.Send(refused);
}

void
Companion::Fail(Work& aWork, RunState aRunState, std::string_view aText)
{
  aWork.Send(protocol::Failed{
    aWork.mSubmit.mId, aWork.mSubmit.mAttempt, aRunState, std::string(aText) });
}

} // namespace shuntjunction::coordination
