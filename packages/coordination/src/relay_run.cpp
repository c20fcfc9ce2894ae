#include "relay_attempt.h"

#include <random>

#include "shuntjunction/state/field_value.h"
#include "shuntjunction/state/jittered_pause.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::RouteKind;
using transport::RelayRequest;
using transport::Task;

namespace {

constexpr std::string_view kBearer = "Bearer ";

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNoRoute = 404;
constexpr unsigned kInternalError = 500;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kFirstServerError = 500;

/// Retry-After when no configuration was read yet: the store is unreachable.
constexpr Millis kRetryLater{ 1000 };
/// The same when keys were not confirmed in time: most often only this relay is
/// cut off from the store, and another, which a new connection reaches, serves
/// at once.
constexpr Millis kRetryElsewhere{ 50 };

/// The same when this relay is overloaded: meanwhile it answers what it
/// accepted before, and others may have capacity.
constexpr Millis kRetryOverload{ 600 };

/// Unreachable endpoints after which a request is given up: trying them one
/// after the other costs a connection timeout each.
constexpr int kMaxUnsentTries = 3;

/// Endpoints that may crash under one try of a caller. The third would be the
/// last that its request may ever crash; whether to risk that is left to the
/// caller.
constexpr int kMaxCrashesPerRun = 2;

} // namespace

RelayRun::RelayRun(std::shared_ptr<Relay::Core> aCore,
                   transport::SocketReader& aCaller,
                   std::shared_ptr<RelayRequest> aRequest,
                   state::TimePoint aArrival)
  : mCore(std::move(aCore))
  , mCaller(aCaller)
  , mRequest(std::move(aRequest))
  , mArrival(aArrival)
  , mView(mCore->mView)
  , mCall(mCore->mDependencies.mCodec.ReadCall(*mRequest))
  , mKeepsConnection(mRequest->mKeepsAlive)
{
}

Task<bool>
RelayRun::Run()
{
  co_await AwaitConfig();
  if (mView->mConfig->Version() == 0) {
    co_await Refuse(kUnavailable, "no-configuration", kRetryLater);
  } else if (!FindRoute()) {
    co_await Refuse(kNoRoute, "no-route");
  } else if (mCore->mGuard.MustRefuse(mRoute->mUrgency, Now())) {
    co_await Refuse(kUnavailable, "relay-overloaded", SpreadRetryAfter());
  } else if (AreKeysStale()) {
    co_await Refuse(kUnavailable, "stale-keys", kRetryElsewhere);
  } else if (!FindTeam()) {
    co_await Refuse(kUnauthorized, "unknown-key");
  } else if (mTeam != nullptr && !state::IsFieldValue(mTeam->mName)) {
    // Without its name, an endpoint would take the request for another team's.
    co_await Refuse(kInternalError, "invalid-team-name");
  } else if (IsQuarantined()) {
    co_await Refuse(kUnavailable, kQuarantinedReason, QuarantineLeft());
  } else if (mCore->mIsRefusing) {
    co_await Refuse(kUnavailable, kStoppingReason, Millis(0));
  } else {
    mService = SelectService();
    ArmDeadline();
    mCaller.OnClosed([this] { Interrupt(RunInterrupt::kCallerGone); });
    mRunningEntry = mCore->mCrashes.Begin(
      mDigest, [this] { Interrupt(RunInterrupt::kQuarantined); });
    auto waiting =
      mCore->mPartCrashes.Begin(mParts, [this] { EndIfPartIsQuarantined(); });
    co_await Serve();
    ReleaseTrials();
    mCore->mPartCrashes.End(waiting);
    ReleaseUsage();
    ReleaseRetry();
    ReturnPermit();
    mCore->mCrashes.End(*mRunningEntry);
    mRunningEntry.reset();
    mCaller.OnClosed(nullptr);
    mDeadlineTimer->cancel();
  }
  // Without an announced end the caller may have sent its next request.
  co_return mKeepsConnection && !mIsCloseAnnounced && !mCaller.IsClosed();
}

