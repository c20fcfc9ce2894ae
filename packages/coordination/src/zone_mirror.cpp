#include "shuntjunction/coordination/zone_mirror.h"

#include <algorithm>
#include <random>

namespace shuntjunction::coordination {

using state::Millis;
using state::Result;
using transport::Task;

namespace {

/// How often a watcher looks whether it is still asked.
constexpr Millis kAskedInterval{ 2000 };

// Shares of the operator's bounds. What a watcher's silence delays at most, two
// answers that do not come and a question, stays under half of the bound on
// leaving endpoints.
constexpr int kAsksPerLeaving = 5;
constexpr int kAnswersPerLeaving = 8;
constexpr int kAgesPerKeyRemoval = 3;

/// Another number in each life of a process; fits where JSON writes it.
std::uint64_t
DrawEpoch()
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
  zone.mAskInterval =
    std::min(zone.mAskInterval, bounds.mEndpointLeaving / kAsksPerLeaving);
  zone.mResponseTimeout = std::min(
    zone.mResponseTimeout, bounds.mEndpointLeaving / kAnswersPerLeaving);
  zone.mMaxAge =
    std::min(zone.mMaxAge, bounds.mKeyRemoval / kAgesPerKeyRemoval);
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
  , mMirror(DrawEpoch())
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
      return Answer(aFeed, aRequest);
    });
  transport::Spawn(mContext, EndWhenNobodyAsks(&aFeed));
  return mServer->Start(aAddress);
}

protocol::SnapshotReply
ZoneMirror::Answer(RelayFeed& aFeed, const protocol::SnapshotRequest& aRequest)
{
  mPlatform.NoteRequest();
  aFeed.BeginWatching();
  const auto page =
    mMirror.UpdateSince(aRequest.mHaveInstances, aRequest.mHave, mClock.Now());
  return { page.mSequence, state::WriteMirrorUpdate(page), {} };
}

Task<void>
ZoneMirror::EndWhenNobodyAsks(RelayFeed* aFeed)
{
  while (true) {
    co_await transport::Sleep(kAskedInterval);
    if (!mPlatform.HasRecentRequests()) {
      aFeed->EndWatching();
    }
  }
}

} // namespace shuntjunction::coordination
