#include <algorithm>

#include "relay_run.h"
#include "shuntjunction/state/jittered_pause.h"

// The part of a run that keeps its team's limit.

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// How long a share whose companion gives no answer is left out.
constexpr Millis kSilentPause{ 500 };

/// What a share that ran dry should have again before it is asked again.
constexpr double kUsageBeforeRetry = 1000;
constexpr Millis kLeastPause{ 50 };
constexpr Millis kMostPause{ 250 };

/// How long a caller whose team is over its limit is told to stay away.
constexpr Millis kLeastReturn{ 300 };
constexpr Millis kMostReturn{ 2000 };

/// How long a share that ran dry is left out.
Millis
EmptySharePause(const state::UsageLimit& aLimit)
{
  constexpr double kMillisPerSecond = 1000.0;
  const double perSecond =
    aLimit.mPerSecond / static_cast<double>(state::kSharesPerLimit);
  const double pause = kUsageBeforeRetry / perSecond * kMillisPerSecond;
  return Millis(static_cast<std::int64_t>(
    std::clamp(pause,
               static_cast<double>(kLeastPause.count()),
               static_cast<double>(kMostPause.count()))));
}

} // namespace

std::uint32_t
RelayRun::RequestCost() const
{
  if (mTeam->mUnit == state::UsageUnit::kRequests) {
    return 1;
  }
  const auto bounded = [](std::int64_t aTokens) {
    return std::clamp<std::int64_t>(aTokens, 0, state::kMaxUsage);
  };
  const auto named =
    bounded(mCall.mPromptTokens) + bounded(mCall.mMaxNewTokens);
  return static_cast<std::uint32_t>(
    bounded(named > 0 ? named : mTeam->mDefaultUsage));
}

Task<bool>
RelayRun::ReserveUsage()
{
  const bool isLimited = mTeam != nullptr && mTeam->mLimit.IsLimited();
  if (!isLimited || !mReservedUsage.empty()) {
    co_return true;
  }
  const auto amount = RequestCost();
  const auto until = mArrival + std::max(kRetrySoon, mRoute->mObjective / 2);
  UsageReservation answer;
  while (mInterrupt == RunInterrupt::kNone) {
    answer = co_await RequestUsage(amount);
    if (answer.mHeld >= amount) {
      co_return true;
    }
    ReleaseUsage();
    // With no companion in reach nothing is known of the limit. After a return
    // of everything they come one after the other, and one is enough.
    if (answer.mAsked > 0 || Now() >= until) {
      break;
    }
    co_await transport::Sleep(kPollInterval);
  }
  if (mInterrupt == RunInterrupt::kNone) {
    mIsOverLimit = answer.mAsked > 0;
    mLastProblem = mIsOverLimit ? "over-limit" : "limit-unknown";
    mRetryAfter = state::JitteredPause(
      std::clamp(answer.mRefill, kLeastReturn, kMostReturn), mCore->mRandom);
    LogLimit(answer, amount);
  }
  co_return false;
}

Task<UsageReservation>
RelayRun::RequestUsage(std::uint32_t aAmount)
{
  UsageReservation answer;
  auto& shares = mCore->mShares;
  const auto& ask = mCore->mParts.mRequestShare;
  const auto sources = shares.SourcesOf(state::HashOfTeam(mTeam->mName),
                                        mCore->mParts.mSettings.mZone);
  for (const auto& source : sources) {
    if (answer.mHeld >= aAmount || mInterrupt != RunInterrupt::kNone) {
      break;
    }
    const auto known = shares.StateOf(source.mKey, Now());
    if (known != state::ShareState::kOpen) {
      ++(known == state::ShareState::kEmpty ? answer.mAsked : answer.mSilent);
      continue;
    }
    const state::ShareAsk question{ source.mKey,
                                    mTeam->mLimit,
                                    mView->mConfig->Version(),
                                    aAmount - answer.mHeld };
    const auto askedAt = Now();
    std::optional<state::ShareGrant> grant;
    if (ask) {
      grant = co_await ask(source.mHost, question);
    }
    if (!grant) {
      ++answer.mSilent;
      // One that is not connected costs nothing to ask again.
      if (Now() - askedAt >= kPollInterval) {
        shares.Exclude(
          source.mKey, state::ShareState::kSilent, Now() + kSilentPause);
      }
      continue;
    }
    ++answer.mAsked;
    if (grant->mAmount > 0) {
      mReservedUsage.push_back({ source, grant->mAmount });
      answer.mHeld += grant->mAmount;
    }
    if (grant->mAmount < question.mAmount) {
      shares.Exclude(source.mKey,
                     state::ShareState::kEmpty,
                     Now() + EmptySharePause(mTeam->mLimit));
      answer.mRefill = std::max(answer.mRefill, grant->mRefill);
    }
  }
  co_return answer;
}

void
RelayRun::ReleaseUsage()
{
  const auto& giveBack = mCore->mParts.mReturnShare;
  for (const auto& held : mReservedUsage) {
    if (giveBack) {
      giveBack(held.mSource.mHost, { held.mSource.mKey, held.mAmount });
    }
  }
  mReservedUsage.clear();
}

void
RelayRun::CommitUsage(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::kUnsent:
    case AttemptOutcome::kWithheld:
    case AttemptOutcome::kLeft:
    case AttemptOutcome::kNoPlace:
    case AttemptOutcome::kCooldown:
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kMisdirected:
      return;
    case AttemptOutcome::kDone:
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kInterrupted:
      mReservedUsage.clear();
      return;
  }
}

void
RelayRun::LogLimit(const UsageReservation& aAnswer, std::uint32_t aAmount)
{
  mCore->mParts.mLog.Write(
    EventLine(kRelayComponent, "limit", mCall.mRequestId)
      .Add("outcome", mLastProblem)
      .Add("team", mTeam->mName)
      .Add("unit", state::kUsageUnitNames.Name(mTeam->mUnit))
      .Add("per_second", mTeam->mLimit.mPerSecond)
      .Add("burst", mTeam->mLimit.mBurst)
      .Add("config", mView->mConfig->Version())
      .Add("wanted", aAmount)
      .Add("got", aAnswer.mHeld)
      .Add("shares_asked", aAnswer.mAsked)
      .Add("shares_silent", aAnswer.mSilent)
      .Add("refill_ms", aAnswer.mRefill.count())
      .Add("retry_after_ms", mRetryAfter.count()));
  mCore->mParts.mMetrics.Count("shuntjunction_relay_limit_refusals_total",
                               { { "outcome", mLastProblem } });
}

} // namespace shuntjunction::coordination
