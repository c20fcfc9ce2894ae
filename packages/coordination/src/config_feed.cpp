#include "shuntjunction/coordination/config_feed.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/state/digest.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/progress_pacer.h"

namespace shuntjunction::coordination {

using state::MergeOutcome;
using state::Millis;
using transport::Task;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Millis kFirstWatch{ 500 };
constexpr double kJitter = 0.5; ///< fraction by which a pause may be longer

/// Longest pause between calls that return nothing new.
constexpr Millis kLongestPause{ 2000 };

Millis
MillisSince(state::TimePoint aTime)
{
  return std::chrono::duration_cast<Millis>(state::BootClock::now() - aTime);
}

} // namespace

ConfigFeed::ConfigFeed(boost::asio::io_context& aContext,
                       const ConfigFeedSettings& aSettings,
                       Platform& aPlatform,
                       OnConfig aOnConfig)
  : mContext(aContext)
  , mSettings(aSettings)
  , mPlatform(aPlatform)
  , mOnConfig(std::move(aOnConfig))
  , mPeers(aContext, aSettings.mName, aSettings.mSecret)
  , mCompanions(aContext, aSettings.mName, aSettings.mSecret)
  , mRandom(state::PlacementHash(state::RandomNonce()))
  , mLog("config")
{
}

void
ConfigFeed::Start()
{
  transport::Spawn(mContext, FollowConfig());
  transport::Spawn(mContext, FollowInstances());
  transport::Spawn(mContext, FollowCompanions());
}

void
ConfigFeed::Publish()
{
  PublishedConfig published;
  published.mSnapshot = mStore.Current();
  published.mInstances = mInstances;
  published.mInstancesRevision = mInstancesRevision;
  published.mText = std::make_shared<const std::string>(mStore.Serialize());
  published.mInstancesText =
    std::make_shared<const std::string>(InstancesText());
  published.mRecent =
    std::make_shared<const state::RecentChanges>(mStore.Recent());
  mOnConfig(std::move(published));
}

void
ConfigFeed::LogActiveConfig() const
{
  const auto& snapshot = *mStore.Current();
  mLog.Info("configuration version " +
            std::to_string(snapshot.mVersion.mRevision) + " of epoch " +
            std::to_string(snapshot.mVersion.mEpoch) + " is active.");
  for (const auto& object : snapshot.mQuarantined) {
    mLog.Warn("object " + object.mKey + " of revision " +
              std::to_string(object.mRevision) +
              " is not applied: " + object.mReason + ".");
  }
}

std::string
ConfigFeed::InstancesText() const
{
  json::array instances;
  for (const auto& instance : *mInstances) {
    instances.push_back(WriteInstance(instance));
  }
  return json::serialize(json::object{ { "revision", mInstancesRevision },
                                       { "instances", std::move(instances) } });
}

void
ConfigFeed::NoteOutcome(MergeOutcome aOutcome, std::uint64_t aRevision)
{
  switch (aOutcome) {
    case MergeOutcome::kApplied:
      mWasRestoreReported = false;
      LogActiveConfig();
      Publish();
      return;
    case MergeOutcome::kUnchanged:
      mWasRestoreReported = false;
      return;
    case MergeOutcome::kOlder:
      ++mCounters.mStaleAnswers;
      if (!std::exchange(mWasRestoreReported, true)) {
        mLog.Warn("the platform answers with revision " +
                  std::to_string(aRevision) + ", older than revision " +
                  std::to_string(mStore.Cursor().mRevision) +
                  " seen before; the answer is ignored.");
      }
      return;
  }
}

Task<bool>
ConfigFeed::ListAll()
{
  ++mCounters.mPlatformCalls;
  const auto list = co_await mPlatform.List(std::string(state::kConfigPrefix));
  if (!list) {
    ++mCounters.mPlatformErrors;
    mLog.Warn("listing the configuration failed: " + list.error().Describe() +
              ".");
    co_return false;
  }
  const auto outcome = mStore.ApplyList(list->mRevision, list->mObjects);
  NoteOutcome(outcome, list->mRevision);
  co_return outcome != MergeOutcome::kOlder;
}

Millis
ConfigFeed::WatchWait() const
{
  // Without instances it is unknown whether this process is a watcher.
  return mInstances->empty() ? kFirstWatch : mSettings.mWatchTimeout;
}

Task<bool>
ConfigFeed::WatchOnce()
{
  ++mCounters.mPlatformCalls;
  const std::uint64_t after = mStore.Cursor().mRevision;
  const Millis wait = WatchWait();
  const auto watch =
    co_await mPlatform.Watch(std::string(state::kConfigPrefix), after, wait);
  if (!watch) {
    ++mCounters.mPlatformErrors;
    mLog.Warn("watching the configuration failed: " + watch.error().Describe() +
              ".");
    co_return false;
  }
  const bool isNewEpoch = std::any_of(
    watch->mChanges.begin(), watch->mChanges.end(), [](const auto& aChange) {
      return aChange.mKey == state::kEpochKey;
    });
  if (watch->mIsGap || isNewEpoch || mStore.Cursor().mRevision != after) {
    // Changes were lost, the platform was restored, or a peer's snapshot came
    // first: the answer does not continue the current state.
    mCounters.mGaps += watch->mIsGap ? 1 : 0;
    co_return co_await ListAll();
  }
  if (watch->mChanges.empty() && !co_await IsEpochCurrent()) {
    co_return co_await ListAll();
  }
  const auto outcome = mStore.ApplyChanges(watch->mRevision, watch->mChanges);
  NoteOutcome(outcome, watch->mRevision);
  if (outcome == MergeOutcome::kOlder) {
    co_return co_await ListAll();
  }
  co_return true;
}

