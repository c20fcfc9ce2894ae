#include "relay_endpoint_choice.h"

#include <algorithm>
#include <map>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::Obstacle;
using state::RelayCandidate;
using state::TimePoint;

namespace {

/// An endpoint whose rate nobody asked about for so long is no longer passed
/// over for others.
constexpr Millis kRateQueryTimeout{ 1000 };

std::string
CacheSalt(const EndpointQuery& aAsk, std::uint64_t aWeights)
{
  std::string salt = aAsk.mCall->mModel + "." + std::to_string(aWeights);
  if (!aAsk.mIsolatedTeam.empty()) {
    salt += ".";
    salt += aAsk.mIsolatedTeam;
  }
  return salt;
}

/// Engines of a service as candidates, with those that may not be taken left
/// out.
class CandidateList
{
public:
  CandidateList(Relay::Core& aCore, const EndpointQuery& aAsk)
    : mCore(aCore)
    , mAsk(aAsk)
    , mNow(aCore.mParts.mClock.Now())
  {
    const auto& weights = aCore.mView->mWeights;
    const auto found = weights.find(aAsk.mCall->mModel);
    if (!aAsk.mCall->mModel.empty() && found != weights.end()) {
      mNamed = &found->second;
    }
    for (const auto& endpoint : aCore.mEndpoints.Serving(aAsk.mService)) {
      Add(endpoint);
    }
  }

  const std::vector<RelayCandidate>& Candidates() const { return mCandidates; }
  const RelayEndpointPtr& At(std::size_t aIndex) const
  {
    return mEndpoints[aIndex];
  }
  std::uint64_t Newest() const
  {
    return mNamed == nullptr ? 0 : mNamed->Newest();
  }

private:
  void Add(const RelayEndpointPtr& aEndpoint)
  {
    const auto& tried = *mAsk.mTriedEndpoints;
    const bool isTried =
      std::find(tried.begin(), tried.end(), aEndpoint->mInfo.mId) !=
      tried.end();
    const auto& rate = aEndpoint->mRate;
    const auto obstacle = aEndpoint->mAvailability->ObstacleAt(
      mNow, aEndpoint->PermitNeedOf(IsUrgent(mAsk.mUrgency), false));
    if (isTried || obstacle != Obstacle::kNone) {
      return;
    }
    RelayCandidate candidate;
    const auto* news = mCore.mEndpoints.FreshNews(*aEndpoint, mNow);
    if (!mAsk.mCall->mModel.empty()) {
      candidate.mVersion = news != nullptr && news->mModel == mAsk.mCall->mModel
                             ? news->mWeights
                             : aEndpoint->mInfo.VersionOf(mAsk.mCall->mModel);
      if (candidate.mVersion == 0 ||
          IsClosedForLoad(*aEndpoint, candidate, news)) {
        return;
      }
    }
    if (candidate.mVersion != 0) {
      candidate.mHoldsPart = HoldsPart(*aEndpoint, candidate.mVersion);
    }
    candidate.mNameHash = aEndpoint->mNameHash;
    candidate.mIsSameZone =
      aEndpoint->mInfo.mZone == mCore.mParts.mSettings.mZone;
    candidate.mIsSuspect = mNow < aEndpoint->mSuspectUntil ||
                           mCore.mEndpoints.IsSilent(*aEndpoint, mNow);
    // Now and then it is asked like any other: its answer may say that the rate
    // is over.
    candidate.mIsLimited = rate && mNow - rate->mHeardAt < kRateQueryTimeout;
    candidate.mRunning = aEndpoint->mRunning;
    candidate.mSuspectRequests = aEndpoint->mSuspectRequests;
    candidate.mSlots = aEndpoint->mInfo.mSlots;
    candidate.mQueuedTokens = aEndpoint->mWaiting.AheadOf(mAsk.mUrgency);
    if (news != nullptr) {
      candidate.mQueuedTokens += news->mWaiting.AheadOf(mAsk.mUrgency);
    }
    mCandidates.push_back(candidate);
    mEndpoints.push_back(aEndpoint);
  }

