#include "shuntjunction/coordination/mirrored_platform.h"

#include <algorithm>
#include <random>

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

constexpr std::string_view kPart = "watch";

/// A process that nobody asked for so long follows the store as before: the
/// zone's watchers are others by now.
constexpr Millis kAskedFor{ 10000 };

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
  const auto engines =
    state::SelectZoneWatchers(aEndpoints, mSettings.mZone, mSettings.mWatchers);
  mIsWatcher = !engines.empty() && engines.front() == mSettings.mLocalEngine;
  mWatchers.clear();
  for (const auto& engine : engines) {
    const auto address = state::ParseAddress(engine);
    if (address && engine != mSettings.mLocalEngine) {
      mWatchers.push_back(
        state::Address{ address->mHost, mSettings.mWatchPort }.Text());
    }
  }
}

void
MirroredPlatform::NoteRequest()
{
  mAskedAt = mClock.Now();
  SetServed(false);
}

bool
MirroredPlatform::HasRecentRequests() const
{
  return mAskedAt && mClock.Now() - *mAskedAt < kAskedFor;
}

void
MirroredPlatform::Count(StoreCall aCall)
{
  ++mCalls[static_cast<std::size_t>(aCall)];
}

// Asking.

Task<void>
MirroredPlatform::Run()
{
  while (true) {
    const auto outcome = co_await QueryWatchers();
    SetServed(outcome == AskOutcome::kServed && !HasRecentRequests());
    co_await transport::Sleep(state::JitteredPause(
      outcome == AskOutcome::kSilent ? mSettings.mFallbackDuration
                                     : mSettings.mAskInterval,
      mRandom));
  }
}

Task<MirroredPlatform::AskOutcome>
MirroredPlatform::QueryWatchers()
{
  auto outcome = AskOutcome::kNobody;
  const auto watchers = mWatchers;
  for (const auto& watcher : watchers) {
    if (mIsWatcher || HasRecentRequests()) {
      co_return AskOutcome::kNobody;
    }
    const auto answered = co_await Ask(watcher);
    outcome = std::max(outcome, answered);
    if (outcome == AskOutcome::kServed) {
      break;
    }
  }
  co_return outcome;
}

Task<MirroredPlatform::AskOutcome>
MirroredPlatform::Ask(std::string aAddress)
{
  // What these two count is up to who is asked: here a mirror's pages.
  protocol::SnapshotRequest request;
  request.mHave = mSequence;
  request.mHaveInstances = mEpoch;
  const auto askedAt = mClock.Now();
  const auto reply = co_await mClient.Ask(aAddress, request);
  if (!reply) {
    co_return AskOutcome::kSilent;
  }
  const auto page = state::ReadMirrorUpdate(reply->mText, aAddress);
  if (!page) {
    mLog.Write(
      EventLine(kPart, "page-refused").Add("error", page.error().Describe()));
    co_return AskOutcome::kSilent;
  }
  if (!IsFresh(*page)) {
    co_return AskOutcome::kStale;
  }
  mMirror.Apply(*page, askedAt, mClock.Now());
  mEpoch = page->mEpoch;
  mSequence = page->mSequence;
  ++mAnswers;
  WakeWaiting();
  co_return AskOutcome::kServed;
}

bool
MirroredPlatform::IsFresh(const MirrorUpdate& aPage) const
{
  const auto isKnown = [&](const std::string& aPrefix) {
    const auto* topic = aPage.Topic(aPrefix);
    return topic != nullptr && topic->mKnownRevision != 0;
  };
  const auto& prefixes = mSettings.mPrefixes;
  const auto* confirmed = aPage.Topic(mSettings.mConfirmed);
  return std::all_of(prefixes.begin(), prefixes.end(), isKnown) &&
         confirmed != nullptr && confirmed->mAge < mSettings.mMaxAge;
}

void
MirroredPlatform::SetServed(bool aIsServed)
{
  if (mIsServed.exchange(aIsServed) == aIsServed) {
    return;
  }
  mLog.Write(
    EventLine(kPart, !aIsServed ? "watchers-lost" : "watchers-regained")
      .Add("watchers", mWatchers.size()));
  WakeWaiting();
}

