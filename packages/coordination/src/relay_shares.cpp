#include "relay_shares.h"

#include <algorithm>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Pause before a share is requested again from a companion that did not
/// answer.
constexpr Millis kSilentPause{ 500 };

/// A companion that is not connected answers within this time that it can't be
/// asked, and costs nothing to ask again.
constexpr Millis kUnconnectedAnswer{ 15 };

/// Usage that an empty share should regain before it is requested again.
constexpr double kUsageBeforeRetry = 1000;
constexpr Millis kMinPause{ 50 };
constexpr Millis kMaxPause{ 250 };

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

RelayShares::RelayShares(const RelayDependencies& aDependencies)
  : mDependencies(aDependencies)
  , mDirectory(state::PlacementHash(aDependencies.mSettings.mName))
{
}

Task<UsageReservation>
RelayShares::Reserve(UsageRequest aRequest, std::function<bool()> aIsWanted)
{
  UsageReservation reservation;
  const auto& clock = mDependencies.mClock;
  const auto sources =
    mDirectory.SourcesOf(aRequest.mHash, mDependencies.mSettings.mZone);
  for (const auto& source : sources) {
    if (reservation.mReserved >= aRequest.mAmount || !aIsWanted()) {
      break;
    }
    const auto known = mDirectory.StateOf(source.mKey, clock.Now());
    if (known != state::ShareState::kOpen) {
      ++(known == state::ShareState::kEmpty ? reservation.mAnswered
                                            : reservation.mSilent);
      continue;
    }
    const state::ShareRequest request{ source.mKey,
                                       aRequest.mLimit,
                                       aRequest.mVersion,
                                       aRequest.mAmount -
                                         reservation.mReserved };
    const auto requestedAt = clock.Now();
    std::optional<state::ShareGrant> grant;
    if (mDependencies.mRequestShare) {
      grant = co_await mDependencies.mRequestShare(source.mHost, request);
    }
    if (!grant) {
      ++reservation.mSilent;
      if (clock.Now() - requestedAt >= kUnconnectedAnswer) {
        mDirectory.Exclude(
          source.mKey, state::ShareState::kSilent, clock.Now() + kSilentPause);
      }
      continue;
    }
    ++reservation.mAnswered;
    if (grant->mAmount > 0) {
      reservation.mShares.push_back({ source, grant->mAmount });
      reservation.mReserved += grant->mAmount;
    }
    if (grant->mAmount < request.mAmount) {
      mDirectory.Exclude(source.mKey,
                         state::ShareState::kEmpty,
                         clock.Now() + EmptySharePause(aRequest.mLimit));
      reservation.mRefill = std::max(reservation.mRefill, grant->mRefill);
    }
  }
  co_return reservation;
}

void
RelayShares::Return(const std::vector<ReservedUsage>& aReserved) const
{
  if (!mDependencies.mReturnShare) {
    return;
  }
  for (const auto& reserved : aReserved) {
    mDependencies.mReturnShare(reserved.mSource.mHost,
                               { reserved.mSource.mKey, reserved.mAmount });
  }
}

} // namespace shuntjunction::coordination
