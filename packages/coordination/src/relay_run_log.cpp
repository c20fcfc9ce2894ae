#include "relay_attempt.h"

#include <algorithm>

// The log lines of a run: what was sent where and on which information, the
// outcome of each attempt, and how the request ended.

namespace shuntjunction::coordination {

namespace {

/// The ids of a prompt's shared parts, separated by commas.
std::string
SharedPartIds(const CallInfo& aCall)
{
  std::string ids;
  for (std::size_t i = 0; i + 1 < aCall.mParts.size(); ++i) {
    ids += i == 0 ? "" : ",";
    ids += aCall.mParts[i].mId;
  }
  return ids;
}

} // namespace

void
RelayRun::LogSent(const EndpointChoice& aChoice)
{
  // The outcome of an attempt is logged at its end, so only this line shows
  // where a process that was killed had sent requests.
  EventLine line(kRelayComponent, "sent", mCall.mRequestId);
  line.Add("content", mDigest.Text())
    .Add("endpoint", aChoice.mEndpoint->mInfo.mId)
    .Add("started_at",
         aChoice.mEndpoint->mEndpointIncarnation.Current().StartedAt())
    .Add("software", aChoice.mEndpoint->mInfo.mSoftwareVersion)
    .Add("running", aChoice.mEndpoint->mRunning)
    .Add("candidates", aChoice.mCandidates)
    .Add("listed", aChoice.mEndpoint->mInfo.mRevision)
    .Add("list_age_ms", AgeOf(mCore->mFreshness.mEndpoints, Now()).count())
    .Add("ms", SinceArrival().count());
  if (mRetryCharge) {
    const auto age = Now() - mRetryCharge->GrantedAt();
    line.Add("retry_grant", state::kRetryGrantNames.Name(mRetryCharge->Grant()))
      .Add("retry_grant_age_ms",
           std::chrono::duration_cast<state::Millis>(age).count());
  }
  if (aChoice.mWeights != 0) {
    line.Add("weights", aChoice.mWeights)
      .Add("newest_weights", aChoice.mNewestWeights)
      .Add("superseded_ms", state::LoggedMillis(aChoice.mSupersededFor))
      .Add("waiting_tokens", aChoice.mWaitingTokens)
      .Add("expected_ms", aChoice.mExpected.count())
      .Add("urgency", aChoice.mUrgency)
      .Add("news_age_ms", aChoice.mNewsAge.count())
      .Add("parts", SharedPartIds(mCall))
      .Add("copy", aChoice.mCopyAddress)
      .Add("continued_from", aChoice.mContinueFrom);
  }
  mCore->mDependencies.mLog.Write(std::move(line));
}

void
RelayRun::LogAttempt(const EndpointChoice& aChoice, AttemptOutcome aOutcome)
{
  const auto& endpoint = *aChoice.mEndpoint;
  EventLine line(kRelayComponent, "attempt", mCall.mRequestId);
  line.Add("endpoint", endpoint.mInfo.mId)
    .Add("zone", endpoint.mInfo.mZone)
    .Add("outcome", kAttemptOutcomeNames.Name(aOutcome))
    .Add("running", endpoint.mRunning)
    .Add("ms", SinceArrival().count());
  if (mTimes.mSent) {
    line.Add("sent_ms", mTimes.mSent->count());
  }
  if (mTimes.mFirst) {
    line.Add("first_ms", mTimes.mFirst->count())
      .Add("pause_ms", mTimes.mLongestPause.count())
      .Add("framing", transport::kBodyFramingNames.Name(mAnswerTrace.mFraming))
      .Add("end", kAnswerEndNames.Name(mAnswerTrace.mEnd))
      .Add("inside_event", mAnswerTrace.mIsInsideEvent)
      .Add("body_bytes", mAnswerTrace.mBodyBytes);
    CountAnswerEnd();
  }
  if (aChoice.mWeights != 0) {
    line.Add("weights", aChoice.mWeights)
      .Add("shared_part", aChoice.mPart)
      .Add("kept", aChoice.mIsPartCached)
      .Add("to_read", aChoice.mPrefillTokens)
      .Add("source", aChoice.mPartSource)
      .Add("saves", !aChoice.mPartStore.empty());
  }
  if (aOutcome != AttemptOutcome::kDone) {
    line.Add("problem", mLastProblem);
  }
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_attempts_total",
    { { "service", mService },
      { "outcome", std::string(kAttemptOutcomeNames.Name(aOutcome)) } });
  mCore->mDependencies.mLog.Write(std::move(line));
}

