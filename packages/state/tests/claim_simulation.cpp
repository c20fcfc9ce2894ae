#include "claim_simulation.h"

namespace shuntjunction::state::history {

namespace {

constexpr std::size_t kMaxRequests = 6;
constexpr int kKeys = 2;

/// What the platform does with a call.
enum class PlatformFate : std::uint8_t
{
  kAnswers,
  kAnswerIsLost, ///< after the effect
  kCallIsLost,   ///< before it
  kTakesEffectLater,
  kIsDown,
};

PlatformFate
FateOf(std::uint8_t aChoice)
{
  return static_cast<PlatformFate>(aChoice % 5);
}

tl::unexpected<Error>
NoAnswer()
{
  return Fail(ErrorCode::kTimeout, "test", "platform", "no answer");
}

} // namespace

struct ClaimSimulation::Request
{
  int mId = 0;
  std::string mKey;
  std::string mBody;
  RequestLifecycle mLife{ Repeatability::kClaimed };
  bool mIsRouterDead = false;
  Attempt* mOpen = nullptr;
};

struct ClaimSimulation::Attempt
{
  Request* mRequest = nullptr; ///< null when the router no longer listens
  int mRequestId = 0;
  std::string mKey;
  std::unique_ptr<ClaimMachine> mMachine;
  std::string mNonce;
  bool mIsDead = false;
};

struct ClaimSimulation::Release
{
  std::string mKey;
  std::string mNonce;
  std::optional<Stored> mSeen;
  bool mIsDone = false;
};

ClaimSimulation::ClaimSimulation(const ClaimMechanisms& aMechanisms)
  : mMechanisms(aMechanisms)
{
}

ClaimSimulation::~ClaimSimulation() = default;

void
ClaimSimulation::Begin(std::uint8_t aChoice)
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
ClaimSimulation::Offer(Request& aRequest)
{
  if (aRequest.mIsRouterDead || !aRequest.mLife.MayOffer()) {
    return;
  }
  aRequest.mLife.Offered();
  auto attempt = std::make_unique<Attempt>();
  attempt->mRequest = &aRequest;
  attempt->mRequestId = aRequest.mId;
  attempt->mKey = aRequest.mKey;
  attempt->mNonce = std::to_string(++mNextNonce);
  attempt->mMachine =
    std::make_unique<ClaimMachine>(attempt->mNonce, aRequest.mBody);
  aRequest.mOpen = attempt.get();
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
  switch (FateOf(aChoice)) {
    case PlatformFate::kAnswers:
      machine.OnCreateResult(Create(aAttempt.mKey, record));
      return;
    case PlatformFate::kAnswerIsLost:
      Create(aAttempt.mKey, record);
      break;
    case PlatformFate::kCallIsLost:
      break;
    case PlatformFate::kTakesEffectLater:
      mDelayed.push_back({ aAttempt.mKey, record });
      break;
    case PlatformFate::kIsDown:
      machine.OnCreateResult(
        Fail(ErrorCode::kUnavailable, "test", "platform", "down"));
      return;
  }
  if (!mMechanisms.mReadsBack) {
    machine.OnCreateResult(++mRevision); // It trusts that it was written.
    return;
  }
  machine.OnCreateResult(NoAnswer());
}

void
ClaimSimulation::StepReadBack(Attempt& aAttempt, std::uint8_t aChoice)
{
  if (FateOf(aChoice) != PlatformFate::kAnswers) {
    aAttempt.mMachine->OnReadResult(NoAnswer());
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
  aAttempt.mIsDead = true;
  if (aAttempt.mRequest != nullptr) {
    aAttempt.mRequest->mOpen = nullptr;
  }
}

void
ClaimSimulation::RefuseNotRun(Attempt& aAttempt)
{
  if (aAttempt.mRequest != nullptr) {
    aAttempt.mRequest->mLife.Refused();
  }
  EndAttempt(aAttempt);
  auto release = std::make_unique<Release>();
  release->mKey = aAttempt.mKey;
  release->mNonce = aAttempt.mNonce;
  mReleases.push_back(std::move(release));
}

void
ClaimSimulation::StepHandOver(Attempt& aAttempt, std::uint8_t aChoice)
{
  const bool isLate = aChoice % 4 == 3;
  if (isLate && mMechanisms.mChecksDeadline) {
    RefuseNotRun(aAttempt);
    return;
  }
  if (isLate && aAttempt.mRequest != nullptr) {
    // Without the look at the clock it refuses and hands over all the same.
    aAttempt.mRequest->mLife.Refused();
    mHistory.mExecuted.push_back({ aAttempt.mKey, aAttempt.mRequestId });
    EndAttempt(aAttempt);
    return;
  }
  if (aAttempt.mRequest != nullptr) {
    aAttempt.mRequest->mLife.Started();
  }
  mHistory.mExecuted.push_back({ aAttempt.mKey, aAttempt.mRequestId });
  if (aChoice % 4 == 0 && aAttempt.mRequest != nullptr) {
    aAttempt.mRequest->mLife.Finished();
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
  if (aAttempt.mIsDead) {
    return;
  }
  ClaimMachine& machine = *aAttempt.mMachine;
  if (!mMechanisms.mClaims) {
    StepHandOver(aAttempt, aChoice);
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
      StepHandOver(aAttempt, aChoice);
      return;
    case ClaimStep::kUndecided:
      RefuseNotRun(aAttempt);
      return;
    case ClaimStep::kReplay:
      if (aAttempt.mRequest != nullptr) {
        aAttempt.mRequest->mLife.Started();
        aAttempt.mRequest->mLife.Finished();
      }
      EndAttempt(aAttempt);
      return;
    case ClaimStep::kHeldByOther:
    case ClaimStep::kKeyReused:
      if (aAttempt.mRequest != nullptr) {
        aAttempt.mRequest->mLife.Settled();
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
  if (!aRelease.mSeen) { // First it reads.
    if (stored == mPlatform.end()) {
      return;
    }
    if (mMechanisms.mChecksNonce &&
        stored->second.mRecord.mNonce != aRelease.mNonce) {
      aRelease.mIsDone = true;
      return;
    }
    aRelease.mSeen = stored->second;
    return;
  }
  // Then it deletes, on condition that nothing has changed since.
  if (stored != mPlatform.end() &&
      stored->second.mRevision == aRelease.mSeen->mRevision) {
    mPlatform.erase(stored);
  }
  aRelease.mIsDone = true;
}

void
ClaimSimulation::Tell(Request& aRequest)
{
  if (aRequest.mIsRouterDead) {
    return; // Its caller hears nothing, which says nothing.
  }
  const RequestState state = aRequest.mLife.State();
  if (state == RequestState::kOffered || state == RequestState::kRunning) {
    aRequest.mLife.Lost();
  }
  Told told;
  told.mRequest = aRequest.mId;
  told.mIsAnswer = state == RequestState::kComplete;
  const bool isNotRun =
    mMechanisms.mRemembersDoubt
      ? aRequest.mLife.IsNotRun()
      : state == RequestState::kUncertain || aRequest.mLife.IsNotRun();
  told.mRunState = isNotRun ? RunState::kNotRun : RunState::kUnknown;
  mHistory.mTold.push_back(told);
}

History
ClaimSimulation::Run(const std::vector<std::uint8_t>& aSchedule)
{
  const auto pick = [](auto& aList, std::uint8_t aChoice) -> auto* {
    return aList.empty() ? nullptr : aList[aChoice % aList.size()].get();
  };
  Begin(0);
  for (std::size_t i = 0; i + 1 < aSchedule.size(); i += 2) {
    const std::uint8_t what = aSchedule[i];
    const std::uint8_t how = aSchedule[i + 1];
    Request* request = pick(mRequests, how);
    Attempt* attempt = pick(mAttempts, what / 16);
    switch (what % 16) {
      case 0:
        Begin(how);
        break;
      case 1:
      case 2:
      case 3:
        Offer(*request);
        break;
      case 4: // The router loses patience, or the link breaks.
        if (request->mOpen != nullptr) {
          request->mOpen->mRequest = nullptr;
          request->mOpen = nullptr;
          request->mLife.Lost();
        }
        break;
      case 5: // The companion dies between two steps.
        if (attempt != nullptr) {
          attempt->mIsDead = true;
        }
        break;
      case 6: // The router dies between two steps.
        request->mIsRouterDead = true;
        if (request->mOpen != nullptr) {
          request->mOpen->mRequest = nullptr;
          request->mOpen = nullptr;
        }
        break;
      case 7:
        if (!mDelayed.empty()) {
          const Delayed late = mDelayed.front();
          mDelayed.erase(mDelayed.begin());
          Create(late.mKey, late.mRecord);
        }
        break;
      case 8:
      case 9:
        if (Release* release = pick(mReleases, how)) {
          StepRelease(*release);
        }
        break;
      default:
        if (attempt != nullptr) {
          Step(*attempt, how);
        }
        break;
    }
  }
  for (const auto& request : mRequests) {
    Tell(*request);
  }
  return mHistory;
}

} // namespace shuntjunction::state::history
