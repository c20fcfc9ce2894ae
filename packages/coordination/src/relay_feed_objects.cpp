// How a feed applies the store's objects to its view.

#include <algorithm>

#include "relay_feed_topic.h"
#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/state/load_schedule.h"
#include "shuntjunction/state/settings.h"

namespace shuntjunction::coordination {

std::map<std::string, std::string>
CompanionZones(const std::vector<state::EndpointInfo>& aEndpoints)
{
  std::map<std::string, std::string> zoneByHost;
  for (const auto& endpoint : aEndpoints) {
    const auto address = state::ParseAddress(endpoint.mAddress);
    if (address && !endpoint.mModels.empty()) {
      zoneByHost[address->mHost] = endpoint.mZone;
    }
  }
  return zoneByHost;
}

using state::RawObject;

namespace {

/// Unreadable objects whose last revision is remembered, so that each is logged
/// once.
constexpr std::size_t kMaxRefused = 1024;

/// Id of the endpoint that an entry describes.
std::string
IdOf(const RawObject& aObject)
{
  return aObject.mKey.substr(aObject.mKey.find('/') + 1);
}

} // namespace

bool
RelayFeed::ApplyConfig(const RawObject& aObject)
{
  if (!mCodec.IsConfig(aObject.mKey) || aObject.mValue.empty()) {
    return false;
  }
  auto rules = mCodec.ReadRules(aObject.mValue);
  if (!rules) {
    RefuseObject("config-refused", aObject, rules.error());
    return false;
  }
  if (rules->mVersion <= mView.mConfig->Version()) {
    return false;
  }
  mView.mConfig = std::make_shared<const state::RelayConfig>(std::move(*rules));
  mLog.Write(EventLine(kFeedComponent, "config")
               .Add("version", mView.mConfig->Version())
               .Add("revision", aObject.mRevision)
               .Add("routes", mView.mConfig->Rules().mRoutes.size())
               .Add("teams", mView.mConfig->Rules().mTeams.size()));
  return true;
}

void
RelayFeed::RefuseObject(std::string_view aEvent,
                        const RawObject& aObject,
                        const state::Error& aError)
{
  if (mRefused.size() >= kMaxRefused) {
    mRefused.clear();
  }
  auto& revision = mRefused[aObject.mKey];
  if (std::exchange(revision, aObject.mRevision) == aObject.mRevision) {
    return;
  }
  ++mRefusedObjects;
  mLog.Write(EventLine(kFeedComponent, aEvent)
               .Add("object", aObject.mKey)
               .Add("revision", aObject.mRevision)
               .Add("error", aError.Describe()));
}

std::optional<state::EndpointInfo>
RelayFeed::ReadEndpoint(const RawObject& aObject)
{
  auto endpoint = mCodec.ReadEndpoint(aObject.mKey, aObject.mValue);
  if (!endpoint) {
    RefuseObject("endpoint-refused", aObject, endpoint.error());
    return std::nullopt;
  }
  mRefused.erase(aObject.mKey);
  endpoint->mRevision = aObject.mRevision;
  return std::move(*endpoint);
}

std::vector<state::EndpointInfo>
RelayFeed::KnownEndpoints() const
{
  auto endpoints = mDirectory.Endpoints();
  const auto& config = *mView.mConfig;
  if (config.Version() != 0) {
    std::erase_if(endpoints, [&](const auto& aEndpoint) {
      return config.ServiceOf(aEndpoint.mService) == nullptr;
    });
  }
  return endpoints;
}

void
RelayFeed::ApplyEndpoint(const RawObject& aObject)
{
  const auto now = mClock.Now();
  const std::string id = IdOf(aObject);
  if (aObject.mValue.empty()) {
    mDirectory.Remove(id, now);
    mLog.Write(EventLine(kFeedComponent, "endpoint-removed")
                 .Add("endpoint", id)
                 .Add("revision", aObject.mRevision));
    return;
  }
  const auto endpoint = ReadEndpoint(aObject);
  if (!endpoint) {
    mDirectory.Drop(id);
    return;
  }
  mDirectory.Put(*endpoint, now);
  EventLine line(kFeedComponent, "endpoint");
  line.Add("endpoint", id)
    .Add("address", endpoint->mAddress)
    .Add("leaving", endpoint->mIsLeaving)
    .Add("started_at", endpoint->mEndpointIncarnation.StartedAt())
    .Add("revision", aObject.mRevision);
  if (!endpoint->mModels.empty()) {
    line.Add("weights", endpoint->mModels.front().mVersion);
  }
  mLog.Write(std::move(line));
}

bool
RelayFeed::ApplyEndpointList(const std::vector<RawObject>& aObjects)
{
  std::vector<state::EndpointInfo> listed;
  bool isNews = false;
  for (const auto& object : aObjects) {
    if (auto endpoint = ReadEndpoint(object)) {
      listed.push_back(std::move(*endpoint));
    } else {
      isNews = mDirectory.Drop(IdOf(object)) || isNews;
    }
  }
  isNews = mDirectory.MergeList(listed, mClock.Now()) || isNews;
  mLog.Write(EventLine(kFeedComponent, "endpoint-list")
               .Add("endpoints", listed.size())
               .Add("revision", mEndpointTopic->mRevision));
  return isNews;
}

bool
RelayFeed::ApplyWeights(const RawObject& aObject)
{
  if (aObject.mValue.empty()) {
    return false;
  }
  const auto weights = mCodec.ReadWeights(aObject.mKey, aObject.mValue);
  if (!weights) {
    RefuseObject("weights-refused", aObject, weights.error());
    return false;
  }
  auto& known = mView.mWeights[weights->mModel];
  auto& history = known.mHistory;
  const auto former = history.Newest();
  const auto now = mClock.Now();
  if (!history.Learn(weights->mVersion, now - aObject.mAge)) {
    return false;
  }
  if (const auto confirmed = ConfirmedAt(*mWeightsTopic)) {
    history.Confirm(former, *confirmed);
  }
  known.mLoadOrder =
    state::WeightLoadSequence(mDirectory.Endpoints(), *weights);
  const auto supersededFor = history.SupersededFor(former, now);
  mLog.Write(EventLine(kFeedComponent, "weights-named")
               .Add("model", weights->mModel)
               .Add("weights", weights->mVersion)
               .Add("revision", aObject.mRevision)
               .Add("former", former)
               .Add("superseded_ms", state::LoggedMillis(supersededFor)));
  return true;
}

std::optional<state::TimePoint>
RelayFeed::ConfirmedAt(const Topic& aTopic) const
{
  return aTopic.mFreshness.At();
}

state::WeightsHistory
RelayFeed::Weights(const std::string& aModel) const
{
  const auto found = mView.mWeights.find(aModel);
  if (found == mView.mWeights.end()) {
    return {};
  }
  auto history = found->second.mHistory;
  if (const auto confirmed = ConfirmedAt(*mWeightsTopic)) {
    history.Confirm(history.Newest(), *confirmed);
  }
  return history;
}

void
RelayFeed::ConfirmWeights(const std::string& aModel,
                          std::uint64_t aVersion,
                          state::TimePoint aAt)
{
  const auto found = mView.mWeights.find(aModel);
  if (found != mView.mWeights.end()) {
    found->second.mHistory.Confirm(aVersion, aAt);
  }
}

void
RelayFeed::FixLoadOrders()
{
  for (auto& [model, weights] : mView.mWeights) {
    if (weights.mLoadOrder.empty()) {
      weights.mLoadOrder = state::WeightLoadSequence(
        mDirectory.Endpoints(), { model, weights.mHistory.Newest() });
    }
  }
}

bool
RelayFeed::ApplyQuarantined(const RawObject& aObject)
{
  if (aObject.mValue.empty()) {
    const auto request = state::RequestDigest::Parse(IdOf(aObject));
    return request && mView.mQuarantined.erase(*request) != 0;
  }
  const auto entry = mCodec.ReadQuarantine(aObject.mKey, aObject.mValue);
  if (!entry) {
    RefuseObject("quarantine-refused", aObject, entry.error());
    return false;
  }
  mView.mQuarantined[entry->mRequest] = { entry->mUntilMillis,
                                          aObject.mRevision };
  return true;
}

bool
RelayFeed::ApplyRollout(const RawObject& aObject)
{
  if (aObject.mValue.empty()) {
    const auto service = IdOf(aObject);
    mLog.Write(
      EventLine(kFeedComponent, "rollout-removed").Add("service", service));
    return mView.mRollouts.erase(service) != 0;
  }
  auto rollout = mCodec.ReadRollout(aObject.mKey, aObject.mValue);
  if (!rollout) {
    RefuseObject("rollout-refused", aObject, rollout.error());
    // An order that was overwritten by an invalid one is not continued.
    return mView.mRollouts.erase(IdOf(aObject)) != 0;
  }
  const auto& config = *mView.mConfig;
  const auto& service = rollout->mOrder.mService;
  if (config.Version() != 0 && config.ServiceOf(service) == nullptr) {
    RefuseObject("rollout-refused",
                 aObject,
                 { state::ErrorCode::kInvalidArgument,
                   "rollout.read",
                   aObject.mKey,
                   "the configuration has no such service" });
    return mView.mRollouts.erase(service) != 0;
  }
  rollout->mRevision = aObject.mRevision;
  rollout->mLearnedAt = mClock.Now() - aObject.mAge;
  rollout->mStepLearnedAt = rollout->mLearnedAt;
  auto& known = mView.mRollouts[service];
  if (known.mRevision >= rollout->mRevision) {
    return false;
  }
  const bool isSameOrder = known.mOrder.mId == rollout->mOrder.mId;
  if (isSameOrder) {
    rollout->mLearnedAt = known.mLearnedAt;
  }
  if (isSameOrder && known.mStatus == rollout->mStatus) {
    rollout->mStepLearnedAt = known.mStepLearnedAt;
  }
  known = std::move(*rollout);
  mLog.Write(EventLine(kFeedComponent, "rollout")
               .Add("service", service)
               .Add("target", known.mOrder.mTargetVersion)
               .Add("within_ms", known.mOrder.mWithin.count())
               .Add("state",
                    known.mStatus
                      ? state::kRolloutStateNames.Name(known.mStatus->mState)
                      : "ordered")
               .Add("step", known.mStatus ? known.mStatus->mStep : 0)
               .Add("share", known.Share())
               .Add("revision", known.mRevision));
  return true;
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
                         known->second.mHistory.Newest() < weights->mVersion);
    });
}

} // namespace shuntjunction::coordination
