#include "shuntjunction/coordination/zone_mirror.h"

#include <algorithm>
#include <random>

#include "shuntjunction/state/jittered_pause.h"

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

/// Bytes of whole mirrors that a watcher sends per second: an eighth of its
/// link. Processes beyond that are refused at once, and query the zone's other
/// watcher or this one again; otherwise all of them would time out together
/// when a zone restarts, and read the store instead.
constexpr double kWholeBytesPerSecond = 32e6;
constexpr state::UsageLimit kWholeBytesLimit{ kWholeBytesPerSecond,
                                              kWholeBytesPerSecond / 4 };

/// Pause between looks at the store's cached list at a companion: it has no
/// callers that wait for it.
constexpr Millis kCompanionLookPause{ 2600 };

/// Shares of the bounds on leaving endpoints and on removed keys up to whose
/// age a watcher's state is used. The rest is left for a query, its timeout and
/// a read of the store. The longer, the fewer processes go to the store
/// together when it says nothing to the watchers for a second.
constexpr double kAgeShareOfLeaving = 0.55;
constexpr double kAgeShareOfKeyRemoval = 0.6;

Millis
ShareOf(Millis aBound, double aShare)
{
  return Millis(
    static_cast<std::int64_t>(static_cast<double>(aBound.count()) * aShare));
}

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
                     aCodec.WeightsPrefix(),
                     aCodec.QuarantinePrefix() };
  zone.mConfirmed = aCodec.ConfigPrefix();
  zone.mWeights = aCodec.WeightsPrefix();
  if (aSettings.mRole == FleetRole::kCompanion) {
    zone.mStart.mLookPause = kCompanionLookPause;
  }
  const auto& bounds = aSettings.mBounds;
  zone.mQueryInterval =
    std::min(zone.mQueryInterval, bounds.mDrainDeadline / kQueriesPerLeaving);
  zone.mResponseTimeout = std::min(
    zone.mResponseTimeout, bounds.mDrainDeadline / kResponsesPerLeaving);
  zone.mMaxAge = std::min(
    std::max(zone.mMaxAge, ShareOf(bounds.mDrainDeadline, kAgeShareOfLeaving)),
    ShareOf(bounds.mKeyRevocationDeadline, kAgeShareOfKeyRemoval));
  return zone;
}

ZoneMirror::ZoneMirror(transport::asio::io_context& aContext,
                       const MirroredPlatformSettings& aSettings,
                       Platform& aStore,
                       const state::Clock& aClock,
                       EventLog& aLog,
                       PhaseHandler aOnPhase)
  : mContext(aContext)
  , mIdentity{ aSettings.mName, aSettings.mSecret, 0 }
  , mClock(aClock)
  , mLog(aLog)
  , mOnPhase(std::move(aOnPhase))
  , mMirror(RandomEpoch())
  , mPlatform(aContext, aSettings, aStore, aClock, aLog)
  , mWholeBytes(kWholeBytesLimit, kWholeBytesLimit.mBurst, aClock.Now())
  , mStartTimer(aContext)
  , mRandom(std::random_device{}())
{
}

void
ZoneMirror::Start()
{
  mPlatform.Start();
}

void
ZoneMirror::Start(const StoreCodec& aCodec, RelayFeed& aFeed)
{
  // Processes whose watchers are late must not all list the store together.
  auto settings = mPlatform.Settings().mStart;
  settings.mMaxQueryTime =
    state::JitteredPause(settings.mMaxQueryTime * 2, mRandom);
  mStartPlan.emplace(settings, mClock.Now());
  transport::Spawn(mContext, Discover(&aCodec, &aFeed));
}

