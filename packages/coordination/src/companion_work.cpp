// A request's way through the companion: admission, claim, backend.

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

constexpr Millis kRetryElsewhere{ 100 }; ///< another endpoint is better
constexpr Millis kRetryLater{ 1000 };
constexpr Millis kAnswerTimeout{ 60000 }; ///< for the next piece of an answer
constexpr double kBlockTimeGain = 0.1;    ///< weight of the newest measurement
constexpr std::uint32_t kMinMeasuredBlocks = 8;

} // namespace

std::optional<RefusalReason>
Companion::ReasonToRefuse(const protocol::Submit& aSubmit) const
{
  if (mIsLeaving) {
    return RefusalReason::kLeaving;
  }
  if (mState.mIncarnation == 0) {
    return RefusalReason::kEngineDown;
  }
  if (!mBackend.IsEngine()) {
    const bool isCall = aSubmit.mKind == RequestKind::kService;
    return isCall ? std::nullopt : std::optional(RefusalReason::kWrongModel);
  }
  const bool isWrongWeights =
    aSubmit.mWeightsVersion != 0 && aSubmit.mWeightsVersion != mState.mWeights;
  if (mIsPaused || aSubmit.mServes != mState.mModel || isWrongWeights) {
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
    Refuse(*work, *reason, kRetryElsewhere);
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
                                     submit.mServes,
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
  const auto all = static_cast<std::uint32_t>(aWork->mChain.mBlocks.size());
  const std::uint32_t cached =
    mIndex.CachedBlocks(std::span(aWork->mChain.mBlocks));
  ticket.mCostMicros =
    static_cast<std::int64_t>((all - cached) * mMicrosPerBlock);
  for (const auto& level : aWork->mChain.mLevels) {
    if (level.mBlocks > cached) {
      ticket.mMissingPrefix = level.mHash;
      break;
    }
  }
  mWorkByTicket.emplace(ticket.mId, aWork);
  Apply(mQueue.Enqueue(ticket, now));
  transport::Spawn(mContext, RunWork(aWork));
  Pump();
}

void
Companion::Apply(const std::vector<AdmissionRefusal>& aRefusals)
{
  for (const auto& refusal : aRefusals) {
    const auto work = mWorkByTicket.find(refusal.mId);
    if (work != mWorkByTicket.end()) {
      work->second->mRefusal = refusal;
      work->second->mNews.Push(WorkNews::kRefused);
    }
  }
}

void
Companion::Pump()
{
  const TimePoint now = mClock.Now();
  Apply(mQueue.Expire(now));
  while (const auto ticket = mQueue.Next(now)) {
    const auto work = mWorkByTicket.find(ticket->mId);
    if (work != mWorkByTicket.end()) {
      work->second->mNews.Push(WorkNews::kAdmitted);
    } else {
      mQueue.Remove(ticket->mId);
    }
  }
  if (const auto wake = mQueue.NextWake(now)) {
    mPumpTimer.expires_at(*wake);
    mPumpTimer.async_wait([this](auto aError) {
      if (!aError) {
        Pump();
      }
    });
  }
}

Task<void>
Companion::RunWork(WorkPtr aWork)
{
  ++mActive;
  ClaimResult verdict;
  const bool isAdmitted = co_await AwaitAdmission(aWork);
  if (isAdmitted && co_await AwaitClaim(aWork, verdict)) {
    co_await RunBackend(aWork, std::move(verdict));
  }
  mQueue.Remove(aWork->mTicket.mId);
  mWorkByTicket.erase(aWork->mTicket.mId);
  if (const auto session = aWork->mSession.lock()) {
    session->mWork.erase(aWork->mSubmit.mId);
  }
  --mActive;
  Pump();
}

Task<bool>
Companion::AwaitAdmission(WorkPtr aWork)
{
  while (true) {
    const auto news = co_await aWork->mNews.Receive(TimePoint::max());
    switch (news.value_or(WorkNews::kCancelled)) {
      case WorkNews::kAdmitted:
        co_return true;
      case WorkNews::kRefused:
        Refuse(*aWork, aWork->mRefusal.mReason, aWork->mRefusal.mRetryAfter);
        co_return false;
      case WorkNews::kCancelled:
        co_return false;
      case WorkNews::kCredit:
        break;
    }
  }
}

Task<bool>
Companion::AwaitClaim(WorkPtr aWork, ClaimResult& aVerdict)
{
  const auto& submit = aWork->mSubmit;
  if (submit.mIsOnce) {
    const TimePoint until =
      std::min(mClock.Now() + mSettings.mCompanion.mClaimTimeout,
               aWork->mTicket.mDeadline);
    const std::string digest = state::Sha256Hex(
      submit.mMethod + " " + submit.mTarget + "\n" + submit.mBody);
    aVerdict =
      co_await mClaims.Settle(submit.mTeam, submit.mKey, digest, until);
    switch (aVerdict.mStep) {
      case ClaimStep::kExecute:
        break;
      case ClaimStep::kReplay:
        Replay(*aWork, aVerdict.mRecord);
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
        Refuse(*aWork, RefusalReason::kPlatformDown, kRetryLater);
        co_return false;
    }
  }
  // Much may have changed while it waited, or the process may have slept.
  auto reason = ReasonToRefuse(submit);
  if (reason == RefusalReason::kLeaving) {
    reason.reset(); // It was admitted before: a planned stop cuts nothing.
  }
  if (mClock.Now() >= aWork->mTicket.mDeadline) {
    reason = RefusalReason::kTooLate;
  }
  if (!reason && !aWork->mIsCancelled) {
    co_return true;
  }
  if (submit.mIsOnce) {
    mClaims.Release(aVerdict);
  }
  Refuse(*aWork, reason.value_or(RefusalReason::kTooLate), kRetryElsewhere);
  co_return false;
}

Task<void>
Companion::RunBackend(WorkPtr aWork, ClaimResult aVerdict)
{
  auto& submit = aWork->mSubmit;
  const state::CacheScope scope{ submit.mTeam,
                                 submit.mServes,
                                 mState.mWeights };
  const std::uint32_t weights = mState.mWeights;
  BackendCall call;
  call.mSubmit = submit;
  call.mSalt = state::EngineSalt(scope, mSettings.mSecret);
  call.mChain = aWork->mChain.mBlocks;
  call.mCancel = aWork->mCancel;
  aWork->mHandedOver = mClock.Now();
  const auto answer = co_await mBackend.Open(std::move(call));
  if (!answer) {
    mLog.Warn("the backend failed: " + answer.error().Describe() + ".",
              submit.mRequestId);
    if (answer.error().mCode == state::ErrorCode::kUnavailable) {
      if (submit.mIsOnce) {
        mClaims.Release(aVerdict);
      }
      Refuse(*aWork, RefusalReason::kEngineDown, kRetryElsewhere);
    } else {
      Fail(*aWork, RunState::kUnknown, answer.error().mText);
    }
    co_return;
  }
  if ((*answer)->Weights() != weights) {
    // Other weights answer than those whose salt was handed in.
    Fail(*aWork, RunState::kUnknown, "the engine changed its weights");
    co_return;
  }
  const state::Incarnation incarnation = (*answer)->CurrentIncarnation();
  aWork->mIncarnation = incarnation;
  if (mBackend.IsEngine() && incarnation != mState.mIncarnation) {
    mIndex.Restart(incarnation);
  }
  const auto all = static_cast<std::uint32_t>(aWork->mChain.mBlocks.size());
  aWork->mComputedBlocks = all - std::min(all, (*answer)->CachedBlocks());
  aWork->Send(protocol::Started{ submit.mId,
                                 submit.mAttempt,
                                 incarnation,
                                 (*answer)->CachedBlocks(),
                                 aWork->UnannouncedVersion(ConfigVersion()),
                                 (*answer)->Weights() });
  bool hasFirstToken = false;
  std::string recorded;
  while (true) {
    auto event = co_await (*answer)->Next(kAnswerTimeout);
    if (!event) {
      mLog.Warn("an answer was cut off: " + event.error().Describe() + ".",
                submit.mRequestId);
      Fail(*aWork, RunState::kUnknown, event.error().mText);
      co_return;
    }
    if (!std::exchange(hasFirstToken, true)) {
      NoteBlockTime(*aWork);
      mQueue.NoteFirstToken(aWork->mTicket.mId);
      Pump();
    }
    if (auto* tokens = std::get_if<BackendTokens>(&*event)) {
      if (submit.mIsOnce && recorded.size() <= kMaxRecordedBytes) {
        recorded += tokens->mText;
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
    if (submit.mIsOnce) {
      auto& record = aVerdict.mRecord;
      record.mIsDone = true;
      record.mStatus = end.mStatus;
      record.mContentType = end.mContentType;
      record.mBody = recorded + end.mBody;
      record.mFinishReason = end.mFinishReason;
      record.mTokens = end.mTotalTokens;
      transport::Spawn(mContext, mClaims.Record(aVerdict));
    }
    FinishWork(*aWork, end);
    co_return;
  }
}

Task<bool>
Companion::AwaitWindow(WorkPtr aWork)
{
  // A request that must not be repeated runs to its end all the same, so
  // that its outcome is there for the caller who asks again.
  if (aWork->mSubmit.mIsOnce) {
    co_return true;
  }
  while (aWork->mWindow <= 0 && !aWork->mIsCancelled) {
    co_await aWork->mNews.Receive(TimePoint::max());
  }
  co_return !aWork->mIsCancelled;
}

void
Companion::NoteBlockTime(const Work& aWork)
{
  if (aWork.mComputedBlocks < kMinMeasuredBlocks || mQueue.Running() > 1) {
    return;
  }
  const std::chrono::duration<double, std::micro> time =
    mClock.Now() - aWork.mHandedOver;
  const double measured = time.count() / aWork.mComputedBlocks;
  mMicrosPerBlock += kBlockTimeGain * (measured - mMicrosPerBlock);
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
