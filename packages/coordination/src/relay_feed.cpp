#include "shuntjunction/coordination/relay_feed.h"

#include <algorithm>
#include <array>
#include <random>

#include "shuntjunction/state/load_turns.h"

namespace shuntjunction::coordination {

using state::Error;
using state::ErrorCode;
using state::Millis;
using state::RawObject;
using state::Result;
using transport::Task;

namespace {

constexpr std::string_view kPart = "feed";

/// How often lapsed entries are looked at.
constexpr Millis kExpiryInterval{ 500 };

/// Wait of a watch that only asks whether the store is back: it answers at
/// once.
constexpr Millis kProbeWait{ 1 };

/// How often a process that does not watch the configuration looks whether the
/// store still answers: its own watches wait far longer.
constexpr Millis kPulseInterval{ 3000 };

/// Versions of a model that are remembered; older ones are out of use.
constexpr std::size_t kMaxNamings = 16;

} // namespace

std::optional<state::TimePoint>
NamedWeightsNews::SupersededAt(std::uint64_t aVersion) const
{
  for (const auto& naming : mNamings) {
    if (naming.mVersion > aVersion) {
      return naming.mKnownAt;
    }
  }
  return std::nullopt;
}

/// One kind of objects that is followed.
struct RelayFeed::Topic
{
  std::string mPrefix;
  Millis mWait;
  Millis mPauseAfterChange;
  bool mConfirms = false;
  std::function<void(const std::vector<RawObject>&)> mTakeList;
  std::function<void(const RawObject&)> mTakeChange;

  std::uint64_t mRevision = 0;
  bool mIsListed = false;
  bool mIsLost = false; ///< the last call failed
  /// When the call that waits was made; empty while none waits.
  std::optional<state::TimePoint> mAskedAt;
  bool mIsAbandoned = false; ///< that call was ended by this process itself
  Millis mPause{ 0 };
};

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
    // Spread, so that processes that lost the store together do not come back
    // together.
    std::uniform_int_distribution<std::int64_t> spread(
      aTopic.mPause.count() / 2, aTopic.mPause.count());
    co_await transport::Sleep(Millis(spread(mRandom)));
  }
}

Task<Result<void>>
RelayFeed::ListOnce(Topic& aTopic)
{
  const auto askedAt = mClock.Now();
  const auto list = co_await mPlatform.List(aTopic.mPrefix);
  if (!list) {
    co_return tl::unexpected(list.error());
  }
  aTopic.mRevision = list->mRevision;
  aTopic.mIsListed = true;
  aTopic.mTakeList(list->mObjects);
  if (aTopic.mConfirms) {
    mConfirmed.Confirm(askedAt);
  }
  Publish();
  co_return Result<void>{};
}