Task<bool>
ConfigFeed::IsEpochCurrent()
{
  // A restored platform may already be past the revision that this process
  // knows, and a watch does not show that.
  ++mCounters.mPlatformCalls;
  const auto found = co_await mPlatform.Read(std::string(state::kEpochKey));
  if (!found || !*found) {
    co_return true;
  }
  const auto value = state::ParseJson((*found)->mValue, state::kEpochKey);
  const std::uint64_t epoch = value ? state::ReadEpoch(*value).value_or(0) : 0;
  co_return epoch <= Version().mEpoch;
}

Task<void>
ConfigFeed::FollowConfig()
{
  bool isListed = false;
  state::ProgressPacer pacer(mSettings.mRetryPause, kLongestPause);
  while (true) {
    if (isListed && !IsWatcher()) {
      mHasWatchers = co_await QueryWatchers();
      if (mHasWatchers) {
        co_await PauseBetweenQueries();
        continue;
      }
    }
    mHasWatchers = false;
    const auto before = mStore.Cursor();
    const auto calledAt = state::BootClock::now();
    const Millis wait = isListed ? WatchWait() : Millis(0);
    const bool isGood = isListed ? co_await WatchOnce() : co_await ListAll();
    if (isGood) {
      isListed = true;
      co_await transport::Sleep(Jittered(pacer.PauseAfter(
        mStore.Cursor() != before, MillisSince(calledAt), wait)));
      continue;
    }
    // Changes may have been missed meanwhile: list again.
    isListed = false;
    co_await QueryPeers();
    co_await PauseAfterFailure();
  }
}

ConfigFeedCounters
ConfigFeed::Counters() const
{
  ConfigFeedCounters counters = mCounters;
  for (const auto* client : { &mPeers, &mCompanions }) {
    const auto& passed = client->Counters();
    counters.mPeerBytes += passed.mBytesIn + passed.mBytesOut;
  }
  return counters;
}

Millis
ConfigFeed::Jittered(Millis aPause)
{
  std::uniform_real_distribution<double> jitter(1.0, 1.0 + kJitter);
  const auto pause = static_cast<double>(aPause.count());
  return Millis(static_cast<std::int64_t>(pause * jitter(mRandom)));
}

Task<void>
ConfigFeed::PauseAfterFailure()
{
  co_await transport::Sleep(Jittered(mSettings.mRetryPause));
}

Task<void>
ConfigFeed::PauseBetweenQueries()
{
  co_await transport::Sleep(Jittered(mSettings.mWatchers.mQueryInterval));
}

Task<void>
ConfigFeed::FollowInstances()
{
  bool isFirst = true;
  state::ProgressPacer pacer(mSettings.mRetryPause, kLongestPause);
  while (true) {
    if (!isFirst && mHasWatchers) {
      co_await PauseBetweenQueries();
      continue;
    }
    ++mCounters.mPlatformCalls;
    const std::uint64_t after = isFirst ? 0 : mInstancesRevision;
    const auto calledAt = state::BootClock::now();
    const auto list =
      co_await mPlatform.Instances(after, mSettings.mWatchTimeout);
    if (!list) {
      ++mCounters.mPlatformErrors;
      mLog.Warn("listing the instances failed: " + list.error().Describe() +
                ".");
      co_await PauseAfterFailure();
      continue;
    }
    isFirst = false;
    // The list only names instances that may exist, so an older one does no
    // harm.
    mInstancesRevision = list->mRevision;
    if (*mInstances != list->mInstances) {
      mInstances = std::make_shared<const std::vector<state::InstanceInfo>>(
        list->mInstances);
      Publish();
    }
    co_await transport::Sleep(
      Jittered(pacer.PauseAfter(list->mRevision > after,
                                MillisSince(calledAt),
                                mSettings.mWatchTimeout)));
  }
}

protocol::SnapshotReply
PublishedConfig::ReplyTo(const protocol::SnapshotRequest& aHave) const
{
  protocol::SnapshotReply reply;
  reply.mVersion = Version();
  if (!mText) {
    return reply;
  }
  if (reply.mVersion > aHave.mKnownVersion) {
    const auto have = state::ConfigVersion::Unpack(aHave.mKnownVersion);
    reply.mText = mRecent->SerializeSince(have.mEpoch, have.mRevision);
    if (reply.mText.empty()) {
      reply.mText = *mText;
    }
  }
  if (mInstancesRevision > aHave.mKnownInstances) {
    reply.mInstances = *mInstancesText;
  }
  return reply;
}

} // namespace shuntjunction::coordination