  /// Whether an engine keeps the prompt's last shared part for its weights.
  ///
  /// The holders are looked up once a version, not a name built and looked up
  /// for each of some hundred engines.
  bool HoldsPart(const RelayEndpoint& aEndpoint, std::uint64_t aVersion)
  {
    const auto part = mAsk.mCall->LastSharedPart();
    if (part.empty()) {
      return false;
    }
    const auto [found, isNew] = mHolders.try_emplace(aVersion);
    if (isNew) {
      found->second = mCore.mEndpoints.Parts().Holders(
        state::PartName(CacheSalt(mAsk, aVersion), part));
    }
    const auto& holders = found->second;
    return std::binary_search(
      holders.begin(), holders.end(), aEndpoint.mInfo.mId);
  }

  /// Whether an engine on older weights is about to load, or too old.
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
    const auto& settings = mCore.mParts.mSettings;
    const auto superseded = mNamed->SupersededAt(aCandidate.mVersion);
    const auto limit =
      settings.mBounds.mWeightsLimit - mCore.mLimits.mWeightsMargin;
    if (superseded && mNow - *superseded >= limit) {
      return true;
    }
    if (aNews != nullptr) {
      return false;
    }
    // Nothing is heard of its companion: by the order that all compute alike.
    const auto turn = state::LoadStartOf(
      mNamed->mLoadOrder, aEndpoint.mInfo.mId, settings.mLoadSchedule);
    const auto age = mNow - mNamed->NewestLearnedAt();
    return turn && age >= *turn - settings.mLoadSchedule.mDrainLead &&
           age < *turn + mCore.mLimits.mLoadTimeout;
  }

  Relay::Core& mCore;
  const EndpointQuery& mAsk;
  TimePoint mNow;
  const WeightsHistory* mNamed = nullptr; ///< null: none was named
  std::vector<RelayCandidate> mCandidates;
  std::vector<RelayEndpointPtr> mEndpoints;
  std::map<std::uint64_t, std::vector<std::string>> mHolders; ///< by version
};

/// Tokens that the endpoint will have to read: those of the request's own part
/// and, if no other endpoint is known to have them, those of the shared ones.
std::int64_t
PrefillTokens(Relay::Core& aCore,
              const EndpointQuery& aAsk,
              const EndpointChoice& aPick)
{
  const auto& parts = aAsk.mCall->mParts;
  if (parts.empty()) {
    return aAsk.mCall->mPromptTokens;
  }
  const bool isKept = aCore.mEndpoints.Parts().HasHolder(aPick.mPartName);
  return parts.back().mTokens + (isKept ? 0 : aAsk.mCall->SharedTokens());
}

/// The store that keeps a part, of several the one in a zone; empty: none does,
/// as far as is known.
std::string
StoreHoldingPart(Relay::Core& aCore,
                 const std::string& aPartName,
                 std::string_view aZone)
{
  std::string address;
  for (const auto& store : aCore.mView->mConfig->Rules().mKvStores) {
    const bool isNearer = address.empty() || store.mZone == aZone;
    if (isNearer && aCore.mEndpoints.Parts().Holds(store.mAddress, aPartName)) {
      address = store.mAddress;
    }
  }
  return address;
}