Task<void>
ZoneMirror::Discover(const StoreCodec* aCodec, RelayFeed* aFeed)
{
  auto& plan = *mStartPlan;
  auto step = plan.Next();
  while (step == state::StartStep::kLook || step == state::StartStep::kQuery) {
    if (step == state::StartStep::kLook) {
      co_await LookForWatchers(aCodec);
      // The configuration of a new fleet follows its first processes.
      if (plan.Looks() > 1 && plan.Next() == state::StartStep::kLook) {
        aFeed->ReadConfig();
      }
    } else {
      const auto response = co_await mPlatform.QueryOnce();
      plan.NoteResponse(response, mClock.Now());
    }
    if (mPlatform.HasRecentRequests() || mPlatform.IsFirstWatcher()) {
      plan.NoteIsWatcher(mClock.Now());
    }
    step = plan.Next();
    mStartTimer.expires_at(plan.Due());
    if (plan.HasFailedLook()) {
      // Processes whose looks failed together must not look together again.
      const auto pause = std::chrono::ceil<Millis>(std::max(
        plan.Due() - mClock.Now(), state::TimePoint::duration::zero()));
      mStartTimer.expires_after(state::JitteredPause(pause, mRandom));
    }
    co_await mStartTimer.async_wait(transport::kAsTuple);
    step = plan.Next();
  }
  mLog.Write(EventLine("watch", "started")
               .Add("mirrored", mPlatform.IsMirrored())
               .Add("looks", plan.Looks())
               .Add("fleet_starting", plan.IsFleetStarting()));
  mOnPhase(state::StartPhase::kSourceFound);
  mStartPlan.reset();
  aFeed->Start();
  mPlatform.Start();
}

Task<void>
ZoneMirror::LookForWatchers(const StoreCodec* aCodec)
{
  const auto list = co_await mPlatform.ListCached(aCodec->EndpointPrefix());
  if (!list) {
    mStartPlan->NoteFailedLook(mClock.Now());
    mLog.Write(
      EventLine("watch", "look-failed").Add("error", list.error().Describe()));
    co_return;
  }
  std::vector<state::EndpointInfo> endpoints;
  for (const auto& object : list->mObjects) {
    if (auto endpoint = aCodec->ReadEndpoint(object.mKey, object.mValue)) {
      endpoints.push_back(std::move(*endpoint));
    }
  }
  mPlatform.ApplyEndpoints(endpoints);
  if (mPlatform.HasWatchers()) {
    mOnPhase(state::StartPhase::kWatchersFound);
  }
  mStartPlan->NoteLook(endpoints.size(), mPlatform.HasWatchers(), mClock.Now());
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
  if (mStartPlan) {
    mStartPlan->NoteIsWatcher(mClock.Now());
    mStartTimer.cancel();
  }
  const auto epoch = aRequest.mKnownInstances;
  const auto sequence = aRequest.mKnownVersion;
  if (mMirror.NeedsWhole(epoch, sequence)) {
    return { 0, WholeUpdate(), {} };
  }
  const auto update = mMirror.UpdateSince(epoch, sequence, mClock.Now());
  return { update.mSequence, state::WriteMirrorUpdate(update), {} };
}

bool
ZoneMirror::IsComplete() const
{
  const auto& prefixes = mPlatform.Settings().mPrefixes;
  return std::all_of(
    prefixes.begin(), prefixes.end(), [&](const auto& aPrefix) {
      return mMirror.Topic(aPrefix) != nullptr;
    });
}

std::string
ZoneMirror::WholeUpdate()
{
  const auto now = mClock.Now();
  auto update = mMirror.Status(now);
  // An update that is not known to be complete is of no use to its receiver,
  // which recognizes it by the missing topics.
  const bool isBusy = mWholeBytes.Left(now) <= 0;
  if (!IsComplete() || isBusy) {
    update.mTopics.clear();
    return state::WriteMirrorUpdate(update);
  }
  if (mWhole.mText.empty() || mWhole.mSequence != update.mSequence) {
    const auto whole = mMirror.UpdateSince(0, 0, now);
    mWhole = { update.mSequence,
               now,
               state::WriteMirrorChanges(whole.mChanges) };
  }
  update.mIsWhole = true;
  update.mChangesAge = std::chrono::ceil<Millis>(now - mWhole.mAt);
  auto text = state::WriteMirrorUpdate(update, mWhole.mText);
  mWholeBytes.Use(static_cast<double>(text.size()), now);
  return text;
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
