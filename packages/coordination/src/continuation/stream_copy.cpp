#include "continuation/stream_copy.h"

#include "shuntjunction/state/stream_backup.h"

namespace shuntjunction::coordination {

StreamCopy::StreamCopy(RelayEndpointPtr aEndpoint,
                       std::uint64_t aWeights,
                       std::int64_t aTokens)
  : mEndpoint(std::move(aEndpoint))
  , mIncarnation(mEndpoint->mEndpointIncarnation.Current())
  , mWeights(aWeights)
  , mTokens(aTokens)
{
  mEndpoint->mBackupTokens += mTokens;
}

StreamCopy::~StreamCopy()
{
  mEndpoint->mBackupTokens -= mTokens;
}

bool
StreamCopy::IsUsable(const Relay::Core& aCore, state::TimePoint aNow) const
{
  const auto& endpoints = aCore.mEndpoints;
  const auto* news = endpoints.FreshNews(*mEndpoint, aNow);
  const bool hasOtherWeights = news != nullptr && news->mWeights != mWeights;
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
  return std::make_unique<StreamCopy>(backups.mEndpoints[*index],
                                      aChoice.mWeights,
                                      request.mPromptTokens +
                                        request.mMaxNewTokens);
}

} // namespace shuntjunction::coordination
