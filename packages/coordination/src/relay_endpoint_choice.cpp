#include "relay_endpoint_choice.h"

#include <algorithm>
#include <map>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::Obstacle;
using state::RelayCandidate;
using state::TimePoint;

std::string
SaltOf(const EndpointQuery& aQuery, std::uint64_t aWeights)
{
  std::string salt = aQuery.mCall->mModel + "." + std::to_string(aWeights);
  if (!aQuery.mIsolatedTeam.empty()) {
    salt += ".";
    salt += aQuery.mIsolatedTeam;
  }
  return salt;
}

namespace {

/// An endpoint whose rate was not queried for this long is no longer passed
/// over for others.
constexpr Millis kRateQueryTimeout{ 1000 };

/// Tokens that an engine prefills before a request that is sent now has begun,
/// if all that waits there goes first.
std::int64_t
TokensUntilBegin(const RelayEndpoint& aEndpoint,
                 const protocol::EngineNews* aNews,
                 const CallInfo& aCall)
{
  const auto reported = aNews == nullptr ? 0 : aNews->mWaiting.Total();
  return aEndpoint.mWaiting.Total() + reported + aCall.mPromptTokens;
}

/// The engines of a service as candidates, without those that may not be
/// chosen.
class CandidateList
{
public:
  CandidateList(Relay::Core& aCore, const EndpointQuery& aQuery)
    : mCore(aCore)
    , mQuery(aQuery)
    , mNow(aCore.mDependencies.mClock.Now())
  {
    const auto& model = aQuery.mCall->mModel;
    const auto found = aCore.mView->mWeights.find(model);
    if (!model.empty() && found != aCore.mView->mWeights.end()) {
      mHistory = aCore.mWeights.Find(model);
      mLoadOrder = &found->second.mLoadOrder;
    }
    for (const auto& endpoint : aCore.mEndpoints.Serving(aQuery.mService)) {
      Add(endpoint);
    }
  }

  const std::vector<RelayCandidate>& Candidates() const { return mCandidates; }
  const RelayEndpointPtr& At(std::size_t aIndex) const
  {
    return mEndpoints[aIndex];
  }
  /// Memory of one engine of the service; 0: not known.
  std::int64_t CapacityTokens() const
  {
    const auto* service =
      mCore.mView->mConfig->ServiceOf(std::string(mQuery.mService));
    return service != nullptr && service->mEngine
             ? service->mEngine->mCapacityTokens
             : 0;
  }
  std::uint64_t Newest() const
  {
    return mHistory == nullptr ? 0 : mHistory->Newest();
  }
  /// As state::WeightsHistory::SupersededFor.
  std::optional<Millis> SupersededFor(std::uint64_t aVersion) const
  {
    return mHistory == nullptr ? std::nullopt
                               : mHistory->SupersededFor(aVersion, mNow);
  }

private:
  void Add(const RelayEndpointPtr& aEndpoint)
  {
    if (mQuery.mVersions != nullptr &&
        !mQuery.mVersions->Allows(aEndpoint->mInfo)) {
      return;
    }
    if (mQuery.mSoftwareVersion &&
        *mQuery.mSoftwareVersion != aEndpoint->mInfo.mSoftwareVersion) {
      return;
    }
    const auto& tried = *mQuery.mTriedEndpoints;
    const bool isTried =
      std::find(tried.begin(), tried.end(), aEndpoint->mInfo.mId) !=
      tried.end();
    const auto& rate = aEndpoint->mRate;
    const auto obstacle = aEndpoint->mAvailability->ObstacleAt(
      mNow, aEndpoint->PermitNeedOf(IsUrgent(mQuery.mUrgency), false));
    if (isTried || obstacle != Obstacle::kNone) {
      return;
    }
    RelayCandidate candidate;
    const auto* news = mCore.mEndpoints.FreshNews(*aEndpoint, mNow);
    if (!mQuery.mCall->mModel.empty()) {
      if (!mCore.mView->mAreWeightsListed) {
        return;
      }
      candidate.mVersion =
        news != nullptr && news->mModel == mQuery.mCall->mModel
          ? news->mWeights
          : aEndpoint->mInfo.VersionOf(mQuery.mCall->mModel);
      if (candidate.mVersion == 0 ||
          IsClosedForLoad(*aEndpoint, candidate, news)) {
        return;
      }
    }
    if (candidate.mVersion != 0) {
      candidate.mHoldsPart = HoldsPart(*aEndpoint, candidate.mVersion);
    }
    candidate.mNameHash = aEndpoint->mNameHash;
    const auto& settings = mCore.mDependencies.mSettings;
    candidate.mDistance =
      settings.mTopology.Between(settings.mZone, aEndpoint->mInfo.mZone);
    // Of another region only few engines are followed; of the others it is not
    // known whether they run.
    const bool isUnknown = candidate.mVersion != 0 && news == nullptr &&
                           candidate.mDistance == state::Distance::kOtherRegion;
    candidate.mIsSuspect = mNow < aEndpoint->mSuspectUntil || isUnknown ||
                           mCore.mEndpoints.IsSilent(*aEndpoint, mNow);
    // It is tried like any other from time to time: its answer may show that
    // the rate is over.
    candidate.mIsLimited = rate && mNow - rate->mHeardAt < kRateQueryTimeout;
    candidate.mRunning = aEndpoint->mRunning;
    candidate.mSuspectRequests = aEndpoint->mSuspectRequests;
    candidate.mSlots = aEndpoint->mInfo.mSlots;
    candidate.mQueuedTokens = aEndpoint->mWaiting.AheadOf(mQuery.mUrgency);
    if (news != nullptr) {
      candidate.mQueuedTokens += news->mWaiting.AheadOf(mQuery.mUrgency);
    }
    mCandidates.push_back(candidate);
    mEndpoints.push_back(aEndpoint);
  }