// Admission.

Task<void>
RelayRun::AwaitConfig()
{
  const auto until = mArrival + mCore->mLimits.mConfigWait;
  while (mView->mConfig->Version() == 0 && Now() < until) {
    co_await transport::Sleep(kPollInterval);
    mView = mCore->mView;
  }
}

Millis
RelayRun::SpreadRetryAfter()
{
  return state::JitteredPause(kRetryOverload, mCore->mRandom);
}

bool
RelayRun::FindRoute()
{
  mRoute = mView->mConfig->RouteOf(mRequest->Field("Host"), mRequest->Path());
  return mRoute != nullptr;
}

bool
RelayRun::FindTeam()
{
  if (!mView->mConfig->Rules().mHasTeams || mRoute->mIsAnonymous) {
    return true;
  }
  const auto field = mRequest->Field("Authorization");
  if (field.substr(0, kBearer.size()) != kBearer) {
    return false;
  }
  mTeam = mView->mConfig->TeamOf(field.substr(kBearer.size()));
  return mTeam != nullptr;
}

bool
RelayRun::AreKeysStale() const
{
  const bool needsKey =
    mView->mConfig->Rules().mHasTeams && !mRoute->mIsAnonymous;
  return needsKey && !mCore->AreKeysFresh();
}

std::string
RelayRun::SelectService()
{
  double sum = 0.0;
  for (const auto& target : mRoute->mTargets) {
    sum += target.mWeight;
  }
  std::uniform_real_distribution<double> draw(0.0, sum);
  double left = draw(mCore->mRandom);
  for (const auto& target : mRoute->mTargets) {
    left -= target.mWeight;
    if (left <= 0.0) {
      return target.mService;
    }
  }
  return mRoute->mTargets.back().mService;
}

state::RequestDigest
RelayRun::DigestOfRequest() const
{
  return state::RequestDigest(
    { mRequest->mMethod,
      mRequest->Field("Host"),
      mRequest->mTarget,
      mTeam != nullptr ? std::string_view(mTeam->mName) : std::string_view(),
      mRequest->mBody });
}

void
RelayRun::ArmDeadline()
{
  const auto limit =
    std::min(mRoute->mTimeout, mCall.mDeadline.value_or(mRoute->mTimeout));
  mDeadline = mArrival + limit;
  mDeadlineTimer = std::make_shared<transport::Timer>(
    mCore->mDependencies.mContext, mDeadline);
  // Cancelled before the run ends, but an expired timer may still call back:
  // the token tells whether the run still exists.
  mDeadlineTimer->async_wait(
    [this, alive = std::weak_ptr(mDeadlineTimer)](const auto& aError) {
      if (!aError && !alive.expired()) {
        Interrupt(RunInterrupt::kDeadline);
      }
    });
}

void
RelayRun::Interrupt(RunInterrupt aReason)
{
  if (mInterrupt != RunInterrupt::kNone) {
    return;
  }
  mInterrupt = aReason;
  if (mOpenConnection) {
    mOpenConnection->Close(true);
  }
  // Their endpoints are to notice at once that the request is not wanted.
  EndSuspended();
}

void
RelayRun::EndForStop()
{
  if (mInterrupt == RunInterrupt::kNone) {
    mLastProblem = kStoppingReason;
    mRetryAfter = Millis(0);
    Interrupt(RunInterrupt::kStopping);
  }
}

void
RelayRun::EndIfUnsent()
{
  const bool isSent = mRunningEntry && (*mRunningEntry)->second.mEndpoint != 0;
  if (!isSent && mSuspended.empty()) {
    EndForStop();
  }
}

Millis
RelayRun::SinceArrival() const
{
  return std::chrono::duration_cast<Millis>(Now() - mArrival);
}

// Attempts.

