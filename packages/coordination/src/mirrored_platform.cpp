#include "shuntjunction/coordination/mirrored_platform.h"

#include <algorithm>
#include <random>

#include "shuntjunction/transport/http_client.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::MirroredTopic;
using state::MirrorUpdate;
using state::RawObject;
using state::Result;
using state::TimePoint;
using transport::Task;
namespace asio = transport::asio;

namespace {

constexpr std::string_view kComponent = "watch";

/// Time without requests after which a process that is not the first watcher
/// reads through a watcher again: by then the others query another process.
constexpr Millis kServingTimeout{ 4000 };

} // namespace

MirroredPlatform::MirroredPlatform(asio::io_context& aContext,
                                   const MirroredPlatformSettings& aSettings,
                                   Platform& aStore,
                                   const state::Clock& aClock,
                                   EventLog& aLog)
  : mContext(aContext)
  , mSettings(aSettings)
  , mStore(aStore)
  , mClock(aClock)
  , mLog(aLog)
  , mClient(aContext,
            aSettings.mName,
            aSettings.mSecret,
            aSettings.mResponseTimeout)
  , mMirror(0)
  , mWatchers(aSettings.mSettleTime)
  , mRandom(std::random_device{}())
{
}

void
MirroredPlatform::Start()
{
  transport::Spawn(mContext, Run());
}

void
MirroredPlatform::ApplyEndpoints(
  const std::vector<state::EndpointInfo>& aEndpoints)
{
  mWatchers.Select(
    state::SelectZoneWatchers(aEndpoints, mSettings.mZone, mSettings.mWatchers),
    mClock.Now());
}

bool
MirroredPlatform::IsFirstWatcher() const
{
  const auto& selected = mWatchers.Selected();
  return !selected.empty() && selected.front() == mSettings.mLocalEngine &&
         mWatchers.IsSettled(mClock.Now());
}

void
MirroredPlatform::NoteRequest()
{
  mLastRequestAt = mClock.Now();
  SetMirrored(false);
}

bool
MirroredPlatform::HasRecentRequests() const
{
  return mLastRequestAt && mClock.Now() - *mLastRequestAt < kServingTimeout;
}

void
MirroredPlatform::SetGauges(Metrics& aMetrics) const
{
  aMetrics.Set("shuntjunction_watch_served", IsMirrored() ? 1 : 0);
  aMetrics.Set("shuntjunction_watch_answers",
               static_cast<double>(MirrorResponses()));
  for (std::size_t i = 0; i < kStoreCallNames.Size(); ++i) {
    const auto call = static_cast<StoreCall>(i);
    const MetricLabels labels{ { "call",
                                 std::string(kStoreCallNames.Name(call)) } };
    aMetrics.Set(
      "shuntjunction_store_calls", static_cast<double>(Calls(call)), labels);
    aMetrics.Set("shuntjunction_store_failures",
                 static_cast<double>(Failures(call)),
                 labels);
  }
}

// Querying watchers.

Task<void>
MirroredPlatform::Run()
{
  while (true) {
    const auto outcome = co_await QueryWatchers();
    co_await transport::Sleep(state::JitteredPause(
      outcome == QueryOutcome::kNoResponse ? mSettings.mFallbackDuration
                                           : mSettings.mQueryInterval,
      mRandom));
  }
}

Task<state::WatcherResponse>
MirroredPlatform::QueryOnce()
{
  const auto outcome = co_await QueryWatchers();
  switch (outcome) {
    case QueryOutcome::kUpdated:
      co_return state::WatcherResponse::kServes;
    case QueryOutcome::kStale:
      co_return state::WatcherResponse::kNotReady;
    case QueryOutcome::kNoWatcher:
    case QueryOutcome::kNoResponse:
      break;
  }
  co_return state::WatcherResponse::kNone;
}

