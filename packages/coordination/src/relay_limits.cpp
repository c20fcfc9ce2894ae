#include <algorithm>

#include "relay_run.h"
#include "shuntjunction/state/jittered_pause.h"

// The part of a run that enforces its team's limit.

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Pause before a share is requested again from a companion that did not
/// answer.
constexpr Millis kSilentPause{ 500 };

/// Usage that an empty share should regain before it is requested again.
constexpr double kUsageBeforeRetry = 1000;
constexpr Millis kMinPause{ 50 };
constexpr Millis kMaxPause{ 250 };

/// Range of the Retry-After of a caller whose team is over its limit.
constexpr Millis kMinRetryAfter{ 300 };
constexpr Millis kMaxRetryAfter{ 2000 };

/// Pause before an empty share is requested again.
Millis
EmptySharePause(const state::UsageLimit& aLimit)
{
  constexpr double kMillisPerSecond = 1000.0;
  const double perSecond =
    aLimit.mPerSecond / static_cast<double>(state::kSharesPerLimit);
  const double pause = kUsageBeforeRetry / perSecond * kMillisPerSecond;
  return Millis(static_cast<std::int64_t>(
    std::clamp(pause,
               static_cast<double>(kMinPause.count()),
               static_cast<double>(kMaxPause.count()))));
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
  UsageReservation reservation;
  while (mInterrupt == RunInterrupt::kNone) {
    reservation = co_await RequestUsage(amount);
    if (reservation.mReserved >= amount) {
      co_return true;
    }
    ReleaseUsage();
    // While no companion is reachable, nothing is known of the limit. After a
    // total outage they come back one after the other, and one is enough.
    if (reservation.mAnswered > 0 || Now() >= until) {
      break;
    }
    co_await transport::Sleep(kPollInterval);
  }
  if (mInterrupt == RunInterrupt::kNone) {
    mIsOverLimit = reservation.mAnswered > 0;
    mLastProblem = mIsOverLimit ? "over-limit" : "limit-unknown";
    mRetryAfter = state::JitteredPause(
      std::clamp(reservation.mRefill, kMinRetryAfter, kMaxRetryAfter),
      mCore->mRandom);
    LogLimit(reservation, amount);
  }
  co_return false;
}

Task<UsageReservation>
RelayRun::RequestUsage(std::uint32_t aAmount)
{
  UsageReservation reservation;
  auto& shares = mCore->mShares;
  const auto& requestShare = mCore->mDependencies.mRequestShare;
  const auto sources = shares.SourcesOf(state::HashOfTeam(mTeam->mName),
                                        mCore->mDependencies.mSettings.mZone);
  for (const auto& source : sources) {
    if (reservation.mReserved >= aAmount || mInterrupt != RunInterrupt::kNone) {
      break;
    }
    const auto known = shares.StateOf(source.mKey, Now());
    if (known != state::ShareState::kOpen) {
      ++(known == state::ShareState::kEmpty ? reservation.mAnswered
                                            : reservation.mSilent);
      continue;
    }
    const state::ShareRequest request{ source.mKey,
                                       mTeam->mLimit,
                                       mView->mConfig->Version(),
                                       aAmount - reservation.mReserved };
    const auto requestedAt = Now();
    std::optional<state::ShareGrant> grant;
    if (requestShare) {
      grant = co_await requestShare(source.mHost, request);
    }
    if (!grant) {
      ++reservation.mSilent;
      // A companion that is not connected costs nothing to ask again.
      if (Now() - requestedAt >= kPollInterval) {
        shares.Exclude(
          source.mKey, state::ShareState::kSilent, Now() + kSilentPause);
      }
      continue;
    }
    ++reservation.mAnswered;
    if (grant->mAmount > 0) {
      mReservedUsage.push_back({ source, grant->mAmount });
      reservation.mReserved += grant->mAmount;
    }
    if (grant->mAmount < request.mAmount) {
      shares.Exclude(source.mKey,
                     state::ShareState::kEmpty,
                     Now() + EmptySharePause(mTeam->mLimit));
      reservation.mRefill = std::max(reservation.mRefill, grant->mRefill);
    }
  }
  co_return reservation;
}

void
RelayRun::ReleaseUsage()
{
  const auto& returnShare = mCore->mDependencies.mReturnShare;
  for (const auto& reserved : mReservedUsage) {
    if (returnShare) {
      returnShare(reserved.mSource.mHost,
                  { reserved.mSource.mKey, reserved.mAmount });
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
    case AttemptOutcome::kLeaving:
    case AttemptOutcome::kNoPermit:
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
RelayRun::LogLimit(const UsageReservation& aReservation, std::uint32_t aAmount)
{
  mCore->mDependencies.mLog.Write(
    EventLine(kRelayComponent, "limit", mCall.mRequestId)
      .Add("outcome", mLastProblem)
      .Add("team", mTeam->mName)
      .Add("unit", state::kUsageUnitNames.Name(mTeam->mUnit))
      .Add("per_second", mTeam->mLimit.mPerSecond)
      .Add("burst", mTeam->mLimit.mBurst)
      .Add("config", mView->mConfig->Version())
      .Add("wanted", aAmount)
      .Add("got", aReservation.mReserved)
      .Add("shares_asked", aReservation.mAnswered)
      .Add("shares_silent", aReservation.mSilent)
      .Add("refill_ms", aReservation.mRefill.count())
      .Add("retry_after_ms", mRetryAfter.count()));
  mCore->mDependencies.mMetrics.Count(
    "shuntjunction_relay_limit_refusals_total",
    { { "outcome", mLastProblem } });
}

} // namespace shuntjunction::coordination
