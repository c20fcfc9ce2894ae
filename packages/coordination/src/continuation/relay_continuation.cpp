#include "continuation/runs_query.h"

// The part of a run that continues a stream from the copy of its memory after
// its engine was lost.

#include "relay_attempt.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::RouteKind;
using state::RunEnd;
using transport::Task;

namespace {

/// Engines that may crash under a request before it is no longer continued: the
/// third crash would quarantine it.
constexpr int kMaxCrashesOfContinued = 1;

/// Longest wait for what shows that a run has ended whose connection broke:
/// callers give up a stream that pauses for longer.
constexpr Millis kMaxEndWait{ 2000 };

/// Interval at which a silent stream is checked.
constexpr Millis kSilenceCheckInterval{ 100 };

/// Time in which the last events of a run that has ended still arrive.
constexpr Millis kAnswerTransit{ 500 };

/// Whether an attempt ended without anything having run.
bool
IsCertainlyNotRun(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::kUnsent:
    case AttemptOutcome::kWithheld:
    case AttemptOutcome::kLeaving:
    case AttemptOutcome::kNoPermit:
    case AttemptOutcome::kCooldown:
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kMisdirected:
      return true;
    case AttemptOutcome::kDone:
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kEnded:
    case AttemptOutcome::kWithdrawn:
    case AttemptOutcome::kInterrupted:
      break;
  }
  return false;
}

} // namespace

void
RelayRun::PlaceCopy(Attempt& aAttempt)
{
  mCopy = nullptr;
  if (mRoute->mKind == RouteKind::kStream) {
    mCopy = PlaceStreamCopy(*mCore,
                            MakeEndpointQuery(),
                            aAttempt.mEndpointChoice,
                            mRoute->mIsResumable,
                            state::PlacementHash(mCall.mRequestId));
  }
  if (mCopy) {
    aAttempt.mEndpointChoice.mCopyAddress = mCopy->Endpoint()->mInfo.mAddress;
    mCore->mDependencies.mMetrics.Count(
      "shuntjunction_relay_stream_copies_total", { { "service", mService } });
  }
}

bool
RelayRun::MayContinueFromCopy(AttemptOutcome aOutcome) const
{
  const bool isLost =
    aOutcome == AttemptOutcome::kBroken || aOutcome == AttemptOutcome::kEnded;
  if (!isLost || !mCopy || mInterrupt != RunInterrupt::kNone ||
      !mPosition.mIsExact) {
    return false;
  }
  if (mCore->mCrashes.Crashes(mDigest) > kMaxCrashesOfContinued) {
    return false;
  }
  // The engine of the copy would be the next to crash.
  if (!mIsPastBeginning && mCore->mPartCrashes.SuspicionOf(mParts) >=
                             state::PartSuspicion::kRestricted) {
    return false;
  }
  return mCopy->ChangeOfWeights(*mCore) == WeightsChange::kNone &&
         IsOfOrigin(*mCopy->Endpoint()) && mCopy->IsUsable(*mCore, Now());
}

void
RelayRun::NoteWeightsOfHead(const Attempt& aAttempt)
{
  if (mCopy && aAttempt.mAnswerInfo.mWeights) {
    mCopy->NoteWeights(*aAttempt.mAnswerInfo.mWeights);
  }
}

void
RelayRun::NoteWeightsOfEvents(std::string_view aEvents)
{
  if (!mCopy) {
    return;
  }
  const auto weights = mCore->mDependencies.mCodec.ReadEventWeights(aEvents);
  if (weights) {
    mCopy->NoteWeights(*weights);
  }
}

void
RelayRun::NoteDiscardedCopy(const EndpointChoice& aChoice,
                            AttemptOutcome aOutcome)
{
  const bool isLost =
    aOutcome == AttemptOutcome::kBroken || aOutcome == AttemptOutcome::kEnded;
  const auto change =
    isLost && mCopy ? mCopy->ChangeOfWeights(*mCore) : WeightsChange::kNone;
  if (change == WeightsChange::kNone) {
    return;
  }
  const auto name = kWeightsChangeNames.Name(change);
  mCore->mDependencies.mLog.Write(
    EventLine(kRelayComponent, "copy-discarded", mCall.mRequestId)
      .Add("endpoint", aChoice.mEndpoint->mInfo.mId)
      .Add("copy", mCopy->Endpoint()->mInfo.mId)
      .Add("weights", mCopy->Weights())
      .Add("weights_change", name)
      .Add("ms", SinceArrival().count()));
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_copies_discarded_total",
    { { "service", mService }, { "weights_change", std::string(name) } });
}

bool
RelayRun::HasAttemptAfter(RunEnd aEnd) const
{
  switch (aEnd) {
    case RunEnd::kUnknown:
      return false;
    case RunEnd::kRefused:
    case RunEnd::kReplaced:
      // An engine that has ended does not count as an attempt.
      return true;
    case RunEnd::kNotRunning:
      break;
  }
  return static_cast<int>(mTriedEndpoints.size()) < mRoute->mMaxAttempts;
}

