#include "claim_simulation.h"

namespace shuntjunction::state::history {

namespace {

constexpr std::size_t kMaxRequests = 6;
constexpr int kKeys = 2;

/// Result of a call to the platform.
enum class CallResult : std::uint8_t
{
  kAnswered,
  kResponseLost, ///< after it took effect
  kCallLost,     ///< before it took effect
  kDelayed,      ///< takes effect later
  kRefused,      ///< the platform is down
};

CallResult
CallResultOf(std::uint8_t aChoice)
{
  return static_cast<CallResult>(aChoice % 5);
}

tl::unexpected<Error>
NoResponse()
{
  return Fail(ErrorCode::kTimeout, "test", "platform", "no answer");
}

} // namespace

struct ClaimSimulation::Request
{
  int mId = 0;
  std::string mKey;
  std::string mBody;
  RequestLifecycle mLifecycle{ Repeatability::kClaimed };
  bool mHasRouterCrashed = false;
  Attempt* mAttempt = nullptr;
};

struct ClaimSimulation::Attempt
{
  Request* mRequest = nullptr; ///< null when the router no longer waits
  int mRequestId = 0;
  std::string mKey;
  std::unique_ptr<ClaimMachine> mMachine;
  std::string mNonce;
  bool mHasEnded = false;
};

struct ClaimSimulation::Release
{
  std::string mKey;
  std::string mNonce;
  std::optional<StoredClaim> mReadClaim;
  bool mIsDone = false;
};

ClaimSimulation::ClaimSimulation(const ClaimMechanisms& aMechanisms)
  : mMechanisms(aMechanisms)
{
}

ClaimSimulation::~ClaimSimulation() = default;

void
ClaimSimulation::StartRequest(std::uint8_t aChoice)
{
  if (mRequests.size() >= kMaxRequests) {
    return;
  }
  auto request = std::make_unique<Request>();
  request->mId = static_cast<int>(mRequests.size()) + 1;
  request->mKey = "k" + std::to_string(aChoice % kKeys);
  request->mBody = aChoice / kKeys % 8 == 0 ? "another body" : "the body";
  mRequests.push_back(std::move(request));
}

void
ClaimSimulation::SendAttempt(Request& aRequest)
{
  if (aRequest.mHasRouterCrashed || !aRequest.mLifecycle.MayOffer()) {
    return;
  }
  aRequest.mLifecycle.Offered();
  auto attempt = std::make_unique<Attempt>();
  attempt->mRequest = &aRequest;
  attempt->mRequestId = aRequest.mId;
  attempt->mKey = aRequest.mKey;
  attempt->mNonce = std::to_string(++mNextNonce);
  attempt->mMachine =
    std::make_unique<ClaimMachine>(attempt->mNonce, aRequest.mBody);
  aRequest.mAttempt = attempt.get();
  mAttempts.push_back(std::move(attempt));
}

Result<std::uint64_t>
ClaimSimulation::Create(const std::string& aKey, const ClaimRecord& aRecord)
{
  if (mPlatform.contains(aKey)) {
    return Fail(ErrorCode::kConflict, "test", "platform", "exists");
  }
  mPlatform[aKey] = { aRecord, ++mRevision };
  return mRevision;
}

void
ClaimSimulation::StepCreate(Attempt& aAttempt, std::uint8_t aChoice)
{
  ClaimMachine& machine = *aAttempt.mMachine;
  const ClaimRecord record = machine.NewRecord(0);
  switch (CallResultOf(aChoice)) {
    case CallResult::kAnswered:
      machine.OnCreateResult(Create(aAttempt.mKey, record));
      return;
    case CallResult::kResponseLost:
      Create(aAttempt.mKey, record);
      break;
    case CallResult::kCallLost:
      break;
    case CallResult::kDelayed:
      mDelayedCreates.push_back({ aAttempt.mKey, record });
      break;
    case CallResult::kRefused:
      machine.OnCreateResult(
        Fail(ErrorCode::kUnavailable, "test", "platform", "down"));
      return;
  }
  if (!mMechanisms.mReadsBack) {
    machine.OnCreateResult(++mRevision); // It assumes that it succeeded.
    return;
  }
  machine.OnCreateResult(NoResponse());
}

void
ClaimSimulation::StepReadBack(Attempt& aAttempt, std::uint8_t aChoice)
{
  if (CallResultOf(aChoice) != CallResult::kAnswered) {
    aAttempt.mMachine->OnReadResult(NoResponse());
    return;
  }
  const auto stored = mPlatform.find(aAttempt.mKey);
  std::optional<ClaimRecord> record;
  if (stored != mPlatform.end()) {
    record = stored->second.mRecord;
  }
  aAttempt.mMachine->OnReadResult(record);
}

void
ClaimSimulation::EndAttempt(Attempt& aAttempt)
{
  aAttempt.mHasEnded = true;
  if (aAttempt.mRequest != nullptr) {
    aAttempt.mRequest->mAttempt = nullptr;
  }
}

void
ClaimSimulation::RefuseNotRun(Attempt& aAttempt)
{
  if (aAttempt.mRequest != nullptr) {
    aAttempt.mRequest->mLifecycle.Refused();
  }
  EndAttempt(aAttempt);
  auto release = std::make_unique<Release>();
  release->mKey = aAttempt.mKey;
  release->mNonce = aAttempt.mNonce;
  mReleases.push_back(std::move(release));
}

void
ClaimSimulation::StepExecute(Attempt& aAttempt, std::uint8_t aChoice)
{
  const bool isLate = aChoice % 4 == 3;
  if (isLate && mMechanisms.mChecksDeadline) {
    RefuseNotRun(aAttempt);
    return;
  }
  if (isLate && aAttempt.mRequest != nullptr) {
    // Without the deadline check it refuses the request and executes it anyway.
    aAttempt.mRequest->mLifecycle.Refused();
    mHistory.mExecuted.push_back({ aAttempt.mKey, aAttempt.mRequestId });
    EndAttempt(aAttempt);
    return;
  }
  if (aAttempt.mRequest != nullptr) {
    aAttempt.mRequest->mLifecycle.Started();
  }
  mHistory.mExecuted.push_back({ aAttempt.mKey, aAttempt.mRequestId });
  if (aChoice % 4 == 0 && aAttempt.mRequest != nullptr) {
    aAttempt.mRequest->mLifecycle.Finished();
  }
  if (aChoice % 4 <= 1) { // The outcome is recorded.
    const auto stored = mPlatform.find(aAttempt.mKey);
    if (stored != mPlatform.end() &&
        stored->second.mRecord.mNonce == aAttempt.mNonce) {
      stored->second.mRecord.mIsDone = true;
      stored->second.mRevision = ++mRevision;
    }
  }
  EndAttempt(aAttempt);
}

void
ClaimSimulation::Step(Attempt& aAttempt, std::uint8_t aChoice)
{
  if (aAttempt.mHasEnded) {
    return;
  }
  ClaimMachine& machine = *aAttempt.mMachine;
  if (!mMechanisms.mClaims) {
    StepExecute(aAttempt, aChoice);
    return;
  }
  if (aChoice % 16 == 15) {
    machine.OnTimeout();
  }
  switch (machine.Step()) {
    case ClaimStep::kCreate:
      StepCreate(aAttempt, aChoice);
      return;
    case ClaimStep::kReadBack:
      StepReadBack(aAttempt, aChoice);
      return;
    case ClaimStep::kExecute:
      StepExecute(aAttempt, aChoice);
      return;
    case ClaimStep::kUndecided:
      RefuseNotRun(aAttempt);
      return;
    case ClaimStep::kReplay:
      if (aAttempt.mRequest != nullptr) {
        aAttempt.mRequest->mLifecycle.Started();
        aAttempt.mRequest->mLifecycle.Finished();
      }
      EndAttempt(aAttempt);
      return;
    case ClaimStep::kHeldByOther:
    case ClaimStep::kKeyReused:
      if (aAttempt.mRequest != nullptr) {
        aAttempt.mRequest->mLifecycle.Settled();
      }
      EndAttempt(aAttempt);
      return;
  }
}

void
ClaimSimulation::StepRelease(Release& aRelease)
{
  if (aRelease.mIsDone) {
    return;
  }
  const auto stored = mPlatform.find(aRelease.mKey);
  if (!aRelease.mReadClaim) { // First it reads.
    if (stored == mPlatform.end()) {
      return;
    }
    if (mMechanisms.mChecksNonce &&
        stored->second.mRecord.mNonce != aRelease.mNonce) {
      aRelease.mIsDone = true;
      return;
    }
    aRelease.mReadClaim = stored->second;
    return;
  }
  // Then it deletes, on condition that nothing has changed since.
  if (stored != mPlatform.end() &&
      stored->second.mRevision == aRelease.mReadClaim->mRevision) {
    mPlatform.erase(stored);
  }
  aRelease.mIsDone = true;
}

void
ClaimSimulation::ReportOutcome(Request& aRequest)
{
  if (aRequest.mHasRouterCrashed) {
    return; // Its caller gets no outcome to check.
  }
  const RequestState state = aRequest.mLifecycle.State();
  if (state == RequestState::kOffered || state == RequestState::kRunning) {
    aRequest.mLifecycle.Lost();
  }
  ReportedOutcome outcome;
  outcome.mRequest = aRequest.mId;
  outcome.mIsAnswer = state == RequestState::kComplete;
  const bool isNotRun =
    mMechanisms.mTracksUncertainty
      ? aRequest.mLifecycle.IsNotRun()
      : state == RequestState::kUncertain || aRequest.mLifecycle.IsNotRun();
  outcome.mRunState = isNotRun ? RunState::kNotRun : RunState::kUnknown;
  mHistory.mReportedOutcomes.push_back(outcome);
}

History
ClaimSimulation::Run(const std::vector<std::uint8_t>& aSchedule)
{
  const auto pick = [](auto& aList, std::uint8_t aChoice) -> auto* {
    return aList.empty() ? nullptr : aList[aChoice % aList.size()].get();
  };
  StartRequest(0);
  for (std::size_t i = 0; i + 1 < aSchedule.size(); i += 2) {
    const std::uint8_t action = aSchedule[i];
    const std::uint8_t detail = aSchedule[i + 1];
    Request* request = pick(mRequests, detail);
    Attempt* attempt = pick(mAttempts, action / 16);
    switch (action % 16) {
      case 0:
        StartRequest(detail);
        break;
      case 1:
      case 2:
      case 3:
        SendAttempt(*request);
        break;
      case 4: // The router times out, or the connection breaks.
        if (request->mAttempt != nullptr) {
          request->mAttempt->mRequest = nullptr;
          request->mAttempt = nullptr;
          request->mLifecycle.Lost();
        }
        break;
      case 5: // The companion crashes between two steps.
        if (attempt != nullptr) {
          attempt->mHasEnded = true;
        }
        break;
      case 6: // The router crashes between two steps.
        request->mHasRouterCrashed = true;
        if (request->mAttempt != nullptr) {
          request->mAttempt->mRequest = nullptr;
          request->mAttempt = nullptr;
        }
        break;
      case 7:
        if (!mDelayedCreates.empty()) {
          const DelayedCreate delayed = mDelayedCreates.front();
          mDelayedCreates.erase(mDelayedCreates.begin());
          Create(delayed.mKey, delayed.mRecord);
        }
        break;
      case 8:
      case 9:
        if (Release* release = pick(mReleases, detail)) {
          StepRelease(*release);
        }
        break;
      default:
        if (attempt != nullptr) {
          Step(*attempt, detail);
        }
        break;
    }
  }
  for (const auto& request : mRequests) {
    ReportOutcome(*request);
  }
  return mHistory;
}

} // namespace shuntjunction::state::history
