// How a feed finds out that a watch is dead: it waits, no call fails, and the
// store never answers it.

#include <algorithm>
#include <array>

#include "relay_feed_topic.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Time in which a live watch tells of a change of which another answer told
/// already; an answer of the store takes 4 ms, under load some ten times that.
constexpr Millis kWatchGrace{ 200 };

/// How often a list that is behind is looked at meanwhile.
constexpr Millis kCheckPollInterval{ 50 };

/// How often a process that does not watch the configuration looks whether the
/// store still answers: its own watches wait far longer.
constexpr Millis kStoreCheckInterval{ 3000 };

} // namespace

void
RelayFeed::NoteRevision(Topic& aTopic,
                        std::uint64_t aRevision,
                        state::TimePoint aAskedAt)
{
  aTopic.mFreshness.NoteListRevision(aRevision, aAskedAt);
  for (auto* other : Topics()) {
    if (other != &aTopic) {
      other->mFreshness.NoteStoreRevision(aRevision, aAskedAt);
    }
  }
  UpdateMirror();
  if (IsFollowed(*mConfigTopic)) {
    CheckLists();
  }
}

bool
RelayFeed::MergeList(Topic& aTopic, const ObjectList& aList)
{
  aTopic.mRevision = aList.mRevision;
  mMirror.MergeList(
    aTopic.mPrefix, aList.mRevision, aList.mObjects, mClock.Now());
  return aTopic.mApplyList(aList.mObjects);
}

void
RelayFeed::MergeChange(Topic& aTopic, const state::RawObject& aChange)
{
  mMirror.MergeChange(aChange, mClock.Now());
  aTopic.mApplyChange(aChange);
  for (auto* other : Topics()) {
    if (other != &aTopic) {
      other->mFreshness.NoteOtherRevision(aChange.mRevision);
    }
  }
}

// A waiting watch that says nothing looks the same whether nothing changed or
// its answer was lost: such a relay sent to leaving endpoints for up to 20 s.
// The watch of the configuration returns each second and tells the store's
// revision, so whatever the other watches keep to themselves is noticed within
// 1.2 s, at the price of a call for each change that none of them tells.
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
  const auto toldAt = mClock.Now();
  const auto revision = aTopic.mFreshness.Store();
  while (aTopic.mFreshness.Known() < revision) {
    // Between two calls it waits for nothing, and will ask by itself.
    const bool isMute =
      aTopic.mAskedAt &&
      mClock.Now() - std::max(*aTopic.mAskedAt, toldAt) >= kWatchGrace;
    if (isMute) {
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
    // The next answer that tells of a change asks for it again.
    mTroubleAt = mClock.Now();
    mDirectory.NoteOutage(mTroubleAt);
    mLog.Write(EventLine(kFeedComponent, "list-unread")
                 .Add("objects", aTopic.mPrefix)
                 .Add("error", list.error().Describe()));
    co_return;
  }
  if (list->mRevision <= aTopic.mRevision) {
    co_return;
  }
  askedAt = NoteSource(list->mMirrorFreshness, askedAt);
  const auto before = aTopic.mRevision;
  const bool isNews = MergeList(aTopic, *list);
  aTopic.mFreshness.NoteListRevision(list->mRevision, askedAt);
  UpdateMirror();
  if (!isNews) {
    co_return;
  }
  mLog.Write(EventLine(kFeedComponent, "watch-dead")
               .Add("objects", aTopic.mPrefix)
               .Add("revision", before)
               .Add("listed", list->mRevision));
  Publish();
  mTroubleAt = mClock.Now();
  AbandonOldCalls();
}

void
RelayFeed::AbandonOldCalls()
{
  const auto topics = Topics();
  const bool isAny =
    std::any_of(topics.begin(), topics.end(), [&](const Topic* aTopic) {
      return aTopic->mAskedAt && *aTopic->mAskedAt <= mTroubleAt;
    });
  if (!isAny) {
    return;
  }
  for (auto* topic : topics) {
    topic->mIsAbandoned = topic->mAskedAt.has_value();
  }
  mPlatform.AbandonCalls();
}

std::array<RelayFeed::Topic*, 4>
RelayFeed::Topics() const
{
  return { mConfigTopic.get(),
           mEndpointTopic.get(),
           mWeightsTopic.get(),
           mQuarantineTopic.get() };
}

Task<void>
RelayFeed::CheckStoreLiveness()
{
  bool areWatchesStale = false;
  while (true) {
    co_await transport::Sleep(kStoreCheckInterval);
    if (mWeightsTopic->mIsLost || mIsWatching) {
      // It asks again by itself, or the configuration's watch tells.
      continue;
    }
    const auto list = co_await mPlatform.ListCached(mCodec.WeightsPrefix());
    // Newer weights the watch should have told: it is not going to.
    if (!list || HasNewerWeights(*list)) {
      areWatchesStale = true;
      mTroubleAt = mClock.Now();
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
