#include "relay_run.h"

// The part of a run that keeps apart and refuses requests whose shared parts
// make endpoints crash.

#include <algorithm>
#include <random>

#include "shuntjunction/state/jittered_pause.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::PartSuspicion;
using transport::Task;

namespace {

/// Retry-After of a request that may not be sent while others with its part are
/// tried: such a trial takes a few hundred milliseconds.
constexpr Millis kRetryAfterTrial{ 300 };

} // namespace

bool
RelayRun::IsQuarantined()
{
  mDigest = DigestOfRequest();
  mParts = SharedPartsOf(mCall,
                         mTeam != nullptr ? mTeam->mName : std::string(),
                         mTeam != nullptr && mTeam->mIsIsolated);
  // While that is not decided, the request waits before its first attempt.
  return !mCore->mCrashes.IsDeferred(mDigest) && QuarantineLeft() > Millis(0);
}

Millis
RelayRun::QuarantineLeft() const
{
  const auto& crashes = mCore->mCrashes;
  auto left = std::max(crashes.QuarantineLeft(mDigest),
                       mCore->mPartCrashes.QuarantineLeft(mParts));
  // Those that the store brought.
  for (const auto* digests : { &mParts.mParts, &mParts.mPartsOfTeam }) {
    for (const auto& digest : *digests) {
      left = std::max(left, crashes.QuarantineLeft(digest));
    }
  }
  return left;
}

Task<bool>
RelayRun::AwaitTrial()
{
  auto& parts = mCore->mPartCrashes;
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  const double drawn = draw(mCore->mRandom);
  const auto relays = static_cast<std::size_t>(mCore->Relays());
  const auto until = std::min(mDeadline, Now() + mRoute->mObjective);
  while (mInterrupt == RunInterrupt::kNone) {
    if (mCore->mCrashes.IsDeferred(mDigest)) {
      if (Now() >= until) {
        mLastProblem = kSuspectedReason;
        mRetryAfter = kRetrySoon;
        break;
      }
      co_await transport::Sleep(kPollInterval);
      continue;
    }
    if (const auto left = QuarantineLeft(); left > Millis(0)) {
      mLastProblem = kQuarantinedReason;
      mRetryAfter = left;
      break;
    }
    if (parts.SuspicionOf(mParts) < PartSuspicion::kRestricted) {
      co_return true;
    }
    if (auto trials = parts.AcquireTrials(mParts, relays, drawn)) {
      mTrials = std::move(*trials);
      co_return true;
    }
    if (Now() >= until) {
      mLastProblem = "part-restricted";
      mRetryAfter = state::JitteredPause(kRetryAfterTrial, mCore->mRandom);
      break;
    }
    co_await transport::Sleep(kPollInterval);
  }
  co_return false;
}

void
RelayRun::ReleaseTrials()
{
  mCore->mPartCrashes.ReleaseTrials(mTrials);
}

void
RelayRun::EndIfPartIsQuarantined()
{
  const bool isRefused = mCore->mPartCrashes.QuarantineLeft(mParts) > Millis(0);
  if (isRefused && !mIsPastBeginning) {
    Interrupt(RunInterrupt::kQuarantined);
  }
}

void
RelayRun::NoteAnswered()
{
  if (!std::exchange(mIsPastBeginning, true)) {
    mCore->mPartCrashes.NoteAnswered(mParts);
    ReleaseTrials();
  }
}

void
RelayRun::NoteCrash(const RelayEndpoint& aEndpoint)
{
  mCore->mCrashes.NoteCrash(mDigest, aEndpoint, mLostAt);
  if (!mIsPastBeginning) {
    mCore->mPartCrashes.NoteCrash(mParts, aEndpoint, mIsTrial, Now());
  }
}

} // namespace shuntjunction::coordination