  /// Whether an engine caches the prompt's last shared part for its weights.
  ///
  /// The holders are looked up once per version, instead of building and
  /// looking up a name for each of a hundred or more engines.
  bool HoldsPart(const RelayEndpoint& aEndpoint, std::uint64_t aVersion)
  {
    const auto part = mQuery.mCall->LastSharedPart();
    if (part.empty()) {
      return false;
    }
    const auto [found, isNew] = mHolders.try_emplace(aVersion);
    if (isNew) {
      found->second = mCore.mEndpoints.Parts().Holders(
        state::PartName(SaltOf(mQuery, aVersion), part));
    }
    const auto& holders = found->second;
    return std::binary_search(
      holders.begin(), holders.end(), aEndpoint.mInfo.mId);
  }

  /// Whether an engine on older weights is about to load newer ones, or its
  /// weights are too old.
  bool IsClosedForLoad(const RelayEndpoint& aEndpoint,
                       const RelayCandidate& aCandidate,
                       const protocol::EngineNews* aNews) const
  {
    if (aNews != nullptr && aNews->mPhase != protocol::EnginePhase::kOpen) {
      return true;
    }
    if (aCandidate.mVersion >= Newest()) {
      return false;
    }
    if (IsOutdatedAtBegin(
          mCore, aEndpoint, *mQuery.mCall, aCandidate.mVersion)) {
      return true;
    }
    if (aNews != nullptr) {
      return false;
    }
    // Without a status from its companion, the load order decides, which all
    // processes compute alike.
    const auto& settings = mCore.mDependencies.mSettings;
    const auto turn = state::LoadStartOf(
      *mLoadOrder, aEndpoint.mInfo.mId, settings.mLoadSchedule);
    const auto age = mNow - mHistory->NewestLearnedAt();
    return turn && age >= *turn - settings.mLoadSchedule.mDrainLead &&
           age < *turn + mCore.mLimits.mLoadTimeout;
  }

