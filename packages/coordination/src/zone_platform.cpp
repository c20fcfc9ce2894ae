#include "shuntjunction/coordination/zone_platform.h"

#include <algorithm>
#include <random>

namespace shuntjunction::coordination {

using state::Millis;
using state::MirroredTopic;
using state::MirrorPage;
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

ZonePlatform::ZonePlatform(asio::io_context& aContext,
                           const ZonePlatformSettings& aSettings,
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
            aSettings.mAnswerTimeout)
  , mMirror(0)
  , mRandom(std::random_device{}())
{
}

void
ZonePlatform::Start()
{
  transport::Spawn(mContext, Run());
}

void
ZonePlatform::TakeEndpoints(const std::vector<state::EndpointInfo>& aEndpoints)
{
  const auto engines =
    state::ZoneWatchersOf(aEndpoints, mSettings.mZone, mSettings.mWatchers);
  mIsWatcher = !engines.empty() && engines.front() == mSettings.mOwnEngine;
  mWatchers.clear();
  for (const auto& engine : engines) {
    const auto address = state::ParseAddress(engine);
    if (address && engine != mSettings.mOwnEngine) {
      mWatchers.push_back(
        state::Address{ address->mHost, mSettings.mWatchPort }.Text());
    }
  }
}

void
ZonePlatform::NoteAsked()
{
  mAskedAt = mClock.Now();
  SetServed(false);
}

bool
ZonePlatform::IsAsked() const
{
  return mAskedAt && mClock.Now() - *mAskedAt < kAskedFor;
}

void
ZonePlatform::Count(StoreCall aCall)
{
  ++mCalls[static_cast<std::size_t>(aCall)];
}

// Asking.

Task<void>
ZonePlatform::Run()
{
  while (true) {
    const auto outcome = co_await AskWatchers();
    SetServed(outcome == AskOutcome::kServed && !IsAsked());
    co_await transport::Sleep(state::SpreadPause(outcome == AskOutcome::kSilent
                                                   ? mSettings.mOwnTime
                                                   : mSettings.mAskInterval,
                                                 mRandom));
  }
}

Task<ZonePlatform::AskOutcome>
ZonePlatform::AskWatchers()
{
  auto outcome = AskOutcome::kNobody;
  const auto watchers = mWatchers;
  for (const auto& watcher : watchers) {
    if (mIsWatcher || IsAsked()) {
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

Task<ZonePlatform::AskOutcome>
ZonePlatform::Ask(std::string aAddress)
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
  const auto page = state::ReadMirrorPage(reply->mText, aAddress);
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
ZonePlatform::IsFresh(const MirrorPage& aPage) const
{
  const auto isKnown = [&](const std::string& aPrefix) {
    const auto* topic = aPage.Topic(aPrefix);
    return topic != nullptr && topic->mKnown != 0;
  };
  const auto& prefixes = mSettings.mPrefixes;
  const auto* confirmed = aPage.Topic(mSettings.mConfirmed);
  return std::all_of(prefixes.begin(), prefixes.end(), isKnown) &&
         confirmed != nullptr && confirmed->mAge < mSettings.mMostAge;
}

void
ZonePlatform::SetServed(bool aIsServed)
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
ZonePlatform::WakeWaiting()
{
  for (auto& timer : mWaiting) {
    timer.cancel();
  }
}

Task<void>
ZonePlatform::WaitForNews(TimePoint aUntil)
{
  const auto timer = mWaiting.emplace(mWaiting.end(), mContext, aUntil);
  co_await timer->async_wait(transport::kAsTuple);
  mWaiting.erase(timer);
}

bool
ZonePlatform::IsServedFor(std::string_view aPrefix) const
{
  return mIsServed && mMirror.Topic(aPrefix) != nullptr;
}

SecondHand
ZonePlatform::Source(const MirroredTopic& aTopic) const
{
  return { aTopic.mAsOf, mMirror.TroubleAt() };
}

// Calls.

std::optional<ObjectList>
ZonePlatform::ListHere(std::string_view aPrefix) const
{
  if (!IsServedFor(aPrefix)) {
    return std::nullopt;
  }
  const auto& topic = *mMirror.Topic(aPrefix);
  return ObjectList{ topic.mKnown,
                     mMirror.List(aPrefix, mClock.Now()),
                     Source(topic) };
}

Task<Result<ObjectList>>
ZonePlatform::List(std::string aPrefix)
{
  if (auto list = ListHere(aPrefix)) {
    co_return std::move(*list);
  }
  Count(StoreCall::kList);
  co_return co_await mStore.List(std::move(aPrefix));
}

Task<Result<ObjectList>>
ZonePlatform::Glance(std::string aPrefix)
{
  if (auto list = ListHere(aPrefix)) {
    co_return std::move(*list);
  }
  Count(StoreCall::kGlance);
  co_return co_await mStore.Glance(std::move(aPrefix));
}

Task<Result<WatchAnswer>>
ZonePlatform::Watch(std::string aPrefix, std::uint64_t aAfter, Millis aWait)
{
  if (!IsServedFor(aPrefix)) {
    Count(StoreCall::kWatch);
    co_return co_await mStore.Watch(std::move(aPrefix), aAfter, aWait);
  }
  const auto until = mClock.Now() + aWait;
  const auto answers = mAnswers.load();
  WatchAnswer answer;
  answer.mRevision = aAfter;
  while (IsServedFor(aPrefix)) {
    const auto now = mClock.Now();
    const auto& topic = *mMirror.Topic(aPrefix);
    auto changes = mMirror.ChangesAfter(aPrefix, aAfter, now);
    answer.mIsGap = !changes;
    answer.mRevision = std::max(aAfter, topic.mKnown);
    answer.mSecondHand = Source(topic);
    const bool isConfirmed =
      mAnswers != answers && aPrefix == mSettings.mConfirmed;
    if (!changes || !changes->empty()) {
      answer.mChanges = changes ? std::move(*changes) : answer.mChanges;
      break;
    }
    if (isConfirmed || topic.mKnown > aAfter || now >= until) {
      break;
    }
    co_await WaitForNews(until);
  }
  co_return answer;
}

Task<Result<std::optional<RawObject>>>
ZonePlatform::Read(std::string aKey)
{
  Count(StoreCall::kRead);
  return mStore.Read(std::move(aKey));
}

Task<Result<std::uint64_t>>
ZonePlatform::Write(std::string aKey,
                    std::string aValue,
                    std::uint64_t aIfRevision)
{
  Count(StoreCall::kWrite);
  return mStore.Write(std::move(aKey), std::move(aValue), aIfRevision);
}

Task<Result<void>>
ZonePlatform::Delete(std::string aKey, std::uint64_t aIfRevision)
{
  Count(StoreCall::kWrite);
  return mStore.Delete(std::move(aKey), aIfRevision);
}

Task<Result<InstanceList>>
ZonePlatform::Instances(std::uint64_t aAfter, Millis aWait)
{
  return mStore.Instances(aAfter, aWait);
}

void
ZonePlatform::AbandonCalls()
{
  WakeWaiting();
  mStore.AbandonCalls();
}

} // namespace shuntjunction::coordination