Task<MirroredPlatform::QueryOutcome>
MirroredPlatform::QueryWatchers()
{
  auto outcome = QueryOutcome::kNoWatcher;
  const auto engines = mWatchers.At(mClock.Now());
  for (const auto& engine : engines) {
    if (IsFirstWatcher() || HasRecentRequests()) {
      outcome = QueryOutcome::kNoWatcher;
      break;
    }
    const auto address = state::ParseAddress(engine);
    if (!address || engine == mSettings.mLocalEngine) {
      continue;
    }
    const state::Address watcher{ address->mHost, mSettings.mWatchPort };
    const std::string text = watcher.Text();
    const auto watcherOutcome = co_await QueryWatcher(text);
    outcome = std::max(outcome, watcherOutcome);
    if (outcome == QueryOutcome::kUpdated) {
      mWatchers.NoteServing(engine);
      break;
    }
    mWatchers.NoteFailure(engine);
  }
  SetMirrored(outcome == QueryOutcome::kUpdated && !HasRecentRequests());
  co_return outcome;
}

Task<MirroredPlatform::QueryOutcome>
MirroredPlatform::QueryWatcher(std::string aAddress)
{
  // The meaning of these two fields depends on the peer: here they are the
  // sequence and the epoch of a mirror.
  protocol::SnapshotRequest request;
  request.mKnownVersion = mSequence;
  request.mKnownInstances = mEpoch;
  const auto requestedAt = mClock.Now();
  // What a watcher served ages while the next response is awaited.
  const auto maxTime = mIsMirrored ? Millis(0) : transport::kMaxTransferTime;
  const auto reply = co_await mClient.QuerySnapshot(aAddress, request, maxTime);
  if (!reply) {
    co_return QueryOutcome::kNoResponse;
  }
  const auto update = state::ReadMirrorUpdate(reply->mText, aAddress);
  if (!update) {
    mLog.Write(EventLine(kComponent, "page-refused")
                 .Add("error", update.error().Describe()));
    co_return QueryOutcome::kNoResponse;
  }
  if (!IsFresh(*update)) {
    co_return QueryOutcome::kStale;
  }
  mMirror.Apply(*update, requestedAt, mClock.Now());
  mEpoch = update->mEpoch;
  mSequence = update->mSequence;
  ++mMirrorResponses;
  WakeWaiters();
  co_return QueryOutcome::kUpdated;
}

bool
MirroredPlatform::IsFresh(const MirrorUpdate& aUpdate) const
{
  const auto isKnown = [&](const std::string& aPrefix) {
    const auto* topic = aUpdate.Topic(aPrefix);
    return topic != nullptr;
  };
  const auto& prefixes = mSettings.mPrefixes;
  const auto* confirmed = aUpdate.Topic(mSettings.mConfirmed);
  return std::all_of(prefixes.begin(), prefixes.end(), isKnown) &&
         confirmed != nullptr && confirmed->mAge < mSettings.mMaxAge;
}

void
MirroredPlatform::SetMirrored(bool aIsMirrored)
{
  if (mIsMirrored.exchange(aIsMirrored) == aIsMirrored) {
    return;
  }
  mLog.Write(
    EventLine(kComponent, !aIsMirrored ? "watchers-lost" : "watchers-regained")
      .Add("watchers", mWatchers.Selected().size()));
  WakeWaiters();
}

// Waiting for updates.

void
MirroredPlatform::WakeWaiters()
{
  for (auto& timer : mWaiters) {
    timer.cancel();
  }
}

Task<void>
MirroredPlatform::WaitForUpdate(TimePoint aUntil)
{
  const auto timer = mWaiters.emplace(mWaiters.end(), mContext, aUntil);
  co_await timer->async_wait(transport::kAsTuple);
  mWaiters.erase(timer);
}

bool
MirroredPlatform::IsPrefixMirrored(std::string_view aPrefix) const
{
  return mIsMirrored && mMirror.Topic(aPrefix) != nullptr;
}

MirrorFreshness
MirroredPlatform::FreshnessOf(const MirroredTopic& aTopic) const
{
  return { aTopic.mAsOf, mMirror.LastOutage() };
}

// Platform calls.