// Waiting.

void
MirroredPlatform::WakeWaiting()
{
  for (auto& timer : mWaiting) {
    timer.cancel();
  }
}

Task<void>
MirroredPlatform::WaitForNews(TimePoint aUntil)
{
  const auto timer = mWaiting.emplace(mWaiting.end(), mContext, aUntil);
  co_await timer->async_wait(transport::kAsTuple);
  mWaiting.erase(timer);
}

bool
MirroredPlatform::IsServedFor(std::string_view aPrefix) const
{
  return mIsServed && mMirror.Topic(aPrefix) != nullptr;
}

MirrorFreshness
MirroredPlatform::Source(const MirroredTopic& aTopic) const
{
  return { aTopic.mAsOf, mMirror.LastPlatformFailure() };
}

// Calls.

std::optional<ObjectList>
MirroredPlatform::ListHere(std::string_view aPrefix) const
{
  if (!IsServedFor(aPrefix)) {
    return std::nullopt;
  }
  const auto& topic = *mMirror.Topic(aPrefix);
  return ObjectList{ topic.mKnownRevision,
                     mMirror.List(aPrefix, mClock.Now()),
                     Source(topic) };
}

Task<Result<ObjectList>>
MirroredPlatform::List(std::string aPrefix)
{
  if (auto list = ListHere(aPrefix)) {
    co_return std::move(*list);
  }
  Count(StoreCall::kList);
  co_return co_await mStore.List(std::move(aPrefix));
}

Task<Result<ObjectList>>
MirroredPlatform::ListCached(std::string aPrefix)
{
  if (auto list = ListHere(aPrefix)) {
    co_return std::move(*list);
  }
  Count(StoreCall::kListCached);
  co_return co_await mStore.ListCached(std::move(aPrefix));
}

Task<Result<WatchResult>>
MirroredPlatform::Watch(std::string aPrefix, std::uint64_t aAfter, Millis aWait)
{
  if (!IsServedFor(aPrefix)) {
    Count(StoreCall::kWatch);
    co_return co_await mStore.Watch(std::move(aPrefix), aAfter, aWait);
  }
  const auto until = mClock.Now() + aWait;
  const auto answers = mAnswers.load();
  WatchResult answer;
  answer.mRevision = aAfter;
  while (IsServedFor(aPrefix)) {
    const auto now = mClock.Now();
    const auto& topic = *mMirror.Topic(aPrefix);
    auto changes = mMirror.ChangesAfter(aPrefix, aAfter, now);
    answer.mIsGap = !changes;
    answer.mRevision = std::max(aAfter, topic.mKnownRevision);
    answer.mMirrorFreshness = Source(topic);
    const bool isConfirmed =
      mAnswers != answers && aPrefix == mSettings.mConfirmed;
    if (!changes || !changes->empty()) {
      answer.mChanges = changes ? std::move(*changes) : answer.mChanges;
      break;
    }
    if (isConfirmed || topic.mKnownRevision > aAfter || now >= until) {
      break;
    }
    co_await WaitForNews(until);
  }
  co_return answer;
}

Task<Result<std::optional<RawObject>>>
MirroredPlatform::Read(std::string aKey)
{
  Count(StoreCall::kRead);
  return mStore.Read(std::move(aKey));
}

Task<Result<std::uint64_t>>
MirroredPlatform::Write(std::string aKey,
                        std::string aValue,
                        std::uint64_t aIfRevision)
{
  Count(StoreCall::kWrite);
  return mStore.Write(std::move(aKey), std::move(aValue), aIfRevision);
}

Task<Result<void>>
MirroredPlatform::Delete(std::string aKey, std::uint64_t aIfRevision)
{
  Count(StoreCall::kWrite);
  return mStore.Delete(std::move(aKey), aIfRevision);
}

Task<Result<InstanceList>>
MirroredPlatform::Instances(std::uint64_t aAfter, Millis aWait)
{
  return mStore.Instances(aAfter, aWait);
}

void
MirroredPlatform::AbandonCalls()
{
  WakeWaiting();
  mStore.AbandonCalls();
}

} // namespace shuntjunction::coordination
