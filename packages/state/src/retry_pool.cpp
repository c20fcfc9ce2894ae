#include "shuntjunction/state/retry_pool.h"

#include <cmath>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

namespace {

/// Separates the hashes of services from those of teams.
constexpr std::uint64_t kRetryPoolSeed = 0x7265747279;

/// Part of the slack that may be used at once. The rest is the rate, so that
/// the pool is not empty for long after an outage.
constexpr double kBurstShare = 0.5;

/// Part of the ratio that relays use.
constexpr double kRatioShare = 0.95;

} // namespace

LimitHash
HashOfRetryPool(std::string_view aService)
{
  return PlacementHash(aService, kRetryPoolSeed);
}

WindowBudgetSettings
RelayRetryBudget(const WindowBudgetSettings& aBudget)
{
  return { aBudget.mRatio * kRatioShare, 0.0, aBudget.mWindow };
}

UsageLimit
RetryPoolLimit(const WindowBudgetSettings& aBudget)
{
  const std::chrono::duration<double> longest =
    aBudget.mWindow + kLatestPooledArrival;
  const double burst = aBudget.mSlack * kBurstShare;
  return { (aBudget.mSlack - burst) / longest.count(), burst };
}

FallbackSlack::FallbackSlack(const WindowBudgetSettings& aBudget,
                             TimePoint aNow)
  : mPart(std::floor(aBudget.mSlack / kMaxProcesses))
  , mWindow(aBudget.mWindow)
  , mWithoutOwnersSince(aNow)
{
}

void
FallbackSlack::Update(bool aHasOwners, TimePoint aNow)
{
  if (mHasOwners && !aHasOwners) {
    mWithoutOwnersSince = aNow;
  }
  mHasOwners = aHasOwners;
}

double
FallbackSlack::Slack(TimePoint aNow) const
{
  const bool isFree = !mHasOwners && aNow - mWithoutOwnersSince >= mWindow;
  return isFree ? mPart : 0.0;
}

} // namespace shuntjunction::state