Task<Result<void>>
RelayFeed::WatchOnce(Topic& aTopic)
{
  const auto askedAt = mClock.Now();
  const Millis wait = IsProbing(aTopic) ? kProbeWait : aTopic.mWait;
  const auto answer =
    co_await mPlatform.Watch(aTopic.mPrefix, aTopic.mRevision, wait);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  if (answer->mIsGap) {
    aTopic.mIsListed = false;
    mLog.Write(EventLine(kPart, "watch-gap")
                 .Add("objects", aTopic.mPrefix)
                 .Add("revision", aTopic.mRevision));
    co_return Result<void>{};
  }
  aTopic.mRevision = std::max(aTopic.mRevision, answer->mRevision);
  for (const auto& change : answer->mChanges) {
    aTopic.mTakeChange(change);
  }
  if (aTopic.mConfirms) {
    mConfirmed.Confirm(askedAt);
  }
  if (!answer->mChanges.empty()) {
    Publish();
    if (aTopic.mPauseAfterChange > Millis(0)) {
      co_await transport::Sleep(aTopic.mPauseAfterChange);
    }
  }
  co_return Result<void>{};
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
  mLog.Write(EventLine(kPart, "platform-lost")
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
  mLog.Write(EventLine(kPart, "platform-regained")
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

void
RelayFeed::TakeConfig(const RawObject& aObject)
{
  if (!mCodec.IsConfig(aObject.mKey) || aObject.mValue.empty()) {
    return;
  }
  auto rules = mCodec.ReadRules(aObject.mValue);
  if (!rules) {
    mLog.Write(EventLine(kPart, "config-refused")
                 .Add("object", aObject.mKey)
                 .Add("revision", aObject.mRevision)
                 .Add("in_force", mView.mConfig->Version())
                 .Add("error", rules.error().Describe()));
    return;
  }
  if (rules->mVersion <= mView.mConfig->Version()) {
    return;
  }
  mView.mConfig = std::make_shared<const state::RelayConfig>(std::move(*rules));
  mLog.Write(EventLine(kPart, "config")
               .Add("version", mView.mConfig->Version())
               .Add("revision", aObject.mRevision)
               .Add("routes", mView.mConfig->Rules().mRoutes.size())
               .Add("teams", mView.mConfig->Rules().mTeams.size()));
}

void
RelayFeed::TakeEndpoint(const RawObject& aObject)
{
  const auto now = mClock.Now();
  const std::string id = aObject.mKey.substr(aObject.mKey.rfind('/') + 1);
  if (aObject.mValue.empty()) {
    mDirectory.Remove(id, now);
    mLog.Write(EventLine(kPart, "endpoint-removed")
                 .Add("endpoint", id)
                 .Add("revision", aObject.mRevision));
    return;
  }
  auto endpoint = mCodec.ReadEndpoint(aObject.mKey, aObject.mValue);
  if (!endpoint) {
    mLog.Write(EventLine(kPart, "endpoint-refused")
                 .Add("object", aObject.mKey)
                 .Add("error", endpoint.error().Describe()));
    return;
  }
  endpoint->mRevision = aObject.mRevision;
  mDirectory.Put(*endpoint);
  EventLine line(kPart, "endpoint");
  line.Add("endpoint", id)
    .Add("address", endpoint->mAddress)
    .Add("leaving", endpoint->mIsLeaving)
    .Add("revision", aObject.mRevision);
  if (!endpoint->mModels.empty()) {
    line.Add("weights", endpoint->mModels.front().mVersion);
  }
  mLog.Write(std::move(line));
}

void
RelayFeed::TakeEndpointList(const std::vector<RawObject>& aObjects)
{
  std::vector<state::EndpointInfo> listed;
  for (const auto& object : aObjects) {
    auto endpoint = mCodec.ReadEndpoint(object.mKey, object.mValue);
    if (endpoint) {
      endpoint->mRevision = object.mRevision;
      listed.push_back(std::move(*endpoint));
    } else {
      mLog.Write(EventLine(kPart, "endpoint-refused")
                   .Add("object", object.mKey)
                   .Add("error", endpoint.error().Describe()));
    }
  }
  mDirectory.TakeList(listed, mClock.Now());
  mLog.Write(EventLine(kPart, "endpoint-list")
               .Add("endpoints", listed.size())
               .Add("revision", mEndpointTopic->mRevision));
}

void
RelayFeed::TakeWeights(const RawObject& aObject)
{
  if (aObject.mValue.empty()) {
    return;
  }
  const auto weights = mCodec.ReadWeights(aObject.mKey, aObject.mValue);
  if (!weights) {
    mLog.Write(EventLine(kPart, "weights-refused")
                 .Add("object", aObject.mKey)
                 .Add("error", weights.error().Describe()));
    return;
  }
  auto& known = mView.mWeights[weights->mModel];
  if (weights->mVersion <= known.Newest()) {
    return;
  }
  known.mNamings.push_back({ weights->mVersion, mClock.Now() });
  if (known.mNamings.size() > kMaxNamings) {
    known.mNamings.erase(known.mNamings.begin());
  }
  known.mLoadOrder = state::LoadOrder(mDirectory.Endpoints(), *weights);
  mLog.Write(EventLine(kPart, "weights-named")
               .Add("model", weights->mModel)
               .Add("weights", weights->mVersion)
               .Add("revision", aObject.mRevision));
}

Task<void>
RelayFeed::CheckPulse()
{
  bool isLost = false;
  while (true) {
    co_await transport::Sleep(kPulseInterval);
    if (mWeightsTopic->mIsLost) {
      // It asks again by itself.
      continue;
    }
    const auto list = co_await mPlatform.Glance(mCodec.WeightsPrefix());
    if (!list) {
      isLost = true;
      mTroubleAt = mClock.Now();
      continue;
    }
    if (HasNewerWeights(*list)) {
      // The watch should have told: it is not going to.
      mTroubleAt = mClock.Now();
      isLost = true;
    }
    if (std::exchange(isLost, false)) {
      mLog.Write(EventLine(kPart, "watches-renewed")
                   .Add("objects", mWeightsTopic->mPrefix)
                   .Add("revision", mWeightsTopic->mRevision));
      AbandonOldCalls();
    }
  }
}

bool
RelayFeed::HasNewerWeights(const ObjectList& aList) const
{
  return std::any_of(
    aList.mObjects.begin(), aList.mObjects.end(), [&](const auto& aObject) {
      const auto weights = mCodec.ReadWeights(aObject.mKey, aObject.mValue);
      const auto known =
        weights ? mView.mWeights.find(weights->mModel) : mView.mWeights.end();
      return weights && (known == mView.mWeights.end() ||
                         known->second.Newest() < weights->mVersion);
    });
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
