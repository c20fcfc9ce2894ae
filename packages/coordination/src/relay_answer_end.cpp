#include "relay_attempt.h"

// The part of a run that judges whether an answer that ended is whole.
//
// Where only the connection marks the end of an answer, an endpoint that breaks
// it off closes the connection in the same way as one that has finished.

namespace shuntjunction::coordination {

using transport::BodyFraming;
using transport::Task;

bool
RelayRun::HasEventType(const transport::RelayResponse& aHead)
{
  const auto type = transport::MediaType(aHead.Field("Content-Type"));
  return type.empty() || transport::IsSameName(type, "text/event-stream");
}

void
RelayRun::BeginBody(Attempt& aAttempt)
{
  const auto& head = aAttempt.mAnswer->Head();
  const auto type = transport::MediaType(head.Field("Content-Type"));
  if (aAttempt.mIsStreamed && HasEventType(head)) {
    aAttempt.mEvents.emplace(mPosition);
  }
  if (head.mFraming == BodyFraming::kConnection &&
      transport::IsJsonType(type)) {
    aAttempt.mJson = std::make_unique<state::JsonTextChecker>();
  }
}

bool
RelayRun::ReceiveBody(Attempt& aAttempt)
{
  const auto body = aAttempt.mAnswer->TakeBody();
  mAnswerTrace.mBodyBytes += body.size();
  if (aAttempt.mJson) {
    aAttempt.mJson->Put(body);
  }
  if (!aAttempt.mEvents) {
    aAttempt.mBufferedBody += body;
    return true;
  }
  aAttempt.mBufferedBody += aAttempt.mEvents->Put(body);
  mAnswerTrace.mIsInsideEvent = aAttempt.mEvents->IsInsideEvent();
  if (aAttempt.mEvents->PendingBytes() <= mCore->mLimits.mMaxEventBytes) {
    return true;
  }
  if (IsOfEvents(aAttempt)) {
    mLastProblem = "event too long";
    return false;
  }
  // A body of another kind, forwarded as it arrives from here on.
  aAttempt.mBufferedBody += aAttempt.mEvents->TakeRest();
  aAttempt.mEvents.reset();
  mAnswerTrace.mIsInsideEvent = false;
  return true;
}

bool
RelayRun::IsOfEvents(const Attempt& aAttempt)
{
  const auto& head = aAttempt.mAnswer->Head();
  return aAttempt.mEvents->HasEvents() ||
         head.mFraming == BodyFraming::kConnection ||
         !head.Field("Content-Type").empty();
}

Task<bool>
RelayRun::IsCutOff(Attempt& aAttempt)
{
  if (mAnswerTrace.mIsInsideEvent && IsOfEvents(aAttempt)) {
    mLastProblem = "stream cut off inside an event";
    co_await ForwardBody(aAttempt, false);
    co_return true;
  }
  if (mAnswerTrace.mFraming != BodyFraming::kConnection) {
    co_return false;
  }
  if (aAttempt.mJson && aAttempt.mJson->IsTruncated()) {
    mLastProblem = "JSON cut off";
    co_return true;
  }
  if (aAttempt.mIsStreamed) {
    co_await ForwardBody(aAttempt, false);
  }
  const bool hasEnded =
    co_await HasEnded(mCore, aAttempt.mEndpointChoice.mEndpoint);
  if (hasEnded) {
    mLastProblem = "endpoint ended with its answer";
  }
  co_return hasEnded;
}

} // namespace shuntjunction::coordination