Task<void>
RelayRun::Serve()
{
  mCore->mRetryBudgets.BudgetOf(mService)->NoteFirst(Now());
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_first_requests_total", { { "service", mService } });
  const bool mayBegin = co_await FindStreamOrigin();
  const bool isAnswered = mayBegin && co_await MakeAttempts();
  EndSuspended();
  if (!isAnswered) {
    co_await AnswerFailure();
  }
}

Task<bool>
RelayRun::MakeAttempts()
{
  bool mayTryNext = true;
  while (mInterrupt == RunInterrupt::kNone) {
    std::optional<EndpointChoice> choice;
    if (mayTryNext) {
      choice = co_await PrepareAttempt();
    }
    auto outcome = AttemptOutcome::kDone;
    if (choice) {
      outcome = co_await TryEndpoint(*choice);
    } else if (!mSuspended.empty()) {
      auto suspended = TakeSuspended();
      choice = suspended->mAttempt->mEndpointChoice;
      outcome = co_await Resume(std::move(suspended));
    } else {
      co_return false;
    }
    outcome = co_await SettleAttempt(*choice, outcome);
    if (outcome == AttemptOutcome::kDone) {
      co_return true;
    }
    mayTryNext = MayRetry(outcome) && !HasRevivedAttempt();
  }
  co_return false;
}

Task<std::optional<EndpointChoice>>
RelayRun::PrepareAttempt()
{
  while (mInterrupt == RunInterrupt::kNone && !HasRevivedAttempt()) {
    const bool mayTry = co_await AwaitTrial();
    if (!mayTry) {
      break;
    }
    if (!co_await ReserveUsage()) {
      break;
    }
    auto choice = co_await SelectEndpoint();
    if (!choice) {
      break;
    }
    if (ShouldShed(*choice)) {
      SetOverloadRefusal(*choice);
      break;
    }
    if (!co_await ReserveRetry()) {
      mLastProblem = "retry-budget";
      break;
    }
    co_await WaitForPart(*choice);
    const bool mayBeSent = co_await AcquirePermit(*choice);
    if (mInterrupt != RunInterrupt::kNone) {
      break;
    }
    if (mayBeSent) {
      co_return choice;
    }
    ReleaseTrials();
  }
  co_return std::nullopt;
}

Task<AttemptOutcome>
RelayRun::SettleAttempt(EndpointChoice aChoice, AttemptOutcome aOutcome)
{
  ReleaseTrials();
  ReturnPermit();
  CommitUsage(aOutcome);
  NoteOutcome(aChoice, aOutcome);
  if (aOutcome == AttemptOutcome::kBroken ||
      aOutcome == AttemptOutcome::kEnded) {
    co_await CheckForCrash(aChoice);
  }
  co_return co_await ContinueFromCopy(aChoice, aOutcome);
}

int
RelayRun::Urgency() const
{
  return mTeam != nullptr ? mTeam->mUrgency.value_or(mRoute->mUrgency)
                          : mRoute->mUrgency;
}

EndpointQuery
RelayRun::MakeEndpointQuery() const
{
  EndpointQuery query{ mService,
                       &mCall,
                       mTeam != nullptr && mTeam->mIsIsolated
                         ? std::string_view(mTeam->mName)
                         : std::string_view(),
                       &mTriedEndpoints,
                       Urgency(),
                       SinceArrival(),
                       mRoute->mObjective,
                       {} };
  query.mVersions = &mVersions;
  if (mStreamOrigin) {
    query.mSoftwareVersion = mStreamOrigin->mSoftwareVersion;
  }
  if (mCore->mCrashes.Crashes(mDigest) > 0 ||
      mCore->mPartCrashes.SuspicionOf(mParts) >=
        state::PartSuspicion::kSuspect) {
    query.mCrashSuspectHash = state::PlacementHash(mDigest.Text());
  }
  return query;
}

