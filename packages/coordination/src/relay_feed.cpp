// How a feed follows the store: lists, watches, and the store's loss and
// return.

#include "shuntjunction/coordination/relay_feed.h"

#include <algorithm>
#include <array>
#include <random>

#include "relay_feed_topic.h"
#include "shuntjunction/state/spread_pause.h"

namespace shuntjunction::coordination {

using state::Error;
using state::Millis;
using state::RawObject;
using state::Result;
using transport::Task;

namespace {

/// How often lapsed entries are looked at.
constexpr Millis kExpiryInterval{ 500 };

/// Wait of a watch that only asks whether the store is back: it answers at
/// once.
constexpr Millis kProbeWait{ 1 };

/// How often a process that does not watch the configuration looks whether the
/// store still answers: its own watches wait far longer.
constexpr Millis kPulseInterval{ 3000 };

} // namespace

RelayFeed::RelayFeed(transport::asio::io_context& aContext,
                     const RelayFeedSettings& aSettings,
                     Platform& aPlatform,
                     const StoreCodec& aCodec,
                     const state::Clock& aClock,
                     EventLog& aLog,
                     Taker aTake)
  : mContext(aContext)
  , mSettings(aSettings)
  , mPlatform(aPlatform)
  , mCodec(aCodec)
  , mClock(aClock)
  , mLog(aLog)
  , mTake(std::move(aTake))
  , mConfigTopic(std::make_unique<Topic>())
  , mEndpointTopic(std::make_unique<Topic>())
  , mWeightsTopic(std::make_unique<Topic>())
  , mRandom(std::random_device{}())
{
  const auto each = [](auto aTake) {
    return [aTake](const std::vector<RawObject>& aObjects) {
      for (const auto& object : aObjects) {
        aTake(object);
      }
    };
  };
  const auto takeConfig = [this](const RawObject& aObject) {
    TakeConfig(aObject);
  };
  const auto takeWeights = [this](const RawObject& aObject) {
    TakeWeights(aObject);
  };
  *mConfigTopic = Topic{ mCodec.ConfigPrefix(),
                         mSettings.mConfigWait,
                         Millis(0),
                         true,
                         each(takeConfig),
                         takeConfig };
  *mWeightsTopic =
    Topic{ mCodec.WeightsPrefix(), mSettings.mListWait, Millis(0), false,
           each(takeWeights),      takeWeights };
  *mEndpointTopic =
    Topic{ mCodec.EndpointPrefix(),
           mSettings.mListWait,
           mSettings.mListPause,
           false,
           [this](const auto& aObjects) { TakeEndpointList(aObjects); },
           [this](const auto& aObject) { TakeEndpoint(aObject); } };
}

RelayFeed::~RelayFeed() = default;

void
RelayFeed::Start()
{
  if (mSettings.mWatchesConfig) {
    transport::Spawn(mContext, Follow(*mConfigTopic));
  }
  transport::Spawn(mContext, Follow(*mEndpointTopic));
  transport::Spawn(mContext, Follow(*mWeightsTopic));
  transport::Spawn(mContext, ExpireLapsed());
  if (!mSettings.mWatchesConfig) {
    transport::Spawn(mContext, CheckPulse());
  }
}

Task<void>
RelayFeed::Follow(Topic& aTopic)
{
  while (true) {
    aTopic.mAskedAt = mClock.Now();
    aTopic.mIsAbandoned = false;
    Result<void> done;
    if (aTopic.mIsListed) {
      done = co_await WatchOnce(aTopic);
    } else {
      done = co_await ListOnce(aTopic);
    }
    aTopic.mAskedAt.reset();
    if (done) {
      NoteSuccess(aTopic);
      continue;
    }
    if (aTopic.mIsAbandoned) {
      continue;
    }
    NoteTrouble(aTopic, done.error());
    aTopic.mPause = std::clamp(
      aTopic.mPause * 2, mSettings.mFirstPause, mSettings.mLongestPause);
    co_await transport::Sleep(state::SpreadPause(aTopic.mPause, mRandom));
  }
}

Task<Result<void>>
RelayFeed::ListOnce(Topic& aTopic)
{
  const auto list = co_await mPlatform.List(aTopic.mPrefix);
  if (!list) {
    co_return tl::unexpected(list.error());
  }
  aTopic.mRevision = list->mRevision;
  aTopic.mIsListed = true;
  NoteRevision(aTopic, list->mRevision);
  aTopic.mTakeList(list->mObjects);
  if (aTopic.mConfirms) {
    mConfirmed.Confirm(*aTopic.mAskedAt);
  }
  Publish();
  co_return Result<void>{};
}

Task<Result<void>>
RelayFeed::WatchOnce(Topic& aTopic)
{
  const Millis wait = IsProbing(aTopic) ? kProbeWait : aTopic.mWait;
  const auto answer =
    co_await mPlatform.Watch(aTopic.mPrefix, aTopic.mRevision, wait);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  if (answer->mIsGap) {
    aTopic.mIsListed = false;
    mLog.Write(EventLine(kFeedPart, "watch-gap")
                 .Add("objects", aTopic.mPrefix)
                 .Add("revision", aTopic.mRevision));
    co_return Result<void>{};
  }
  aTopic.mRevision = std::max(aTopic.mRevision, answer->mRevision);
  NoteRevision(aTopic, answer->mRevision);
  for (const auto& change : answer->mChanges) {
    aTopic.mTakeChange(change);
  }
  if (aTopic.mConfirms) {
    mConfirmed.Confirm(*aTopic.mAskedAt);
  }
  if (!answer->mChanges.empty()) {
    Publish();
    if (aTopic.mPauseAfterChange > Millis(0)) {
      co_await transport::Sleep(aTopic.mPauseAfterChange);
    }
  }
  co_return Result<void>{};
}

void
RelayFeed::NoteRevision(const Topic& aTopic, std::uint64_t aRevision)
{
  if (&aTopic == mEndpointTopic.get()) {
    mEndpointList.TakeOwn(aRevision, *aTopic.mAskedAt);
  } else {
    mEndpointList.TakeStore(aRevision, *aTopic.mAskedAt);
  }
}

bool
RelayFeed::IsProbing(const Topic& aTopic) const
{
  const auto& first = mSettings.mWatchesConfig ? *mConfigTopic : *mWeightsTopic;
  return aTopic.mIsLost && &aTopic == &first;
}

void
RelayFeed::NoteTrouble(Topic& aTopic, const Error& aError)
{
  mTroubleAt = mClock.Now();
  mDirectory.NoteOutage(mTroubleAt);
  if (std::exchange(aTopic.mIsLost, true)) {
    return;
  }
  mLog.Write(EventLine(kFeedPart, "platform-lost")
               .Add("objects", aTopic.mPrefix)
               .Add("revision", aTopic.mRevision)
               .Add("error", aError.Describe()));
}

void
RelayFeed::NoteSuccess(Topic& aTopic)
{
  aTopic.mPause = Millis(0);
  if (!std::exchange(aTopic.mIsLost, false)) {
    return;
  }
  mLog.Write(EventLine(kFeedPart, "platform-regained")
               .Add("objects", aTopic.mPrefix)
               .Add("revision", aTopic.mRevision));
  AbandonOldCalls();
}

void
RelayFeed::AbandonOldCalls()
{
  const std::array topics{ mConfigTopic.get(),
                           mEndpointTopic.get(),
                           mWeightsTopic.get() };
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

Task<void>
RelayFeed::CheckPulse()
{
  bool areWatchesStale = false;
  while (true) {
    co_await transport::Sleep(kPulseInterval);
    if (mWeightsTopic->mIsLost) {
      // It asks again by itself.
      continue;
    }
    const auto list = co_await mPlatform.Glance(mCodec.WeightsPrefix());
    // Newer weights the watch should have told: it is not going to.
    if (!list || HasNewerWeights(*list)) {
      areWatchesStale = true;
      mTroubleAt = mClock.Now();
    }
    if (list && std::exchange(areWatchesStale, false)) {
      mLog.Write(EventLine(kFeedPart, "watches-renewed")
                   .Add("objects", mWeightsTopic->mPrefix)
                   .Add("revision", mWeightsTopic->mRevision));
      AbandonOldCalls();
    }
  }
}

Task<void>
RelayFeed::ExpireLapsed()
{
  while (true) {
    co_await transport::Sleep(kExpiryInterval);
    if (mDirectory.Expire(mClock.Now())) {
      Publish();
    }
  }
}

void
RelayFeed::Publish()
{
  mView.mEndpoints = mDirectory.Endpoints();
  mTake(std::make_shared<const RelayView>(mView));
}

} // namespace shuntjunction::coordination
