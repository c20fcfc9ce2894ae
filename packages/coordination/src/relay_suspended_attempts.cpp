#include "relay_attempt.h"

#include <algorithm>

// The part of a run that keeps attempts whose endpoint is silent. The attempt
// whose endpoint sent bytes last is read, and the others are ended once bytes
// of its answer are forwarded.

namespace shuntjunction::coordination {

using transport::Task;

namespace {

/// Pause before a resumed attempt may be suspended again.
constexpr state::Millis kSuspendPause{ 500 };

} // namespace

RelayRun::~RelayRun() = default;

AttemptRecord
RelayRun::CopyRecord() const
{
  return { mTimes,       mAnswerTrace,     mLatestRun, mLatestEnd,
           mAbsentSince, mIsPastBeginning, mIsTrial };
}

void
RelayRun::RestoreRecord(const AttemptRecord& aRecord)
{
  mTimes = aRecord.mTimes;
  mAnswerTrace = aRecord.mAnswerTrace;
  mLatestRun = aRecord.mLatestRun;
  mLatestEnd = aRecord.mLatestEnd;
  mAbsentSince = aRecord.mAbsentSince;
  mIsPastBeginning = aRecord.mIsPastBeginning;
  mIsTrial = aRecord.mIsTrial;
}

void
RelayRun::Suspend(std::unique_ptr<Attempt> aAttempt, AttemptOutcome aOutcome)
{
  // Its request may still arrive: a repeat that follows is charged for that.
  KeepUnsettled(*aAttempt, aOutcome);
  const auto reader = aAttempt->mConnection.mReader;
  auto suspended = std::make_unique<SuspendedAttempt>();
  suspended->mAttempt = std::move(aAttempt);
  suspended->mOutcome = aOutcome;
  suspended->mRecord = CopyRecord();
  suspended->mCopy = std::move(mCopy);
  suspended->mBuffered = reader->Buffered().size();
  reader->OnReceived([this] {
    if (mOpenConnection) {
      mOpenConnection->Wake();
    }
  });
  mSuspended.push_back(std::move(suspended));
}

bool
RelayRun::HasRevivedAttempt() const
{
  return std::any_of(
    mSuspended.begin(), mSuspended.end(), [](const auto& aSuspended) {
      return aSuspended->HasRevived();
    });
}

std::unique_ptr<RelayRun::SuspendedAttempt>
RelayRun::TakeSuspended()
{
  const auto revived =
    std::find_if(mSuspended.begin(), mSuspended.end(), [](const auto& aItem) {
      return aItem->HasRevived();
    });
  const auto chosen =
    revived != mSuspended.end() ? revived : std::prev(mSuspended.end());
  auto taken = std::move(*chosen);
  mSuspended.erase(chosen);
  return taken;
}

Task<AttemptOutcome>
RelayRun::Resume(std::unique_ptr<SuspendedAttempt> aSuspended)
{
  // These were reserved for an attempt that was not made.
  ReleaseUsage();
  ReleaseRetry();
  const bool hasRevived = aSuspended->HasRevived();
  auto attempt = std::move(aSuspended->mAttempt);
  RestoreRecord(aSuspended->mRecord);
  mCopy = std::move(aSuspended->mCopy);
  attempt->mMaySuspendAt = Now() + kSuspendPause;
  const auto reader = attempt->mConnection.mReader;
  reader->OnReceived(nullptr);
  mOpenConnection = reader;
  NoteRunning(*attempt);
  LogResumed(*attempt, hasRevived);
  const auto endpoint = attempt->mEndpointChoice.mEndpoint;
  const int suspects = attempt->mEndpointChoice.mIsCrashSuspect ? 1 : 0;
  endpoint->mSuspectRequests += suspects;
  const auto outcome = co_await CompleteAttempt(std::move(attempt));
  endpoint->mSuspectRequests -= suspects;
  co_return outcome;
}

void
RelayRun::EndSuspended()
{
  mMayHaveRun = mMayHaveRun || !mSuspended.empty();
  for (const auto& suspended : std::exchange(mSuspended, {})) {
    const auto outcome = mInterrupt == RunInterrupt::kNone
                           ? suspended->mOutcome
                           : AttemptOutcome::kInterrupted;
    auto& attempt = *suspended->mAttempt;
    EndAttempt(attempt, outcome);
    auto& endpoint = *attempt.mEndpointChoice.mEndpoint;
    if (outcome == AttemptOutcome::kSilent) {
      mCore->mEndpoints.NoteFailure(endpoint, Now());
    }
    NoteRolloutOutcome(endpoint, suspended->mRecord.mTimes, outcome);
  }
}

} // namespace shuntjunction::coordination