RunEnd
RelayRun::EndOfLatestRun(const RelayEndpoint& aEndpoint)
{
  if (!mLatestRun || mLatestEnd != RunEnd::kUnknown) {
    return mLatestEnd;
  }
  const auto& queries = aEndpoint.mRunsQueries;
  mLatestRun->NoteReply(queries.mReply, queries.mAskedAt);
  mLatestEnd = state::EndOfRun(*mLatestRun, queries.mReply, queries.mAskedAt);
  return mLatestEnd;
}

bool
RelayRun::IsSilentTooLong(const Attempt& aAttempt) const
{
  if (!mCopy) {
    return false;
  }
  const auto& endpoints = mCore->mEndpoints;
  if (!mTimes.mFirst) {
    return endpoints.HasStopped(*aAttempt.mEndpointChoice.mEndpoint, Now());
  }
  return SinceArrival() - mTimes.mLastChunk >=
         endpoints.Settings().mSilence.mBytesTimeout;
}

bool
RelayRun::HasEndedUnanswered(const Attempt& aAttempt)
{
  const auto& endpoint = aAttempt.mEndpointChoice.mEndpoint;
  if (!IsSilentTooLong(aAttempt)) {
    mAbsentSince.reset();
    return false;
  }
  StartRunsQuery(mCore, endpoint);
  const auto end = EndOfLatestRun(*endpoint);
  if (end != RunEnd::kNotRunning) {
    mAbsentSince.reset();
    return end != RunEnd::kUnknown;
  }
  if (!mAbsentSince) {
    mAbsentSince = Now();
  }
  return Now() - *mAbsentSince >= kAnswerTransit;
}

state::TimePoint
RelayRun::NextSilenceCheck(const Attempt& aAttempt) const
{
  // Before its first bytes it is woken when its engine's machine has stopped.
  if (!mCopy || !mTimes.mFirst) {
    return mDeadline;
  }
  const auto silentAt = mArrival + mTimes.mLastChunk +
                        mCore->mEndpoints.Settings().mSilence.mBytesTimeout;
  const auto next =
    IsSilentTooLong(aAttempt) ? Now() + kSilenceCheckInterval : silentAt;
  return std::min(mDeadline, next);
}

Task<RunEnd>
RelayRun::AwaitRunEnd(EndpointChoice aChoice)
{
  const auto endpoint = aChoice.mEndpoint;
  const auto until = std::min(mDeadline, Now() + kMaxEndWait);
  // An engine that still listens counts as an attempt.
  const bool mayGoOn =
    endpoint->mHasCrashed || HasAttemptAfter(RunEnd::kNotRunning);
  while (mInterrupt == RunInterrupt::kNone && Now() < until) {
    const auto end = EndOfLatestRun(*endpoint);
    if (end != RunEnd::kUnknown || !mayGoOn) {
      co_return end;
    }
    StartRunsQuery(mCore, endpoint);
    co_await transport::Sleep(kPollInterval);
  }
  co_return RunEnd::kUnknown;
}

Task<AttemptOutcome>
RelayRun::ContinueFromCopy(EndpointChoice aChoice, AttemptOutcome aOutcome)
{
  auto choice = std::move(aChoice);
  auto outcome = aOutcome;
  while (MayContinueFromCopy(outcome)) {
    const auto end = co_await AwaitRunEnd(choice);
    LogRunEnd(choice, end);
    if (!HasAttemptAfter(end)) {
      break;
    }
    if (!co_await ReserveRetry()) {
      mLastProblem = "retry-budget";
      break;
    }
    // Its run has ended for good; the copy may have gone meanwhile.
    if (!MayContinueFromCopy(outcome)) {
      break;
    }
    const std::shared_ptr<StreamCopy> copy = std::move(mCopy);
    auto next = ChoiceOfCopy(*copy);
    const auto continued = co_await TryEndpoint(next);
    NoteOutcome(next, continued);
    CountContinued(continued);
    if (IsCertainlyNotRun(continued)) {
      // What becomes of the lost run is decided by its own outcome.
      if (continued == AttemptOutcome::kNotRun ||
          continued == AttemptOutcome::kMisdirected) {
        mTriedEndpoints.pop_back();
      }
      mCopy = nullptr;
      break;
    }
    outcome = continued;
    choice = std::move(next);
    if (outcome == AttemptOutcome::kBroken ||
        outcome == AttemptOutcome::kEnded) {
      co_await CheckForCrash(choice);
    }
  }
  NoteDiscardedCopy(choice, outcome);
  co_return outcome;
}

EndpointChoice
RelayRun::ChoiceOfCopy(const StreamCopy& aCopy) const
{
  EndpointChoice choice;
  choice.mEndpoint = aCopy.Endpoint();
  choice.mWeights = aCopy.Weights();
  choice.mSalt = SaltOf(MakeEndpointQuery(), choice.mWeights);
  choice.mUrgency = Urgency();
  choice.mContinueFrom = choice.mEndpoint->mInfo.mAddress;
  choice.mIsCrashSuspect = mCore->mCrashes.Crashes(mDigest) > 0;
  return choice;
}

void
RelayRun::CountContinued(AttemptOutcome aOutcome)
{
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_streams_continued_total",
    { { "service", mService },
      { "outcome", std::string(kAttemptOutcomeNames.Name(aOutcome)) } });
}

} // namespace shuntjunction::coordination
