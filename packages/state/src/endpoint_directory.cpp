#include "shuntjunction/state/endpoint_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shuntjunction::state {

bool
EndpointDirectory::MergeList(const std::vector<EndpointInfo>& aListed,
                             TimePoint aNow)
{
  bool isChanged = false;
  std::set<std::string_view> listed;
  for (const auto& endpoint : aListed) {
    listed.insert(endpoint.mId);
    isChanged = Put(endpoint, aNow) || isChanged;
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : mEntries) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    isChanged = Remove(id, aNow) || isChanged;
  }
  return isChanged;
}

bool
EndpointDirectory::Put(const EndpointInfo& aEndpoint, TimePoint aNow)
{
  auto& entry = mEntries[aEndpoint.mId];
  const auto update =
    entry.mEndpointIncarnation.Take(aEndpoint.mEndpointIncarnation, aNow);
  if (update == IncarnationUpdate::kFormer) {
    return PutFormer(entry, aEndpoint);
  }
  const bool isFirst =
    entry.mFirstRevision == 0 || update == IncarnationUpdate::kNewer;
  const bool isChanged =
    entry.mIsExpired || entry.mInfo.mRevision != aEndpoint.mRevision;
  entry.mInfo = aEndpoint;
  entry.mFormerEntry.reset();
  entry.mFirstRevision = isFirst ? aEndpoint.mRevision : entry.mFirstRevision;
  entry.mIsExpired = false;
  return isChanged;
}

bool
EndpointDirectory::PutFormer(Entry& aEntry, const EndpointInfo& aEndpoint)
{
  const bool isSeen = aEntry.mFormerEntry &&
                      aEntry.mFormerEntry->mRevision == aEndpoint.mRevision;
  if (!isSeen) {
    ++mStaleReports;
  }
  aEntry.mFormerEntry = aEndpoint;
  if (!aEndpoint.mIsLeaving || aEntry.mInfo.mIsLeaving) {
    return false;
  }
  aEntry.mInfo.mIsLeaving = true;
  return true;
}

bool
EndpointDirectory::Drop(std::string_view aId)
{
  const auto found = mEntries.find(aId);
  if (found == mEntries.end()) {
    return false;
  }
  mEntries.erase(found);
  return true;
}

bool
EndpointDirectory::Remove(std::string_view aId, TimePoint aNow)
{
  const auto found = mEntries.find(aId);
  if (found == mEntries.end() || found->second.mIsExpired) {
    return false;
  }
  const auto grace = GraceOf(aNow);
  if (found->second.mInfo.mIsLeaving || !grace) {
    mEntries.erase(found);
  } else {
    found->second.mIsExpired = true;
    found->second.mRemoveAt = *grace;
  }
  return true;
}

bool
EndpointDirectory::NoteFailure(TimePoint aSince, TimePoint aNow)
{
  // A call that waited for long does not count against answers to others.
  const auto since = std::max(aSince, mLastAnswer);
  mAwaySince = std::min(mAwaySince.value_or(since), since);
  return IsAway(aNow);
}

bool
EndpointDirectory::NoteAnswer(TimePoint aNow)
{
  const bool isEnd = IsAway(aNow);
  if (isEnd) {
    ExtendGrace(aNow - *mAwaySince);
    mLastOutage = aNow;
  }
  mAwaySince.reset();
  mLastAnswer = aNow;
  return isEnd;
}

void
EndpointDirectory::NoteOutage(TimePoint aUntil)
{
  if (mLastOutage && aUntil <= *mLastOutage) {
    return;
  }
  // When it began is not known; it may be the one reported before.
  const TimePoint::duration shortest = mShortestLifetime;
  ExtendGrace(mLastOutage ? std::min(aUntil - *mLastOutage, shortest)
                          : shortest);
  mLastOutage = aUntil;
}

bool
EndpointDirectory::IsAway(TimePoint aNow) const
{
  return mAwaySince && aNow - *mAwaySince >= mShortestLifetime;
}

std::optional<TimePoint>
EndpointDirectory::GraceOf(TimePoint aNow) const
{
  const bool isAfterOutage =
    mLastOutage && aNow < *mLastOutage + kExpiredEntryGrace;
  return isAfterOutage ? std::optional(*mLastOutage + kExpiredEntryGrace)
                       : std::nullopt;
}

void
EndpointDirectory::ExtendGrace(TimePoint::duration aTime)
{
  for (auto& [id, entry] : mEntries) {
    if (entry.mIsExpired) {
      entry.mRemoveAt += aTime;
    }
  }
}

std::optional<TimePoint>
EndpointDirectory::NextRemoval(TimePoint aNow) const
{
  std::optional<TimePoint> next;
  if (IsAway(aNow)) {
    return next;
  }
  for (const auto& [id, entry] : mEntries) {
    if (entry.mIsExpired) {
      next = std::min(next.value_or(entry.mRemoveAt), entry.mRemoveAt);
    }
  }
  return next;
}

bool
EndpointDirectory::Expire(TimePoint aNow)
{
  // Grace periods stand still while the store is away.
  const auto counted = IsAway(aNow) ? *mAwaySince : aNow;
  bool isChanged =
    std::erase_if(mEntries, [&](const auto& aItem) {
      return aItem.second.mIsExpired && counted >= aItem.second.mRemoveAt;
    }) > 0;
  for (auto& [id, entry] : mEntries) {
    if (entry.mFormerEntry && entry.mEndpointIncarnation.PromoteEarlier(aNow)) {
      entry.mInfo = *std::exchange(entry.mFormerEntry, std::nullopt);
      entry.mFirstRevision = entry.mInfo.mRevision;
      isChanged = true;
    }
  }
  return isChanged;
}

std::vector<EndpointInfo>
EndpointDirectory::Endpoints() const
{
  std::map<std::string_view, std::uint64_t> newest;
  for (const auto& [id, entry] : mEntries) {
    auto& revision = newest[entry.mInfo.mAddress];
    revision = std::max(revision, entry.mFirstRevision);
  }
  std::vector<EndpointInfo> endpoints;
  endpoints.reserve(mEntries.size());
  for (const auto& [id, entry] : mEntries) {
    if (entry.mFirstRevision == newest[entry.mInfo.mAddress]) {
      endpoints.push_back(entry.mInfo);
    }
  }
  return endpoints;
}

} // namespace shuntjunction::state