  Relay::Core& mCore;
  const EndpointQuery& mQuery;
  TimePoint mNow;
  const state::WeightsHistory* mHistory = nullptr;      ///< null: none is known
  const std::vector<std::string>* mLoadOrder = nullptr; ///< of the newest
  std::vector<RelayCandidate> mCandidates;
  std::vector<RelayEndpointPtr> mEndpoints;
  std::map<std::uint64_t, std::vector<std::string>> mHolders; ///< by version
};

/// Tokens that the endpoint will have to prefill: those of the request's own
/// part and, unless an endpoint is known to cache them, those of the shared
/// ones.
std::int64_t
PrefillTokens(Relay::Core& aCore,
              const EndpointQuery& aQuery,
              const EndpointChoice& aChoice)
{
  const auto& parts = aQuery.mCall->mParts;
  if (parts.empty()) {
    return aQuery.mCall->mPromptTokens;
  }
  const bool isCached = aCore.mEndpoints.Parts().HasHolder(aChoice.mPartName);
  return parts.back().mTokens + (isCached ? 0 : aQuery.mCall->SharedTokens());
}

/// The nearest store that holds a part; null if none is known to hold it.
const state::KvStoreRule*
StoreHoldingPart(Relay::Core& aCore,
                 const std::string& aPartName,
                 std::string_view aZone)
{
  const auto& topology = aCore.mDependencies.mSettings.mTopology;
  const state::KvStoreRule* nearest = nullptr;
  for (const auto& store : aCore.mView->mConfig->Rules().mKvStores) {
    const bool isNearer =
      nearest == nullptr || topology.Between(store.mZone, aZone) <
                              topology.Between(nearest->mZone, aZone);
    if (isNearer && aCore.mEndpoints.Parts().Holds(store.mAddress, aPartName)) {
      nearest = &store;
    }
  }
  return nearest;
}

/// Whether an engine may have built a part under other weights than aWeights.
///
/// One that loads weights under its runs reads the prompts of those that it
/// preempts anew, under the salt of the former weights.
bool
MayHoldOtherWeights(const Relay::Core& aCore,
                    const RelayEndpoint& aEndpoint,
                    const std::string& aModel,
                    std::uint64_t aWeights)
{
  const auto now = aCore.mDependencies.mClock.Now();
  const auto* news = aCore.mEndpoints.FreshNews(aEndpoint, now);
  const bool isOfModel = news != nullptr && news->mModel == aModel;
  const auto version =
    isOfModel ? news->mWeights : aEndpoint.mInfo.VersionOf(aModel);
  return version != aWeights;
}

/// The engine from which a part is fetched; null if no other engine holds it.
///
/// In a fleet of several regions it is the nearest one: a move between regions
/// takes ten times as long as one within a zone.
RelayEndpointPtr
EngineHoldingPart(Relay::Core& aCore,
                  const std::string& aModel,
                  const EndpointChoice& aChoice)
{
  const auto& topology = aCore.mDependencies.mSettings.mTopology;
  const auto& zone = aChoice.mEndpoint->mInfo.mZone;
  const auto distanceOf = [&](const RelayEndpointPtr& aEndpoint) {
    return topology.HasSeveralRegions()
             ? topology.Between(aEndpoint->mInfo.mZone, zone)
             : state::Distance::kSameZone;
  };
  RelayEndpointPtr nearest;
  for (const auto& holder :
       aCore.mEndpoints.Parts().Holders(aChoice.mPartName)) {
    const auto endpoint = aCore.mEndpoints.Find(holder);
    if (endpoint && endpoint != aChoice.mEndpoint &&
        aCore.mRollouts.MayUse(endpoint->mInfo) &&
        !MayHoldOtherWeights(aCore, *endpoint, aModel, aChoice.mWeights) &&
        (!nearest || distanceOf(endpoint) < distanceOf(nearest))) {
      nearest = endpoint;
    }
  }
  return nearest;
}

/// Sets where the shared part may be fetched from and saved to.
///
/// Transfers to and from one place run one after the other. Parts that are
/// prefilled within a few milliseconds are neither transferred nor waited for:
/// they were queued for up to 2 s behind large ones and delayed others in turn.
void
SetPartLocations(Relay::Core& aCore,
                 const std::string& aModel,
                 EndpointChoice& aChoice)
{
  const auto now = aCore.mDependencies.mClock.Now();
  const auto& topology = aCore.mDependencies.mSettings.mTopology;
  const auto& name = aChoice.mPartName;
  const auto& zone = aChoice.mEndpoint->mInfo.mZone;
  const auto* own = state::KvStoreOfPart(
    aCore.mView->mConfig->Rules().mKvStores, name, zone, topology);
  const std::string ownStore = own == nullptr ? "" : own->mAddress;
  const auto* holding = StoreHoldingPart(aCore, name, zone);
  const auto& record = aCore.mPartRecords.At(name);
  const bool isSavedLately = now - record.mSavedAt < aCore.mLimits.mNewsDelay;
  if (!isSavedLately && holding == nullptr) {
    aChoice.mPartStore = ownStore;
  }
  // A source without the part costs a millisecond, so one is always named.
  aChoice.mPartSource = holding == nullptr ? ownStore : holding->mAddress;
  const auto engine = EngineHoldingPart(aCore, aModel, aChoice);
  const bool isStoreNearer = engine && holding != nullptr &&
                             topology.HasSeveralRegions() &&
                             topology.Between(holding->mZone, zone) <
                               topology.Between(engine->mInfo.mZone, zone);
  if (engine && !isStoreNearer) {
    aChoice.mPartSource = engine->mInfo.mAddress;
  }
}

} // namespace

