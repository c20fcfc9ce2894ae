#include "shuntjunction/coordination/zone_mirror.h"

#include <algorithm>
#include <random>

namespace shuntjunction::coordination {

using state::Millis;
using state::Result;
using transport::Task;

namespace {

/// Interval at which a watcher checks whether it still receives requests.
constexpr Millis kIdleCheckInterval{ 2000 };

// Divisors of the operator's bounds. A silent watcher delays changes by at
// most two response timeouts and one query interval, which stays below half of
// the bound on leaving endpoints.
constexpr int kQueriesPerLeaving = 5;
constexpr int kResponsesPerLeaving = 8;
constexpr int kAgesPerKeyRemoval = 3;

/// A different number after each restart; fits into a JSON number.
std::uint64_t
RandomEpoch()
{
  std::random_device random;
  return 1 + random();
}

} // namespace

MirroredPlatformSettings
MakeMirroredPlatformSettings(const FleetSettings& aSettings,
                             const StoreCodec& aCodec)
{
  MirroredPlatformSettings zone;
  zone.mName = aSettings.mName;
  zone.mSecret = aSettings.mSecret;
  zone.mZone = aSettings.mZone;
  zone.mLocalEngine = aSettings.mEngine;
  const auto watch = state::ParseAddress(aSettings.mWatchListen);
  zone.mWatchPort = watch ? watch->mPort : 0;
  zone.mPrefixes = { aCodec.ConfigPrefix(),
                     aCodec.EndpointPrefix(),
                     aCodec.WeightsPrefix() };
  zone.mConfirmed = aCodec.ConfigPrefix();
  const auto& bounds = aSettings.mBounds;
  zone.mQueryInterval =
    std::min(zone.mQueryInterval, bounds.mDrainDeadline / kQueriesPerLeaving);
  zone.mResponseTimeout = std::min(
    zone.mResponseTimeout, bounds.mDrainDeadline / kResponsesPerLeaving);
  zone.mMaxAge =
    std::min(zone.mMaxAge, bounds.mKeyRevocationDeadline / kAgesPerKeyRemoval);
  return zone;
}

ZoneMirror::ZoneMirror(transport::asio::io_context& aContext,
                       const MirroredPlatformSettings& aSettings,
                       Platform& aStore,
                       const state::Clock& aClock,
                       EventLog& aLog)
  : mContext(aContext)
  , mIdentity{ aSettings.mName, aSettings.mSecret, 0 }
  , mClock(aClock)
  , mLog(aLog)
  , mMirror(RandomEpoch())
  , mPlatform(aContext, aSettings, aStore, aClock, aLog)
{
}

void
ZoneMirror::Start()
{
  mPlatform.Start();
}

void
ZoneMirror::ApplyEndpoints(const std::vector<state::EndpointInfo>& aEndpoints)
{
  mPlatform.ApplyEndpoints(aEndpoints);
}

Result<state::Address>
ZoneMirror::Serve(const state::Address& aAddress, RelayFeed& aFeed)
{
  mServer = std::make_unique<SnapshotServer>(
    mContext, mIdentity, mLog, [this, &aFeed](const auto& aRequest) {
      return HandleRequest(aFeed, aRequest);
    });
  transport::Spawn(mContext, StopWatchingWhenIdle(&aFeed));
  return mServer->Start(aAddress);
}

protocol::SnapshotReply
ZoneMirror::HandleRequest(RelayFeed& aFeed,
                          const protocol::SnapshotRequest& aRequest)
{
  mPlatform.NoteRequest();
  aFeed.BeginWatching();
  const auto update = mMirror.UpdateSince(
    aRequest.mKnownInstances, aRequest.mKnownVersion, mClock.Now());
  return { update.mSequence, state::WriteMirrorUpdate(update), {} };
}

Task<void>
ZoneMirror::StopWatchingWhenIdle(RelayFeed* aFeed)
{
  while (true) {
    co_await transport::Sleep(kIdleCheckInterval);
    if (!mPlatform.HasRecentRequests()) {
      aFeed->EndWatching();
    }
  }
}

} // namespace shuntjunction::coordination
