#include "shuntjunction/coordination/claim_sweeper.h"

#include <algorithm>
#include <numeric>

#include "shuntjunction/state/claim_retention.h"
#include "shuntjunction/state/digest.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

constexpr std::int64_t kSweepsPerRetention = 8;
constexpr Millis kDeletePause{ 50 }; ///< limits the load on the platform

} // namespace

ClaimSweeper::ClaimSweeper(boost::asio::io_context& aContext,
                           ClaimSweeperSettings aSettings,
                           Platform& aPlatform,
                           const state::Clock& aClock,
                           Metrics& aMetrics)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mPlatform(aPlatform)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mLog("claims")
  , mShardOrder(state::kClaimShards)
{
  // A random order prevents companions that start at the same time from listing
  // at the same time.
  std::iota(mShardOrder.begin(), mShardOrder.end(), 0);
  state::RandomSource random(state::PlacementHash(state::RandomNonce()));
  std::shuffle(mShardOrder.begin(), mShardOrder.end(), random);
}

void
ClaimSweeper::Start()
{
  transport::Spawn(mContext, RunLoop());
}

void
ClaimSweeper::ApplyInstances(SharedInstances aInstances)
{
  mInstances = std::move(aInstances);
}

Task<void>
ClaimSweeper::RunLoop()
{
  const auto interval =
    mSettings.mRetention / (kSweepsPerRetention * std::ssize(mShardOrder));
  while (true) {
    for (const std::size_t shard : mShardOrder) {
      co_await transport::Sleep(interval);
      if (state::IsSweeperOf(*mInstances, mSettings.mName, shard)) {
        co_await Sweep(shard);
      }
    }
  }
}

Task<std::size_t>
ClaimSweeper::Sweep(std::size_t aShard)
{
  const std::string prefix = state::ClaimShardPrefix(aShard);
  const auto list = co_await mPlatform.List(prefix);
  if (!list) {
    mLog.Debug("cannot list claims: " + list.error().Describe() + ".");
    co_return 0;
  }
  std::size_t deleted = 0;
  for (const auto& claim : state::ExpiredClaims(
         list->mObjects, mClock.WallMillis(), mSettings.mRetention)) {
    const auto done = co_await mPlatform.Delete(claim.mKey, claim.mRevision);
    if (!done) {
      mLog.Debug("cannot delete a claim: " + done.error().Describe() + ".");
      break;
    }
    ++deleted;
    co_await transport::Sleep(kDeletePause);
  }
  mMetrics.Count(
    "shuntjunction_claims_expired_total", {}, static_cast<double>(deleted));
  co_return deleted;
}

} // namespace shuntjunction::coordination
