#include <algorithm>

#include "relay_run.h"
#include "shuntjunction/state/spread_pause.h"

// The part of a run that keeps its team's limit.

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// How long a share whose companion gives no answer is left out.
constexpr Millis kSilentPause{ 500 };

/// What a share that ran dry should have again before it is asked again.
constexpr double kUsageToAskAgain = 1000;
constexpr Millis kLeastPause{ 50 };
constexpr Millis kMostPause{ 250 };

/// How long a caller whose team is over its limit is told to stay away.
constexpr Millis kLeastReturn{ 300 };
constexpr Millis kMostReturn{ 2000 };

/// How long a share that ran dry is left out.
Millis
PauseOfShare(const state::UsageLimit& aLimit)
{
  constexpr double kMillisPerSecond = 1000.0;
  const double perSecond =
    aLimit.mPerSecond / static_cast<double>(state::kSharesOfLimit);
  const double pause = kUsageToAskAgain / perSecond * kMillisPerSecond;
  return Millis(static_cast<std::int64_t>(
    std::clamp(pause,
               static_cast<double>(kLeastPause.count()),
               static_cast<double>(kMostPause.count()))));
}

} // namespace

std::uint32_t
RelayRun::UsageOfRequest() const
{
  if (mTeam->mUnit == state::UsageUnit::kRequests) {
    return 1;
  }
  const auto bounded = [](std::int64_t aTokens) {
    return std::clamp<std::int64_t>(aTokens, 0, state::kMostUsage);
  };
  const auto named =
    bounded(mCall.mPromptTokens) + bounded(mCall.mMaxNewTokens);
  return static_cast<std::uint32_t>(
    bounded(named > 0 ? named : mTeam->mPlainUsage));
}

Task<bool>
RelayRun::HoldUsage()
{
  const bool isLimited = mTeam != nullptr && mTeam->mLimit.IsLimited();
  if (!isLimited || !mHeldUsage.empty()) {
    co_return true;
  }
  const auto amount = UsageOfRequest();
  const auto until = mArrival + std::max(kRetrySoon, mRoute->mObjective / 2);
  UsageAnswer answer;
  while (mInterrupt == RunInterrupt::kNone) {
    answer = co_await AskForUsage(amount);
    if (answer.mHeld >= amount) {
      co_return true;
    }
    ReturnUsage();
    // With no companion in reach nothing is known of the limit. After a return
    // of everything they come one after the other, and one is enough.
    if (answer.mAsked > 0 || Now() >= until) {
      break;
    }
    co_await transport::Sleep(kWaitStep);
  }
  if (mInterrupt == RunInterrupt::kNone) {
    mIsOverLimit = answer.mAsked > 0;
    mLastProblem = mIsOverLimit ? "over-limit" : "limit-unknown";
    mRetryAfter = state::SpreadPause(
      std::clamp(answer.mRefill, kLeastReturn, kMostReturn), mCore->mRandom);
    LogLimit(answer, amount);
  }
  co_return false;
}

Task<UsageAnswer>
RelayRun::AskForUsage(std::uint32_t aAmount)
{
  UsageAnswer answer;
  auto& shares = mCore->mShares;
  const auto& ask = mCore->mParts.mAskShare;
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
      if (Now() - askedAt >= kWaitStep) {
        shares.Close(
          source.mKey, state::ShareState::kSilent, Now() + kSilentPause);
      }
      continue;
    }
    ++answer.mAsked;
    if (grant->mAmount > 0) {
      mHeldUsage.push_back({ source, grant->mAmount });
      answer.mHeld += grant->mAmount;
    }
    if (grant->mAmount < question.mAmount) {
      shares.Close(source.mKey,
                   state::ShareState::kEmpty,
                   Now() + PauseOfShare(mTeam->mLimit));
      answer.mRefill = std::max(answer.mRefill, grant->mRefill);
    }
  }
  co_return answer;
}

void
RelayRun::ReturnUsage()
{
  const auto& giveBack = mCore->mParts.mReturnShare;
  for (const auto& held : mHeldUsage) {
    if (giveBack) {
      giveBack(held.mSource.mHost, { held.mSource.mKey, held.mAmount });
    }
  }
  mHeldUsage.clear();
}

void
RelayRun::NoteUsage(AttemptOutcome aOutcome)
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
      mHeldUsage.clear();
      return;
  }
}

void
RelayRun::LogLimit(const UsageAnswer& aAnswer, std::uint32_t aAmount)
{
  mCore->mParts.mLog.Write(
    EventLine(kRelayPart, "limit", mCall.mRequestId)
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
