#include "continuation/stream_copy.h"

#include "shuntjunction/state/stream_backup.h"

namespace shuntjunction::coordination {

StreamCopy::StreamCopy(CopiedRun aRun,
                       RelayEndpointPtr aEndpoint,
                       std::int64_t aTokens)
  : mRun(std::move(aRun))
  , mEndpoint(std::move(aEndpoint))
  , mIncarnation(mEndpoint->mEndpointIncarnation.Current())
  , mTokens(aTokens)
{
  mEndpoint->mBackupTokens += mTokens;
}

StreamCopy::~StreamCopy()
{
  mEndpoint->mBackupTokens -= mTokens;
}

void
StreamCopy::NoteWeights(std::uint64_t aVersion)
{
  mHasOtherWeights = mHasOtherWeights || aVersion != mRun.mWeights;
}

WeightsChange
StreamCopy::ChangeOfWeights(const Relay::Core& aCore) const
{
  if (mHasOtherWeights) {
    return WeightsChange::kAnswered;
  }
  // An engine that has crashed keeps its last report; the list may name its
  // next incarnation, which has the same weights.
  const auto& engine = *mRun.mEndpoint;
  const bool isReported =
    engine.mNews && engine.mNews->mModel == mRun.mModel &&
    (engine.mNews->mWeights > mRun.mWeights ||
     engine.mNews->mPhase == protocol::EnginePhase::kDraining ||
     engine.mNews->mPhase == protocol::EnginePhase::kLoading);
  if (isReported || engine.mInfo.VersionOf(mRun.mModel) > mRun.mWeights) {
    return WeightsChange::kReported;
  }
  const auto* history = aCore.mWeights.Find(mRun.mModel);
  return history != nullptr && history->Newest() > mRun.mWeights
           ? WeightsChange::kAnnounced
           : WeightsChange::kNone;
}

bool
StreamCopy::IsUsable(const Relay::Core& aCore, state::TimePoint aNow) const
{
  const auto& endpoints = aCore.mEndpoints;
  const auto* news = endpoints.FreshNews(*mEndpoint, aNow);
  const bool hasOtherWeights =
    news != nullptr && news->mWeights != mRun.mWeights;
  const auto obstacle =
    mEndpoint->mAvailability->ObstacleAt(aNow, state::PermitNeed{});
  return obstacle == state::Obstacle::kNone && !mEndpoint->mRate &&
         aCore.mRollouts.MayUse(mEndpoint->mInfo) &&
         mEndpoint->mEndpointIncarnation.Current() == mIncarnation &&
         !hasOtherWeights && aNow >= mEndpoint->mSuspectUntil &&
         !endpoints.IsSilent(*mEndpoint, aNow);
}

std::unique_ptr<StreamCopy>
PlaceStreamCopy(Relay::Core& aCore,
                const EndpointQuery& aQuery,
                const EndpointChoice& aChoice,
                bool aIsResumable,
                std::uint64_t aKey)
{
  const auto* service =
    aCore.mView->mConfig->ServiceOf(std::string(aQuery.mService));
  if (aChoice.mWeights == 0 || service == nullptr || !service->mEngine ||
      !service->mEngine->mAllowsBackups) {
    return nullptr;
  }
  // Its engine is about to load others, see StreamCopy::ChangeOfWeights.
  if (aChoice.mNewestWeights > aChoice.mWeights) {
    return nullptr;
  }
  const state::BackupRequest request{ aQuery.mCall->mPromptTokens,
                                      aQuery.mCall->mMaxNewTokens,
                                      aIsResumable,
                                      aQuery.mUrgency };
  const auto backups = BackupCandidates(aCore, aQuery, aChoice);
  const auto index =
    state::ChooseBackup(request,
                        backups.mCandidates,
                        aChoice.mWeights,
                        aKey,
                        aCore.mDependencies.mSettings.mStreamBackup);
  if (!index) {
    return nullptr;
  }
  return std::make_unique<StreamCopy>(
    CopiedRun{ aChoice.mEndpoint, aQuery.mCall->mModel, aChoice.mWeights },
    backups.mEndpoints[*index],
    request.mPromptTokens + request.mMaxNewTokens);
}

} // namespace shuntjunction::coordination