template<typename T>
Task<Result<T>>
MirroredPlatform::CallStore(StoreCall aCall, Task<Result<T>> aTask)
{
  const auto call = static_cast<std::size_t>(aCall);
  ++mCalls[call];
  auto result = co_await std::move(aTask);
  if (!result) {
    ++mFailures[call];
  }
  co_return result;
}

std::optional<ObjectList>
MirroredPlatform::ListFromMirror(std::string_view aPrefix) const
{
  if (!IsPrefixMirrored(aPrefix)) {
    return std::nullopt;
  }
  const auto& topic = *mMirror.Topic(aPrefix);
  return ObjectList{ topic.mKnownRevision,
                     mMirror.List(aPrefix, mClock.Now()),
                     FreshnessOf(topic) };
}

Task<Result<ObjectList>>
MirroredPlatform::List(std::string aPrefix)
{
  if (auto list = ListFromMirror(aPrefix)) {
    co_return std::move(*list);
  }
  co_return co_await CallStore(StoreCall::kList,
                               mStore.List(std::move(aPrefix)));
}

Task<Result<ObjectList>>
MirroredPlatform::ListCached(std::string aPrefix)
{
  if (auto list = ListFromMirror(aPrefix)) {
    co_return std::move(*list);
  }
  co_return co_await CallStore(StoreCall::kListCached,
                               mStore.ListCached(std::move(aPrefix)));
}

Task<Result<WatchResult>>
MirroredPlatform::Watch(std::string aPrefix, std::uint64_t aAfter, Millis aWait)
{
  if (!IsPrefixMirrored(aPrefix)) {
    co_return co_await CallStore(
      StoreCall::kWatch, mStore.Watch(std::move(aPrefix), aAfter, aWait));
  }
  const auto until = mClock.Now() + aWait;
  const auto responsesBefore = mMirrorResponses.load();
  WatchResult result;
  result.mRevision = aAfter;
  while (IsPrefixMirrored(aPrefix)) {
    const auto now = mClock.Now();
    const auto& topic = *mMirror.Topic(aPrefix);
    auto changes = mMirror.ChangesAfter(aPrefix, aAfter, now);
    result.mIsGap = !changes;
    result.mRevision = std::max(aAfter, topic.mKnownRevision);
    result.mMirrorFreshness = FreshnessOf(topic);
    const bool isConfirmed =
      mMirrorResponses != responsesBefore &&
      (aPrefix == mSettings.mConfirmed || aPrefix == mSettings.mWeights);
    if (!changes || !changes->empty()) {
      result.mChanges = changes ? std::move(*changes) : result.mChanges;
      break;
    }
    if (isConfirmed || topic.mKnownRevision > aAfter || now >= until) {
      break;
    }
    co_await WaitForUpdate(until);
  }
  co_return result;
}

Task<Result<std::optional<RawObject>>>
MirroredPlatform::Read(std::string aKey)
{
  return CallStore(StoreCall::kRead, mStore.Read(std::move(aKey)));
}

Task<Result<std::uint64_t>>
MirroredPlatform::Write(std::string aKey,
                        std::string aValue,
                        std::uint64_t aIfRevision)
{
  return CallStore(
    StoreCall::kWrite,
    mStore.Write(std::move(aKey), std::move(aValue), aIfRevision));
}

Task<Result<std::uint64_t>>
MirroredPlatform::WriteStatus(std::string aKey,
                              std::string aStatus,
                              std::uint64_t aIfRevision)
{
  return CallStore(
    StoreCall::kWrite,
    mStore.WriteStatus(std::move(aKey), std::move(aStatus), aIfRevision));
}

Task<Result<void>>
MirroredPlatform::Delete(std::string aKey, std::uint64_t aIfRevision)
{
  return CallStore(StoreCall::kWrite,
                   mStore.Delete(std::move(aKey), aIfRevision));
}

Task<Result<InstanceList>>
MirroredPlatform::Instances(std::uint64_t aAfter, Millis aWait)
{
  return mStore.Instances(aAfter, aWait);
}

void
MirroredPlatform::AbortPendingCalls()
{
  WakeWaiters();
  mStore.AbortPendingCalls();
}

} // namespace shuntjunction::coordination
