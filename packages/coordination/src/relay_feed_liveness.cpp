// How a feed detects a dead watch: the call waits and does not fail, but the
// store never answers it.

#include <algorithm>
#include <array>

#include "relay_feed_topic.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Time within which a live watch reports a change that another answer already
/// showed. The store answers within 4 ms, under load some ten times that.
constexpr Millis kWatchGrace{ 200 };

/// Interval at which a list that is behind is checked meanwhile.
constexpr Millis kCheckPollInterval{ 50 };

/// Interval at which a process that does not watch the configuration checks
/// whether the store still answers: its own watches wait far longer.
constexpr Millis kStoreCheckInterval{ 3000 };

} // namespace

void
RelayFeed::NoteRevision(Topic& aTopic,
                        std::uint64_t aRevision,
                        state::TimePoint aRequestedAt)
{
  aTopic.mFreshness.NoteListRevision(aRevision, aRequestedAt);
  for (auto* other : Topics()) {
    // Revision 0 is that of a list that does not exist.
    if (other != &aTopic && aRevision != 0) {
      other->mFreshness.NoteStoreRevision(aRevision, aRequestedAt);
    }
  }
  UpdateMirror();
  if (IsFollowed(*mConfigTopic)) {
    CheckLists();
  }
}

bool
RelayFeed::ApplyList(Topic& aTopic, const ObjectList& aList)
{
  aTopic.mRevision = aList.mRevision;
  mMirror.MergeList(
    aTopic.mPrefix, aList.mRevision, aList.mObjects, mClock.Now());
  return aTopic.mApplyList(aList.mObjects);
}

void
RelayFeed::ApplyChange(Topic& aTopic,
                       const state::RawObject& aChange,
                       bool aIsMirrored)
{
  mMirror.MergeChange(aChange, mClock.Now());
  aTopic.mApplyChange(aChange);
  if (aIsMirrored) {
    // A removal that the other process found by listing again has the revision
    // of that list, at which another object may have changed.
    return;
  }
  for (auto* other : Topics()) {
    if (other != &aTopic) {
      other->mFreshness.NoteOtherRevision(aChange.mRevision);
    }
  }
}

// A pending watch without an answer looks the same whether nothing changed or
// its answer was lost: a relay in that state sent requests to leaving endpoints
// for up to 20 s. The watch of the configuration returns each second with the
// store's revision, so a change that another watch fails to report is noticed
// within 1.2 s, at the cost of one call for each change that none of them
// reports.
void
RelayFeed::CheckLists()
{
  for (auto* topic : Topics()) {
    const bool isDue = topic->mDetectsDeadWatch && topic->mIsListed &&
                       topic->mFreshness.IsBehind() && !topic->mIsBeingChecked;
    if (isDue) {
      topic->mIsBeingChecked = true;
      transport::Spawn(mContext, CheckList(*topic));
    }
  }
}

Task<void>
RelayFeed::CheckList(Topic& aTopic)
{
  const auto reportedAt = mClock.Now();
  const auto revision = aTopic.mFreshness.Store();
  while (aTopic.mFreshness.Known() < revision) {
    // Between two calls no answer is pending, and the next call follows anyway.
    const bool isSilent =
      aTopic.mRequestedAt &&
      mClock.Now() - std::max(*aTopic.mRequestedAt, reportedAt) >= kWatchGrace;
    if (isSilent) {
      co_await RereadList(aTopic);
      break;
    }
    co_await transport::Sleep(kCheckPollInterval);
  }
  aTopic.mIsBeingChecked = false;
}

Task<void>
RelayFeed::RereadList(Topic& aTopic)
{
  auto askedAt = mClock.Now();
  const auto list = co_await mPlatform.List(aTopic.mPrefix);
  if (!list) {
    // The next answer that shows a change triggers another attempt.
    NoteStoreFailure(askedAt);
    mLog.Write(EventLine(kFeedComponent, "list-unread")
                 .Add("objects", aTopic.mPrefix)
                 .Add("error", list.error().Describe()));
    co_return;
  }
  NoteStoreAnswer();
  if (list->mRevision <= aTopic.mRevision) {
    co_return;
  }
  askedAt = NoteSource(list->mMirrorFreshness, askedAt);
  const auto before = aTopic.mRevision;
  const bool isNews = ApplyList(aTopic, *list);
  mHasEndpointGap |= isNews && &aTopic == mEndpointTopic.get();
  NoteFollowed(aTopic);
  aTopic.mFreshness.NoteListRevision(list->mRevision, askedAt);
  UpdateMirror();
  if (!isNews) {
    PublishFreshness();
    co_return;
  }
  mLog.Write(EventLine(kFeedComponent, "watch-dead")
               .Add("objects", aTopic.mPrefix)
               .Add("revision", before)
               .Add("listed", list->mRevision));
  Publish();
  mLastFailureAt = mClock.Now();
  AbandonOldCalls();
}

void
RelayFeed::AbandonOldCalls()
{
  const auto topics = Topics();
  const bool isAny =
    std::any_of(topics.begin(), topics.end(), [&](const Topic* aTopic) {
      return aTopic->mRequestedAt && *aTopic->mRequestedAt <= mLastFailureAt;
    });
  if (!isAny) {
    return;
  }
  for (auto* topic : topics) {
    topic->mIsAbandoned = topic->mRequestedAt.has_value();
  }
  mPlatform.AbortPendingCalls();
}

std::array<RelayFeed::Topic*, 5>
RelayFeed::Topics() const
{
  return { mConfigTopic.get(),
           mEndpointTopic.get(),
           mWeightsTopic.get(),
           mQuarantineTopic.get(),
           mRolloutTopic.get() };
}

Task<void>
RelayFeed::CheckStoreLiveness()
{
  bool areWatchesStale = false;
  while (true) {
    co_await transport::Sleep(kStoreCheckInterval);
    if (mWeightsTopic->mIsLost || mIsWatching) {
      // It retries by itself, or the watch of the configuration shows the
      // change.
      continue;
    }
    const auto list = co_await mPlatform.ListCached(mCodec.WeightsPrefix());
    // The watch should have reported newer weights and won't any more.
    if (!list || HasNewerWeights(*list)) {
      areWatchesStale = true;
      mLastFailureAt = mClock.Now();
    }
    if (list && std::exchange(areWatchesStale, false)) {
      mLog.Write(EventLine(kFeedComponent, "watches-renewed")
                   .Add("objects", mWeightsTopic->mPrefix)
                   .Add("revision", mWeightsTopic->mRevision));
      AbandonOldCalls();
    }
  }
}

} // namespace shuntjunction::coordination