Task<std::optional<EndpointChoice>>
RelayRun::SelectEndpoint()
{
  const auto objective = static_cast<double>(mRoute->mObjective.count());
  // A roll-out does not choose for a stream that has begun.
  mVersions = mStreamOrigin ? VersionFilter{}
                            : mCore->mRollouts.Choose(mService,
                                                      !mTriedEndpoints.empty(),
                                                      mCore->mRandom);
  const auto until =
    mArrival +
    Millis(static_cast<std::int64_t>(objective * mCore->mLimits.mWaitShare));
  // Set when no endpoint of the versions chosen first accepts the request.
  bool hasOtherVersions = false;
  while (mInterrupt == RunInterrupt::kNone && !HasRevivedAttempt()) {
    const auto query = MakeEndpointQuery();
    if (auto choice = ChooseEndpoint(*mCore, query)) {
      co_return choice;
    }
    if (mStreamOrigin && !HasEndpointOfOrigin()) {
      mLastProblem = "stream-version-gone";
      mRetryAfter = std::nullopt;
      break;
    }
    auto other = mCore->mRollouts.Alternative(mService, mVersions);
    if (other && !std::exchange(hasOtherVersions, true)) {
      mVersions = std::move(*other);
      continue;
    }
    if (IsUnavailable(query, std::min(until, mDeadline))) {
      break;
    }
    if (Now() >= until) {
      mLastProblem = "no-endpoint";
      mRetryAfter =
        IsServiceDown(*mCore, mService) ? kRetryAfterOutage : kRetrySoon;
      break;
    }
    co_await transport::Sleep(kPollInterval);
  }
  co_return std::nullopt;
}

bool
RelayRun::ShouldMoveElsewhere(const EndpointChoice& aChoice)
{
  const auto& endpoints = mCore->mEndpoints;
  if (!endpoints.HasStopped(*aChoice.mEndpoint, Now())) {
    return false;
  }
  // Another engine might crash under it while the first still runs it.
  if (mIsTrial || aChoice.mIsCrashSuspect) {
    return false;
  }
  if (!MayRetry(AttemptOutcome::kSilent)) {
    return false;
  }
  const auto other = ChooseEndpoint(*mCore, MakeEndpointQuery());
  return other && !endpoints.IsSilent(*other->mEndpoint, Now());
}

bool
RelayRun::ShouldShed(const EndpointChoice& aChoice) const
{
  return aChoice.mIsDeprioritized && mTriedEndpoints.empty() &&
         aChoice.mEndpoint->mLate.IsStalled(Now(), mRoute->mObjective);
}

void
RelayRun::SetOverloadRefusal(const EndpointChoice& aChoice)
{
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  mLastProblem = "overloaded";
  mRetryAfter = aChoice.mEndpoint->mLate.RetryDelay(aChoice.mExpected,
                                                    draw(mCore->mRandom));
}

Task<void>
RelayRun::WaitForPart(const EndpointChoice& aChoice)
{
  if (aChoice.mPart.empty()) {
    co_return;
  }
  const auto& limits = mCore->mLimits;
  const auto until = Now() + limits.mPartWait;
  while (mInterrupt == RunInterrupt::kNone && !HasRevivedAttempt() &&
         Now() < until) {
    const auto& record = mCore->mPartRecords.At(aChoice.mPartName);
    const bool isRead = Now() - record.mPrefillStartedAt < limits.mPartWait &&
                        record.IsPrefilling();
    if (!isRead) {
      co_return;
    }
    co_await transport::Sleep(kPollInterval);
  }
}

bool
RelayRun::MayRetry(AttemptOutcome aOutcome)
{
  if (mInterrupt != RunInterrupt::kNone ||
      aOutcome == AttemptOutcome::kWithheld) {
    return false;
  }
  // A stream that was forwarded in part may be resumed at another endpoint.
  const bool isResumable = mRoute->mKind == RouteKind::kStream &&
                           mRoute->mIsResumable && mPosition.mIsExact &&
                           !mPosition.mLastEventId.empty();
  if (mIsHeadForwarded && !isResumable) {
    return false;
  }
  const bool mayHaveRun = aOutcome == AttemptOutcome::kBroken ||
                          aOutcome == AttemptOutcome::kSilent ||
                          aOutcome == AttemptOutcome::kWithdrawn ||
                          aOutcome == AttemptOutcome::kEnded;
  if (mayHaveRun && !mRoute->IsRepeatable()) {
    return false;
  }
  if (mCrashes >= kMaxCrashesPerRun) {
    return false;
  }
  return mUnsentTries < kMaxUnsentTries &&
         static_cast<int>(mTriedEndpoints.size()) < mRoute->mMaxAttempts;
}

