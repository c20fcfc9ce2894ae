#include "relay_run.h"

// The part of a run that continues a stream from the copy of its memory after
// its engine was lost.

#include "relay_attempt.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::RouteKind;
using transport::Task;

namespace {

/// Engines that may crash under a request before it is no longer continued: the
/// third crash would quarantine it.
constexpr int kMaxCrashesOfContinued = 1;

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
RelayRun::MayContinueFromCopy(const EndpointChoice& aChoice,
                              AttemptOutcome aOutcome) const
{
  const bool isLost =
    aOutcome == AttemptOutcome::kBroken || aOutcome == AttemptOutcome::kSilent;
  if (!isLost || !mCopy || mInterrupt != RunInterrupt::kNone) {
    return false;
  }
  if (mCore->mCrashes.Crashes(mDigest) > kMaxCrashesOfContinued) {
    return false;
  }
  // An engine that has ended does not count as an attempt.
  const bool hasEnded =
    aOutcome == AttemptOutcome::kSilent || aChoice.mEndpoint->mHasCrashed;
  const bool hasAttempt =
    static_cast<int>(mTriedEndpoints.size()) < mRoute->mMaxAttempts;
  return (hasEnded || hasAttempt) && IsOfOrigin(*mCopy->Endpoint()) &&
         mCopy->IsUsable(*mCore, Now());
}

Task<AttemptOutcome>
RelayRun::ContinueFromCopy(EndpointChoice aChoice, AttemptOutcome aOutcome)
{
  auto choice = std::move(aChoice);
  auto outcome = aOutcome;
  while (MayContinueFromCopy(choice, outcome)) {
    if (!co_await ReserveRetry()) {
      mLastProblem = "retry-budget";
      break;
    }
    if (!MayContinueFromCopy(choice, outcome)) {
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
    if (outcome == AttemptOutcome::kBroken) {
      co_await CheckForCrash(choice);
    }
  }
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
