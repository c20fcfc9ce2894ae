#include "relay_run.h"

// The log lines of a run: what was sent where and on what belief, what became
// of it, how the request ended.

namespace shuntjunction::coordination {

void
RelayRun::LogSent(const EndpointChoice& aPick)
{
  // An attempt's own line is written at its end: only this one tells what a
  // process that was killed had sent where.
  EventLine line(kRelayComponent, "sent", mCall.mRequestId);
  line.Add("content", mDigest.Text())
    .Add("endpoint", aPick.mEndpoint->mInfo.mId)
    .Add("started_at",
         aPick.mEndpoint->mEndpointIncarnation.Current().StartedAt())
    .Add("running", aPick.mEndpoint->mRunning)
    .Add("candidates", aPick.mCandidates)
    .Add("listed", aPick.mEndpoint->mInfo.mRevision)
    .Add("list_age_ms", mCore->mParts.mEndpointList.Age(Now()).count())
    .Add("ms", SinceArrival().count());
  if (aPick.mWeights != 0) {
    line.Add("waiting_tokens", aPick.mWaitingTokens)
      .Add("expected_ms", aPick.mExpected.count())
      .Add("urgency", aPick.mUrgency)
      .Add("news_age_ms", aPick.mNewsAge.count());
  }
  mCore->mParts.mLog.Write(std::move(line));
}

void
RelayRun::LogAttempt(const EndpointChoice& aPick, AttemptOutcome aOutcome)
{
  const auto& endpoint = *aPick.mEndpoint;
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
      .Add("pause_ms", mTimes.mLongestPause.count());
  }
  if (aPick.mWeights != 0) {
    line.Add("weights", aPick.mWeights)
      .Add("shared_part", aPick.mPart)
      .Add("kept", aPick.mIsKept)
      .Add("to_read", aPick.mPrefillTokens)
      .Add("source", aPick.mPartSource)
      .Add("saves", !aPick.mPartStore.empty());
  }
  if (aOutcome != AttemptOutcome::kDone) {
    line.Add("problem", mLastProblem);
  }
  mCore->mParts.mMetrics.Count(
    "shuntjunction_relay_attempts_total",
    { { "service", mService },
      { "outcome", std::string(kAttemptOutcomeNames.Name(aOutcome)) } });
  mCore->mParts.mLog.Write(std::move(line));
}

void
RelayRun::LogOutcome(std::string_view aOutcome, std::string_view aReason)
{
  auto& parts = mCore->mParts;
  const auto age = parts.mConfigConfirmed.Age(Now());
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
  parts.mLog.Write(std::move(line));
  parts.mMetrics.Count("shuntjunction_relay_requests_total",
                       { { "route", mRoute != nullptr ? mRoute->mName : "" },
                         { "outcome", std::string(aOutcome) } });
}

} // namespace shuntjunction::coordination