bool
IsOutdatedAtBegin(Relay::Core& aCore,
                  const RelayEndpoint& aEndpoint,
                  const CallInfo& aCall,
                  std::uint64_t aVersion)
{
  const auto* history = aCore.mWeights.Find(aCall.mModel);
  if (history == nullptr) {
    return false;
  }
  const auto now = aCore.mDependencies.mClock.Now();
  const auto* news = aCore.mEndpoints.FreshNews(aEndpoint, now);
  const auto wait =
    aCore.mPrefillRate.TimeOf(TokensUntilBegin(aEndpoint, news, aCall));
  return aCore.mWeights.IsOutdated(*history, aVersion, now + wait);
}

std::optional<EndpointChoice>
ChooseEndpoint(Relay::Core& aCore, const EndpointQuery& aQuery)
{
  const CandidateList list(aCore, aQuery);
  const auto& candidates = list.Candidates();
  const auto& settings = aCore.mDependencies.mSettings.mChoice;
  const auto part = aQuery.mCall->LastSharedPart();
  std::optional<std::size_t> index;
  const bool isPlacedByPart =
    aQuery.mCall->SharedTokens() >= settings.mMinSharedTokens;
  if (aQuery.mCrashSuspectHash) {
    index =
      state::ChooseForSuspect(candidates, *aQuery.mCrashSuspectHash, settings);
  } else if (isPlacedByPart) {
    const auto key = state::PlacementHash(part);
    index = state::ChooseByPart(candidates, key, settings);
  } else {
    const auto key =
      part.empty() ? std::nullopt : std::optional(state::PlacementHash(part));
    index = state::ChooseByLoad(candidates, key, settings, aCore.mRandom);
  }
  if (!index) {
    return std::nullopt;
  }
  EndpointChoice choice;
  choice.mIsCrashSuspect = aQuery.mCrashSuspectHash.has_value();
  choice.mEndpoint = list.At(*index);
  choice.mWeights = candidates[*index].mVersion;
  choice.mIsPartCached = candidates[*index].mHoldsPart;
  choice.mCandidates = candidates.size();
  choice.mWaitingTokens = candidates[*index].mQueuedTokens;
  const auto now = aCore.mDependencies.mClock.Now();
  if (aCore.mEndpoints.FreshNews(*choice.mEndpoint, now) != nullptr) {
    choice.mNewsAge =
      std::chrono::duration_cast<Millis>(now - choice.mEndpoint->mNewsAt);
  }
  if (choice.mWeights != 0) {
    choice.mSalt = SaltOf(aQuery, choice.mWeights);
    choice.mNewestWeights = list.Newest();
    choice.mSupersededFor = list.SupersededFor(choice.mWeights);
  }
  if (isPlacedByPart) {
    choice.mPart = part;
    choice.mPartName = state::PartName(choice.mSalt, part);
    SetPartLocations(aCore, aQuery.mCall->mModel, choice);
  }
  choice.mPrefillTokens = PrefillTokens(aCore, aQuery, choice);
  choice.mExpected =
    aCore.mPrefillRate.TimeOf(choice.mWaitingTokens + choice.mPrefillTokens);
  choice.mUrgency = state::EffectiveUrgency(
    { aQuery.mElapsed, choice.mExpected, aQuery.mObjective, aQuery.mUrgency },
    aCore.mLimits.mFirstToken);
  choice.mIsDeprioritized = choice.mUrgency > aQuery.mUrgency;
  return choice;
}

namespace {

/// Estimate of the memory that running requests use at an engine: as many as
/// its companion reports, each with the mean of this relay's own.
std::int64_t
UsedTokens(Relay::Core& aCore, const RelayEndpoint& aEndpoint)
{
  const auto* news =
    aCore.mEndpoints.FreshNews(aEndpoint, aCore.mDependencies.mClock.Now());
  if (news == nullptr || aCore.mEngineRuns == 0) {
    return 0;
  }
  return static_cast<std::int64_t>(news->mRunning) * aCore.mEngineRunTokens /
         aCore.mEngineRuns;
}

} // namespace