void
RelayRun::LogSilence(const Attempt& aAttempt)
{
  const auto& endpoint = *aAttempt.mEndpointChoice.mEndpoint;
  const auto signals = RelayEndpoints::SignalsOf(endpoint, Now());
  const auto& queries = endpoint.mRunsQueries;
  const auto& ids = queries.mReply.mRequestIds;
  const auto replyAge =
    std::chrono::duration_cast<state::Millis>(Now() - queries.mAskedAt);
  const auto silent =
    SinceArrival() - (mTimes.mFirst ? mTimes.mLastChunk : *mTimes.mSent);
  mCore->mDependencies.mLog.Write(
    EventLine(kRelayComponent, "run-silent", mCall.mRequestId)
      .Add("endpoint", endpoint.mInfo.mId)
      .Add("begun", mTimes.mFirst.has_value())
      .Add("silent_ms", silent.count())
      .Add("bytes_age_ms", signals.mSinceEndpointBytes.count())
      .Add("companion_age_ms", signals.mSinceCompanionMessage.count())
      .Add("companion_closed", signals.mIsCompanionClosed)
      .Add("reply", state::kRunsReplyKindNames.Name(queries.mReply.mKind))
      .Add("reply_age_ms", replyAge.count())
      .Add("listed",
           std::find(ids.begin(), ids.end(), mCall.mRequestId) != ids.end())
      .Add("ms", SinceArrival().count()));
}

void
RelayRun::LogResumed(const Attempt& aAttempt, bool aHasRevived)
{
  const auto& endpoint = *aAttempt.mEndpointChoice.mEndpoint;
  mCore->mDependencies.mLog.Write(
    EventLine(kRelayComponent, "run-resumed", mCall.mRequestId)
      .Add("endpoint", endpoint.mInfo.mId)
      .Add("revived", aHasRevived)
      .Add("problem", mLastProblem)
      .Add("ms", SinceArrival().count()));
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_runs_resumed_total",
    { { "service", mService }, { "revived", aHasRevived ? "yes" : "no" } });
}

void
RelayRun::LogRunEnd(const EndpointChoice& aChoice, state::RunEnd aEnd)
{
  const auto name = state::kRunEndNames.Name(aEnd);
  mCore->mDependencies.mLog.Write(
    EventLine(kRelayComponent, "run-end", mCall.mRequestId)
      .Add("endpoint", aChoice.mEndpoint->mInfo.mId)
      .Add("end", name)
      .Add("may_continue", HasAttemptAfter(aEnd))
      .Add("copy", mCopy ? mCopy->Endpoint()->mInfo.mId : "")
      .Add("ms", SinceArrival().count()));
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_run_ends_total",
    { { "service", mService }, { "end", std::string(name) } });
}

void
RelayRun::CountAnswerEnd()
{
  const auto& trace = mAnswerTrace;
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_answer_ends_total",
    { { "service", mService },
      { "framing",
        std::string(transport::kBodyFramingNames.Name(trace.mFraming)) },
      { "end", std::string(kAnswerEndNames.Name(trace.mEnd)) },
      { "inside_event", trace.mIsInsideEvent ? "yes" : "no" } });
}

void
RelayRun::LogOutcome(std::string_view aOutcome, std::string_view aReason)
{
  auto& dependencies = mCore->mDependencies;
  const auto age = AgeOf(mCore->mFreshness.mConfig, Now());
  EventLine line(kRelayComponent, "request", mCall.mRequestId);
  line.Add("outcome", aOutcome)
    .Add("reason", aReason)
    .Add("content", mDigest.Text())
    .Add("status", mAnswerStatus)
    .Add("route", mRoute != nullptr ? mRoute->mName : "")
    .Add("service", mService)
    .Add("team", mTeam != nullptr ? mTeam->mName : "")
    .Add("attempts", mTriedEndpoints.size())
    .Add("unsent", mUnsentTries)
    .Add("may_have_run", mMayHaveRun)
    .Add("config", mView->mConfig->Version())
    .Add("config_age_ms", age.count())
    .Add("ms", SinceArrival().count());
  if (mStreamOrigin) {
    line.Add("first_software", mStreamOrigin->mSoftwareVersion)
      .Add("last_software", mLastSoftwareVersion);
  }
  if (!mCall.mResumeAfter.empty()) {
    line.Add("resumes", mCall.mResumedRequestId)
      .Add("resume_after", mCall.mResumeAfter);
  }
  dependencies.mLog.Write(std::move(line));
  dependencies.mMetrics.Count(
    "shuntjunction_relay_requests_total",
    { { "route", mRoute != nullptr ? mRoute->mName : "" },
      { "outcome", std::string(aOutcome) } });
}

} // namespace shuntjunction::coordination
