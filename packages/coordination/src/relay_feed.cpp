// How a feed follows the store: lists, watches, and the loss and return of the
// store.

#include "shuntjunction/coordination/relay_feed.h"

#include <algorithm>
#include <random>

#include "relay_feed_topic.h"
#include "shuntjunction/state/jittered_pause.h"
#include "shuntjunction/state/progress_pacer.h"

namespace shuntjunction::coordination {

using state::Error;
using state::Millis;
using state::RawObject;
using state::Result;
using transport::kAsTuple;
using transport::Task;

namespace {

/// Longest and shortest interval at which expired entries are looked for. An
/// entry is dropped when its grace period ends, not at the next interval.
constexpr Millis kExpiryInterval{ 500 };
constexpr Millis kMinExpiryInterval{ 5 };

/// Wait of a watch that only probes whether the store is back: it answers at
/// once.
constexpr Millis kProbeWait{ 1 };

/// Keeps the times at which this process learned of an order and its step, if
/// both are known already.
void
KeepLearningTimes(
  const std::map<std::string, state::Rollout, std::less<>>& aBefore,
  state::Rollout& aRollout)
{
  const auto found = aBefore.find(aRollout.mOrder.mService);
  if (found == aBefore.end() ||
      found->second.mOrder.mId != aRollout.mOrder.mId) {
    return;
  }
  aRollout.mLearnedAt = found->second.mLearnedAt;
  if (found->second.mStatus == aRollout.mStatus) {
    aRollout.mStepLearnedAt = found->second.mStepLearnedAt;
  }
}

/// Failure times of another process that differ by less count as the same.
constexpr Millis kMinFailureGap{ 100 };

} // namespace

RelayFeed::RelayFeed(transport::asio::io_context& aContext,
                     const RelayFeedSettings& aSettings,
                     Platform& aPlatform,
                     const StoreCodec& aCodec,
                     const state::Clock& aClock,
                     EventLog& aLog,
                     state::ObjectMirror& aMirror,
                     Handler aOnView,
                     FreshnessHandler aOnConfirmed)
  : mContext(aContext)
  , mSettings(aSettings)
  , mPlatform(aPlatform)
  , mCodec(aCodec)
  , mClock(aClock)
  , mLog(aLog)
  , mMirror(aMirror)
  , mOnView(std::move(aOnView))
  , mOnConfirmed(std::move(aOnConfirmed))
  , mConfigTopic(std::make_unique<Topic>())
  , mEndpointTopic(std::make_unique<Topic>())
  , mWeightsTopic(std::make_unique<Topic>())
  , mQuarantineTopic(std::make_unique<Topic>())
  , mRolloutTopic(std::make_unique<Topic>())
  , mListPause(aContext)
  , mExpiryTimer(aContext)
  , mDirectory(aSettings.mShortestEntryLifetime)
  , mRandom(std::random_device{}())
{
  DescribeTopics();
}

RelayFeed::~RelayFeed() = default;

void
RelayFeed::DescribeTopics()
{
  const auto each = [](auto aApply) {
    return [aApply](const std::vector<RawObject>& aObjects) {
      bool isNews = false;
      for (const auto& object : aObjects) {
        isNews = aApply(object) || isNews;
      }
      return isNews;
    };
  };
  const auto applyConfig = [this](const RawObject& aObject) {
    return ApplyConfig(aObject);
  };
  const auto applyWeights = [this](const RawObject& aObject) {
    return ApplyWeights(aObject);
  };
  mConfigTopic->mPrefix = mCodec.ConfigPrefix();
  mConfigTopic->mWait = mSettings.mConfigWait;
  mConfigTopic->mConfirmsConfig = true;
  mConfigTopic->mApplyList = each(applyConfig);
  mConfigTopic->mApplyChange = applyConfig;

  mWeightsTopic->mPrefix = mCodec.WeightsPrefix();
  mWeightsTopic->mWait = mSettings.mListWait;
  mWeightsTopic->mDetectsDeadWatch = true;
  mWeightsTopic->mApplyList = each(applyWeights);
  mWeightsTopic->mApplyChange = applyWeights;

  mQuarantineTopic->mPrefix = mCodec.QuarantinePrefix();
  mQuarantineTopic->mWait = mSettings.mListWait;
  mQuarantineTopic->mApplyList = [this](const auto& aObjects) {
    mView.mQuarantined.clear();
    for (const auto& object : aObjects) {
      ApplyQuarantined(object);
    }
    return true;
  };
  mQuarantineTopic->mApplyChange = [this](const RawObject& aObject) {
    ApplyQuarantined(aObject);
  };

  mRolloutTopic->mPrefix = mCodec.RolloutPrefix();
  mRolloutTopic->mWait = mSettings.mListWait;
  mRolloutTopic->mDetectsDeadWatch = true;
  mRolloutTopic->mApplyList = [this](const auto& aObjects) {
    const auto before = std::exchange(mView.mRollouts, {});
    bool isNews = false;
    for (const auto& object : aObjects) {
      isNews = ApplyRollout(object) || isNews;
    }
    for (auto& [service, rollout] : mView.mRollouts) {
      KeepLearningTimes(before, rollout);
    }
    return isNews || !before.empty();
  };
  mRolloutTopic->mApplyChange = [this](const RawObject& aObject) {
    ApplyRollout(aObject);
  };

  mEndpointTopic->mPrefix = mCodec.EndpointPrefix();
  mEndpointTopic->mWait = mSettings.mListWait;
  mEndpointTopic->mPauseAfterChange = mSettings.mListPause;
  mEndpointTopic->mDetectsDeadWatch = true;
  mEndpointTopic->mApplyList = [this](const auto& aObjects) {
    return ApplyEndpointList(aObjects);
  };
  mEndpointTopic->mApplyChange = [this](const auto& aObject) {
    ApplyEndpoint(aObject);
  };
}

const state::ListFreshness&
RelayFeed::RolloutList() const
{
  return mRolloutTopic->mFreshness;
}

void
RelayFeed::Start()
{
  if (mSettings.mWatchesConfig) {
    BeginFollowing(*mConfigTopic);
  }
  BeginFollowing(*mEndpointTopic);
  BeginFollowing(*mWeightsTopic);
  if (mSettings.mFollowsQuarantine) {
    BeginFollowing(*mQuarantineTopic);
  }
  if (mSettings.mFollowsRollouts) {
    BeginFollowing(*mRolloutTopic);
  }
  transport::Spawn(mContext, ExpireEndpoints());
  if (!mSettings.mWatchesConfig) {
    transport::Spawn(mContext, CheckStoreLiveness());
  }
}

void
RelayFeed::BeginFollowing(Topic& aTopic)
{
  if (!std::exchange(aTopic.mIsFollowed, true)) {
    transport::Spawn(mContext, Follow(aTopic));
  }
}

void
RelayFeed::ReadConfig()
{
  if (mSettings.mWatchesConfig && mView.mConfig->Version() == 0) {
    transport::Spawn(mContext, ReadConfigOnce());
  }
}

Task<void>
RelayFeed::ReadConfigOnce()
{
  const auto requestedAt = mClock.Now();
  const auto list = co_await mPlatform.List(mConfigTopic->mPrefix);
  if (!list || mConfigTopic->mIsFollowed) {
    co_return;
  }
  NoteStoreAnswer();
  ApplyList(*mConfigTopic, *list);
  mConfirmed.Confirm(NoteSource(list->mMirrorFreshness, requestedAt));
  Publish();
}

void
RelayFeed::BeginWatching()
{
  if (mSettings.mWatchesConfig || std::exchange(mIsWatching, true)) {
    return;
  }
  mLog.Write(EventLine(kFeedComponent, "watching"));
  mConfigTopic->mWait = mSettings.mWatcherWait;
  mConfigTopic->mIsListed = false;
  mEndpointTopic->mPauseAfterChange = mSettings.mWatcherPause;
  mQuarantineTopic->mIsListed =
    mQuarantineTopic->mIsListed && mQuarantineTopic->mIsFollowed;
  BeginFollowing(*mConfigTopic);
  BeginFollowing(*mQuarantineTopic);
}

void
RelayFeed::EndWatching()
{
  if (!std::exchange(mIsWatching, false)) {
    return;
  }
  mLog.Write(EventLine(kFeedComponent, "watching-ended"));
  mEndpointTopic->mPauseAfterChange = mSettings.mListPause;
  // It is not kept current any more, and would hide endpoints of services that
  // it does not contain.
  mView.mConfig = std::make_shared<const state::RelayConfig>();
}

bool
RelayFeed::IsFollowed(const Topic& aTopic) const
{
  if (&aTopic == mConfigTopic.get()) {
    return mSettings.mWatchesConfig || mIsWatching;
  }
  if (&aTopic == mQuarantineTopic.get()) {
    return mSettings.mFollowsQuarantine || mIsWatching;
  }
  return true;
}

Task<void>
RelayFeed::Follow(Topic& aTopic)
{
  state::ProgressPacer pacer(mSettings.mFirstPause, mSettings.mLongestPause);
  while (IsFollowed(aTopic)) {
    const auto calledAt = mClock.Now();
    const auto revision = aTopic.mRevision;
    aTopic.mRequestedAt = calledAt;
    aTopic.mIsAbandoned = false;
    Result<void> done;
    if (aTopic.mIsListed) {
      done = co_await WatchOnce(aTopic);
    } else {
      done = co_await ListOnce(aTopic);
    }
    const auto waited = MillisSince(aTopic.mRequestedAt.value_or(mClock.Now()));
    aTopic.mRequestedAt.reset();
    if (done) {
      NoteSuccess(aTopic);
      // A mirror is updated at intervals of its own.
      const bool isNew = aTopic.mRevision > revision || aTopic.mIsMirrored;
      const auto pause = pacer.PauseAfter(
        isNew, Millis(MillisSince(calledAt)), aTopic.mAllowedWait);
      if (pause > Millis(0)) {
        co_await transport::Sleep(state::JitteredPause(pause, mRandom));
      }
      continue;
    }
    if (aTopic.mIsAbandoned) {
      continue;
    }
    NoteCallFailure(aTopic, done.error(), Millis(waited));
    aTopic.mPause = std::clamp(
      aTopic.mPause * 2, mSettings.mFirstPause, mSettings.mLongestPause);
    co_await transport::Sleep(state::JitteredPause(aTopic.mPause, mRandom));
  }
  aTopic.mIsFollowed = false;
}

std::int64_t
RelayFeed::MillisSince(state::TimePoint aTime) const
{
  return std::chrono::duration_cast<Millis>(mClock.Now() - aTime).count();
}

Task<Result<void>>
RelayFeed::ListOnce(Topic& aTopic)
{
  aTopic.mAllowedWait = Millis(0);
  const auto list = co_await mPlatform.List(aTopic.mPrefix);
  if (!list) {
    co_return tl::unexpected(list.error());
  }
  NoteStoreAnswer();
  aTopic.mIsMirrored = list->mMirrorFreshness.has_value();
  const auto requestedAt = *std::exchange(aTopic.mRequestedAt, std::nullopt);
  const auto askedAt = NoteSource(list->mMirrorFreshness, requestedAt);
  aTopic.mIsListed = true;
  if (list->mRevision >= aTopic.mRevision) {
    ApplyList(aTopic, *list);
  }
  if (aTopic.mConfirmsConfig) {
    mConfirmed.Confirm(askedAt);
  }
  NoteFollowed(aTopic);
  NoteRevision(aTopic, list->mRevision, askedAt);
  mLog.Write(EventLine(kFeedComponent, "list-read")
               .Add("objects", aTopic.mPrefix)
               .Add("count", list->mObjects.size())
               .Add("revision", list->mRevision)
               .Add("mirrored", list->mMirrorFreshness.has_value())
               .Add("took_ms", MillisSince(requestedAt)));
  Publish();
  co_return Result<void>{};
}

Task<Result<void>>
RelayFeed::WatchOnce(Topic& aTopic)
{
  const Millis wait = IsProbing(aTopic) ? kProbeWait : aTopic.mWait;
  aTopic.mAllowedWait = wait;
  const auto after = aTopic.mRevision;
  const auto answer = co_await mPlatform.Watch(aTopic.mPrefix, after, wait);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  NoteStoreAnswer();
  aTopic.mIsMirrored = answer->mMirrorFreshness.has_value();
  if (answer->mIsGap) {
    aTopic.mIsListed = false;
    mHasEndpointGap |= &aTopic == mEndpointTopic.get();
    mLog.Write(EventLine(kFeedComponent, "watch-gap")
                 .Add("objects", aTopic.mPrefix)
                 .Add("revision", aTopic.mRevision));
    co_return Result<void>{};
  }
  const auto askedAt =
    NoteSource(answer->mMirrorFreshness,
               *std::exchange(aTopic.mRequestedAt, std::nullopt));
  // The list may have been read meanwhile, and contain some of the changes
  // already.
  const auto known = aTopic.mRevision;
  for (const auto& change : answer->mChanges) {
    if (known == after || change.mRevision > known) {
      ApplyChange(aTopic, change, answer->mMirrorFreshness.has_value());
    }
  }
  aTopic.mRevision = std::max(known, answer->mRevision);
  if (aTopic.mConfirmsConfig) {
    mConfirmed.Confirm(askedAt);
  }
  NoteFollowed(aTopic);
  NoteRevision(aTopic, answer->mRevision, askedAt);
  if (answer->mChanges.empty()) {
    PublishFreshness();
  } else {
    Publish();
    if (aTopic.mPauseAfterChange > Millis(0)) {
      mListPause.expires_after(aTopic.mPauseAfterChange);
      co_await mListPause.async_wait(kAsTuple);
    }
  }
  co_return Result<void>{};
}

state::TimePoint
RelayFeed::NoteSource(const std::optional<MirrorFreshness>& aSource,
                      state::TimePoint aRequestedAt)
{
  if (!aSource) {
    return aRequestedAt;
  }
  // Each answer gives the age anew, so the time computed from it varies by a
  // few milliseconds.
  const bool isNew = aSource->mOutageAt &&
                     *aSource->mOutageAt > mMirroredOutageAt + kMinFailureGap;
  if (isNew) {
    mMirroredOutageAt = *aSource->mOutageAt;
    mLastFailureAt = std::max(mLastFailureAt, mMirroredOutageAt);
    mDirectory.NoteOutage(mMirroredOutageAt);
    mHasEndpointGap = true;
  }
  return aSource->mAsOf;
}

void
RelayFeed::UpdateMirror()
{
  const auto now = mClock.Now();
  for (auto* topic : Topics()) {
    const auto& fresh = topic->mFreshness;
    const auto age =
      topic->mConfirmsConfig ? mConfirmed.Age(now) : fresh.Age(now);
    if (topic->mIsListed && age != Millis::max()) {
      mMirror.UpdateTopic(topic->mPrefix, fresh.Known(), now - age);
    }
  }
}

bool
RelayFeed::IsProbing(const Topic& aTopic) const
{
  const auto& first =
    IsFollowed(*mConfigTopic) ? *mConfigTopic : *mWeightsTopic;
  return aTopic.mIsLost && &aTopic == &first;
}

void
RelayFeed::NoteCallFailure(Topic& aTopic, const Error& aError, Millis aWaited)
{
  const auto now = mClock.Now();
  // A wait that the store itself ended says nothing about the time before.
  const bool isCut = aWaited < aTopic.mAllowedWait;
  const bool isOutage = NoteStoreFailure(isCut ? now : now - aWaited);
  if (std::exchange(aTopic.mIsLost, true)) {
    return;
  }
  mLog.Write(EventLine(kFeedComponent, "platform-lost")
               .Add("objects", aTopic.mPrefix)
               .Add("revision", aTopic.mRevision)
               .Add("waited_ms", aWaited.count())
               .Add("outage", isOutage)
               .Add("error", aError.Describe()));
}

void
RelayFeed::NoteSuccess(Topic& aTopic)
{
  aTopic.mPause = Millis(0);
  if (!std::exchange(aTopic.mIsLost, false)) {
    return;
  }
  mLog.Write(EventLine(kFeedComponent, "platform-regained")
               .Add("objects", aTopic.mPrefix)
               .Add("revision", aTopic.mRevision));
  AbandonOldCalls();
}

bool
RelayFeed::NoteStoreFailure(state::TimePoint aSince)
{
  mLastFailureAt = mClock.Now();
  const bool isOutage = mDirectory.NoteFailure(aSince, mLastFailureAt);
  if (isOutage) {
    mMirror.NoteOutage(mLastFailureAt);
  }
  return isOutage;
}

void
RelayFeed::NoteStoreAnswer()
{
  const auto now = mClock.Now();
  if (mDirectory.NoteAnswer(now)) {
    mMirror.NoteOutage(now);
    mHasEndpointGap = true;
  }
}

void
RelayFeed::NoteFollowed(const Topic& aTopic)
{
  if (&aTopic == mEndpointTopic.get() &&
      std::exchange(mHasEndpointGap, false)) {
    mEndpointsSince = mClock.Now();
  }
}

Task<void>
RelayFeed::ExpireEndpoints()
{
  while (true) {
    const auto now = mClock.Now();
    mExpiryDue =
      std::clamp(mDirectory.NextRemoval(now).value_or(now + kExpiryInterval),
                 now + kMinExpiryInterval,
                 now + kExpiryInterval);
    mExpiryTimer.expires_after(mExpiryDue - now);
    const auto [error] = co_await mExpiryTimer.async_wait(kAsTuple);
    if (!error && mDirectory.Expire(mClock.Now())) {
      Publish();
    }
  }
}

void
RelayFeed::Publish()
{
  const auto removal = mDirectory.NextRemoval(mClock.Now());
  if (removal && *removal < mExpiryDue) {
    mExpiryTimer.cancel();
  }
  mView.mEndpoints = KnownEndpoints();
  mView.mAreWeightsListed |= mWeightsTopic->mIsListed;
  mView.mFreshness = CurrentFreshness();
  FixLoadOrders();
  mOnView(std::make_shared<const RelayView>(mView));
}

void
RelayFeed::PublishFreshness()
{
  if (mOnConfirmed) {
    mOnConfirmed(CurrentFreshness());
  }
}

ViewFreshness
RelayFeed::CurrentFreshness() const
{
  const auto& endpoints = mEndpointTopic->mFreshness;
  return { mConfirmed.At(), endpoints.At(),    mRolloutTopic->mFreshness.At(),
           mEndpointsSince, endpoints.Known(), endpoints.Store() };
}

} // namespace shuntjunction::coordination