BackupCandidateList
BackupCandidates(Relay::Core& aCore,
                 const EndpointQuery& aQuery,
                 const EndpointChoice& aChoice)
{
  const CandidateList list(aCore, aQuery);
  const auto& zone = aChoice.mEndpoint->mInfo.mZone;
  const auto& topology = aCore.mDependencies.mSettings.mTopology;
  BackupCandidateList backups;
  for (std::size_t index = 0; index < list.Candidates().size(); ++index) {
    const auto& endpoint = list.At(index);
    if (endpoint == aChoice.mEndpoint ||
        endpoint->mInfo.mSoftwareVersion !=
          aChoice.mEndpoint->mInfo.mSoftwareVersion) {
      continue;
    }
    const auto& candidate = list.Candidates()[index];
    backups.mCandidates.push_back(
      { candidate.mNameHash,
        topology.Between(zone, endpoint->mInfo.mZone),
        candidate.mVersion,
        candidate.mRunning,
        candidate.mSlots,
        list.CapacityTokens(),
        UsedTokens(aCore, *endpoint),
        endpoint->mBackupTokens,
        candidate.mIsSuspect,
        endpoint->mRate.has_value() });
    backups.mEndpoints.push_back(endpoint);
  }
  return backups;
}

std::optional<ServiceOutage>
OutageOf(Relay::Core& aCore, const EndpointQuery& aQuery)
{
  const auto& tried = *aQuery.mTriedEndpoints;
  const auto now = aCore.mDependencies.mClock.Now();
  ServiceOutage outage;
  bool isKnown = false;
  for (const auto& endpoint : aCore.mEndpoints.Listed(aQuery.mService)) {
    if (!endpoint->AcceptsWork()) {
      isKnown = true;
      continue;
    }
    const auto opening =
      endpoint->UnavailabilityAt(now, IsUrgent(aQuery.mUrgency));
    const bool isOpen = opening.mObstacle == Obstacle::kNone;
    const bool isTried =
      std::find(tried.begin(), tried.end(), endpoint->mInfo.mId) != tried.end();
    if (isOpen && !isTried) {
      return std::nullopt;
    }
    isKnown = isKnown || !isOpen;
    outage.mPerSecond += endpoint->mRate ? endpoint->mRate->mPerSecond : 0;
    if (!isTried) {
      outage.mUntil = std::min(outage.mUntil, opening.mAt);
    }
    const auto opensAt = isOpen ? now : opening.mAt;
    if (opensAt < outage.mReopensAt) {
      outage.mReopensAt = opensAt;
      outage.mObstacle = opening.mObstacle;
    }
  }
  return isKnown ? std::optional(outage) : std::nullopt;
}

bool
AreWeightsOutdated(Relay::Core& aCore, const EndpointQuery& aQuery)
{
  const auto& model = aQuery.mCall->mModel;
  const auto* history = aCore.mWeights.Find(model);
  if (model.empty() || history == nullptr || aCore.mWeights.IsPending(model)) {
    return false;
  }
  const auto now = aCore.mDependencies.mClock.Now();
  const auto serving = aCore.mEndpoints.Serving(aQuery.mService);
  const auto isOutdated = [&](const RelayEndpointPtr& aEndpoint) {
    // A companion that reports has its engine load newer weights.
    return aCore.mEndpoints.FreshNews(*aEndpoint, now) == nullptr &&
           aCore.mWeights.IsOutdated(
             *history, aEndpoint->mInfo.VersionOf(model), now);
  };
  return !serving.empty() &&
         std::all_of(serving.begin(), serving.end(), isOutdated);
}

bool
IsServiceDown(Relay::Core& aCore, const std::string& aService)
{
  const auto now = aCore.mDependencies.mClock.Now();
  const auto serving = aCore.mEndpoints.Serving(aService);
  return std::all_of(
    serving.begin(), serving.end(), [&](const RelayEndpointPtr& aEndpoint) {
      const auto* news = aCore.mEndpoints.FreshNews(*aEndpoint, now);
      const bool isDown =
        news != nullptr && news->mPhase == protocol::EnginePhase::kDown;
      return isDown || now < aEndpoint->mAvailability->CooldownEnd() ||
             now < aEndpoint->mSuspectUntil ||
             aCore.mEndpoints.IsSilent(*aEndpoint, now);
    });
}

} // namespace shuntjunction::coordination
