#include "shuntjunction/state/endpoint_availability.h"

#include <algorithm>

namespace shuntjunction::state {

namespace {

/// Maximum number of endpoints that are kept after removal, the latest ones.
constexpr std::size_t kMaxRemoved = 1024;

} // namespace

EndpointAvailability::EndpointAvailability(
  const AvailabilitySettings& aSettings)
  : mSettings(aSettings)
{
}

void
EndpointAvailability::SetListing(bool aIsListed, bool aIsDraining)
{
  mIsListed = aIsListed;
  mIsListedDraining = aIsDraining;
}

NoticeChange
EndpointAvailability::Take(const EndpointNotice& aNotice,
                           TimePoint aNow,
                           std::int64_t aWallMillis)
{
  NoticeChange change;
  change.mIsDraining = aNotice.mIsDraining && !mIsReportedDraining;
  mIsReportedDraining = mIsReportedDraining || aNotice.mIsDraining;
  change.mCooldown = aNotice.mRetryAfter.From(aWallMillis);
  if (change.mCooldown > Millis(0)) {
    mCooldownUntil = std::max(mCooldownUntil, aNow + change.mCooldown);
    ++mRecovery;
    mTrialsAllowed = mSettings.mFirstTrials;
    mTrialsInFlight = 0;
  }
  return change;
}

void
EndpointAvailability::Pause(Millis aPause, TimePoint aNow)
{
  mPausedUntil = std::max(mPausedUntil, aNow + aPause);
}

TimePoint
EndpointAvailability::CooldownEnd() const
{
  return std::max(mPausedUntil, mCooldownUntil);
}

bool
EndpointAvailability::IsRecovering(TimePoint aNow) const
{
  return mTrialsAllowed != 0 && aNow >= mCooldownUntil;
}

Obstacle
EndpointAvailability::ObstacleAt(TimePoint aNow,
                                 const PermitNeed& aPermit) const
{
  if (!mIsListed) {
    return Obstacle::kRemoved;
  }
  if (IsDraining()) {
    return Obstacle::kDraining;
  }
  if (aNow < CooldownEnd()) {
    return Obstacle::kCooldown;
  }
  if (IsRecovering(aNow) && mTrialsInFlight >= mTrialsAllowed) {
    return Obstacle::kRecovering;
  }
  if (aPermit.mIsNeeded && !aPermit.mIsHeld && aNow < aPermit.mEarliestAt) {
    return Obstacle::kNoPermit;
  }
  return Obstacle::kNone;
}

Obstacle
EndpointAvailability::ObstacleAtSend(TimePoint aNow,
                                     const PermitNeed& aPermit) const
{
  const auto obstacle = ObstacleAt(aNow, aPermit);
  const bool lacksPermit = aPermit.mIsNeeded && !aPermit.mIsHeld;
  return obstacle == Obstacle::kNone && lacksPermit ? Obstacle::kNoPermit
                                                    : obstacle;
}

SendClearance
EndpointAvailability::GrantClearance(TimePoint aNow)
{
  if (!IsRecovering(aNow)) {
    return SendClearance(0);
  }
  ++mTrialsInFlight;
  return SendClearance(mRecovery);
}

void
EndpointAvailability::Settle(SendClearance aClearance, bool aIsAccepted)
{
  // Requests sent before the latest cooldown do not show that it has ended.
  if (aClearance.mRecovery != mRecovery || mTrialsAllowed == 0) {
    return;
  }
  --mTrialsInFlight;
  if (!aIsAccepted) {
    return;
  }
  mTrialsAllowed *= 2;
  if (mTrialsAllowed >= mSettings.mRecoveredTrials) {
    mTrialsAllowed = 0;
  }
}

AvailabilityRegistry::AvailabilityRegistry(
  const AvailabilitySettings& aSettings)
  : mSettings(aSettings)
{
}

AvailabilityRegistry::Ptr
AvailabilityRegistry::Find(const std::string& aId,
                           EndpointIncarnation aIncarnation)
{
  const auto found = mById.find(aId);
  if (found == mById.end()) {
    return Begin(aId, aIncarnation);
  }
  auto& entry = found->second;
  // An earlier start usually comes from a delayed list.
  if (entry.mEndpointIncarnation.IsKnown() &&
      entry.mEndpointIncarnation < aIncarnation) {
    return Begin(aId, aIncarnation);
  }
  entry.mEndpointIncarnation =
    std::max(entry.mEndpointIncarnation, aIncarnation);
  if (entry.mRemovalOrder != 0) {
    entry.mRemovalOrder = 0;
    --mRemoved;
  }
  return entry.mAvailability;
}

AvailabilityRegistry::Ptr
AvailabilityRegistry::Begin(const std::string& aId,
                            EndpointIncarnation aIncarnation)
{
  auto& entry = mById[aId];
  // A delayed list may have made an earlier incarnation current in between.
  if (entry.mAvailability && aIncarnation.IsKnown() &&
      entry.mEndpointIncarnation == aIncarnation) {
    return Find(aId, aIncarnation);
  }
  if (entry.mAvailability) {
    entry.mAvailability->SetListing(false, false);
  }
  if (entry.mRemovalOrder != 0) {
    --mRemoved;
  }
  entry = { std::make_shared<EndpointAvailability>(mSettings),
            aIncarnation,
            0 };
  return entry.mAvailability;
}

void
AvailabilityRegistry::NoteRemoved(std::string_view aId)
{
  const auto found = mById.find(aId);
  if (found == mById.end() || found->second.mRemovalOrder != 0) {
    return;
  }
  found->second.mAvailability->SetListing(false, false);
  found->second.mRemovalOrder = ++mRemovals;
  if (++mRemoved > kMaxRemoved) {
    EvictOldest();
  }
}

void
AvailabilityRegistry::EvictOldest()
{
  auto oldest = mById.end();
  for (auto at = mById.begin(); at != mById.end(); ++at) {
    const bool isRemoved = at->second.mRemovalOrder != 0;
    if (isRemoved &&
        (oldest == mById.end() ||
         at->second.mRemovalOrder < oldest->second.mRemovalOrder)) {
      oldest = at;
    }
  }
  mById.erase(oldest);
  --mRemoved;
}

} // namespace shuntjunction::state