/// Names where the shared part may be fetched from and saved to.
///
/// Moves to and from one place follow each other. Parts that are read in a few
/// milliseconds are neither moved nor waited for: they stood up to 2 s behind
/// large ones, and kept those waiting.
void
SetPartLocations(Relay::Core& aCore, EndpointChoice& aPick)
{
  const auto now = aCore.mParts.mClock.Now();
  const auto& name = aPick.mPartName;
  const auto& zone = aPick.mEndpoint->mInfo.mZone;
  const auto* own =
    state::StoreOfPart(aCore.mView->mConfig->Rules().mKvStores, name, zone);
  const std::string ownStore = own == nullptr ? "" : own->mAddress;
  const std::string keeper = StoreHoldingPart(aCore, name, zone);
  const auto& record = aCore.mLedger.At(name);
  const bool isSavedLately = now - record.mSavedAt < aCore.mLimits.mNewsDelay;
  if (!isSavedLately && keeper.empty()) {
    aPick.mPartStore = ownStore;
  }
  // A source that has nothing costs a millisecond, so one is always named.
  aPick.mPartSource = keeper.empty() ? ownStore : keeper;
  for (const auto& holder : aCore.mEndpoints.Parts().Holders(name)) {
    const auto endpoint = aCore.mEndpoints.Find(holder);
    if (endpoint && endpoint != aPick.mEndpoint) {
      aPick.mPartSource = endpoint->mInfo.mAddress;
      break;
    }
  }
}

} // namespace

std::optional<EndpointChoice>
ChooseEndpoint(Relay::Core& aCore, const EndpointQuery& aAsk)
{
  const CandidateList list(aCore, aAsk);
  const auto& candidates = list.Candidates();
  const auto& settings = aCore.mParts.mSettings.mChoice;
  const auto part = aAsk.mCall->LastSharedPart();
  std::optional<std::size_t> index;
  const bool isPlacedByPart =
    aAsk.mCall->SharedTokens() >= settings.mMinSharedTokens;
  if (aAsk.mCrashSuspectHash) {
    index =
      state::ChooseForSuspect(candidates, *aAsk.mCrashSuspectHash, settings);
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
  EndpointChoice pick;
  pick.mIsCrashSuspect = aAsk.mCrashSuspectHash.has_value();
  pick.mEndpoint = list.At(*index);
  pick.mWeights = candidates[*index].mVersion;
  pick.mIsKept = candidates[*index].mHoldsPart;
  pick.mCandidates = candidates.size();
  pick.mWaitingTokens = candidates[*index].mQueuedTokens;
  const auto now = aCore.mParts.mClock.Now();
  if (aCore.mEndpoints.FreshNews(*pick.mEndpoint, now) != nullptr) {
    pick.mNewsAge =
      std::chrono::duration_cast<Millis>(now - pick.mEndpoint->mNewsAt);
  }
  if (pick.mWeights != 0) {
    pick.mSalt = CacheSalt(aAsk, pick.mWeights);
  }
  if (isPlacedByPart) {
    pick.mPart = part;
    pick.mPartName = state::PartName(pick.mSalt, part);
    SetPartLocations(aCore, pick);
  }
  pick.mPrefillTokens = PrefillTokens(aCore, aAsk, pick);
  pick.mExpected =
    aCore.mPrefillRate.TimeOf(pick.mWaitingTokens + pick.mPrefillTokens);
  pick.mUrgency = state::EffectiveUrgency(
    { aAsk.mElapsed, pick.mExpected, aAsk.mObjective, aAsk.mUrgency },
    aCore.mLimits.mFirstToken);
  pick.mIsDeprioritized = pick.mUrgency > aAsk.mUrgency;
  return pick;
}

std::optional<ServiceOutage>
OutageOf(Relay::Core& aCore, const EndpointQuery& aAsk)
{
  const auto& tried = *aAsk.mTriedEndpoints;
  const auto now = aCore.mParts.mClock.Now();
  ServiceOutage outage;
  bool isKnown = false;
  for (const auto& endpoint : aCore.mEndpoints.Listed(aAsk.mService)) {
    if (!endpoint->AcceptsWork()) {
      isKnown = true;
      continue;
    }
    const auto opening =
      endpoint->UnavailabilityAt(now, IsUrgent(aAsk.mUrgency));
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
IsServiceDown(Relay::Core& aCore, const std::string& aService)
{
  const auto now = aCore.mParts.mClock.Now();
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