Task<void>
RelayRun::CheckForCrash(const EndpointChoice& aChoice)
{
  const auto endpoint = aChoice.mEndpoint;
  mLostAt = Now();
  if (co_await HasCrashed(mCore, endpoint)) {
    ++mCrashes;
    NoteCrash(*endpoint);
  } else {
    auto& brokenOff = endpoint->mBrokenRequests;
    brokenOff.push_back({ mDigest,
                          mLostAt,
                          mIsPastBeginning ? RequestParts{} : mParts,
                          mIsTrial });
    if (brokenOff.size() > mCore->mLimits.mMaxBrokenRequests) {
      brokenOff.erase(brokenOff.begin());
    }
  }
}

void
RelayRun::NoteCompleted(unsigned aStatus)
{
  // An error may come from an endpoint that never began to run the request.
  if (aStatus < kFirstServerError) {
    mCore->mCrashes.NoteCompleted(mDigest);
    NoteAnswered();
  }
}

void
RelayRun::NoteOutcome(const EndpointChoice& aChoice, AttemptOutcome aOutcome)
{
  auto& endpoint = *aChoice.mEndpoint;
  auto& endpoints = mCore->mEndpoints;
  switch (aOutcome) {
    case AttemptOutcome::kDone:
      endpoints.NoteSuccess(endpoint);
      NoteCompleted(mAnswerStatus);
      break;
    case AttemptOutcome::kUnsent:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kEnded:
      endpoints.NoteFailure(endpoint, Now());
      break;
    case AttemptOutcome::kNotRun:
      endpoint.mAvailability->Pause(endpoints.Settings().mFullPause, Now());
      break;
    case AttemptOutcome::kMisdirected:
      endpoint.mAvailability->Pause(endpoints.Settings().mMisdirectedPause,
                                    Now());
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kWithheld:
    case AttemptOutcome::kLeaving:
    case AttemptOutcome::kNoPermit:
    case AttemptOutcome::kCooldown:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kWithdrawn:
    case AttemptOutcome::kInterrupted:
      break;
  }
  const bool isSuspended = aOutcome == AttemptOutcome::kSilent ||
                           aOutcome == AttemptOutcome::kWithdrawn;
  if (!isSuspended) {
    NoteRolloutOutcome(endpoint, mTimes, aOutcome);
  }
  LogAttempt(aChoice, aOutcome);
}

void
RelayRun::NoteRolloutOutcome(const RelayEndpoint& aEndpoint,
                             const AttemptTimes& aTimes,
                             AttemptOutcome aOutcome)
{
  const bool isFailed =
    aOutcome == AttemptOutcome::kFailed ||
    aOutcome == AttemptOutcome::kBroken ||
    aOutcome == AttemptOutcome::kSilent || aOutcome == AttemptOutcome::kEnded ||
    (aOutcome == AttemptOutcome::kDone && mAnswerStatus >= kFirstServerError);
  const bool isTimeout = aOutcome == AttemptOutcome::kInterrupted &&
                         mInterrupt == RunInterrupt::kDeadline;
  auto& rollouts = mCore->mRollouts;
  if (aTimes.mSent && aTimes.mFirst && isFailed) {
    rollouts.NoteLateFailure(
      aEndpoint.mInfo, mRoute->mName, *aTimes.mFirst - *aTimes.mSent);
  } else if (aTimes.mSent && !aTimes.mFirst && (isFailed || isTimeout)) {
    rollouts.NoteOutcome(aEndpoint.mInfo, mRoute->mName, std::nullopt);
  }
}

} // namespace shuntjunction::coordination
