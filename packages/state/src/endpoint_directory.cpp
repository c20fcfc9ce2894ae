#include "shuntjunction/state/endpoint_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shuntjunction::state {

bool
EndpointDirectory::MergeList(const std::vector<EndpointInfo>& aListed,
                             TimePoint aNow)
{
  bool isNews = false;
  std::set<std::string_view> listed;
  for (const auto& endpoint : aListed) {
    listed.insert(endpoint.mId);
    isNews = Put(endpoint, aNow) || isNews;
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : mEntries) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    isNews = Remove(id, aNow) || isNews;
  }
  return isNews;
}

bool
EndpointDirectory::Put(const EndpointInfo& aEndpoint, TimePoint aNow)
{
  auto& entry = mEntries[aEndpoint.mId];
  const auto word =
    entry.mEndpointIncarnation.Take(aEndpoint.mEndpointIncarnation, aNow);
  if (word == IncarnationUpdate::kFormer) {
    return PutFormer(entry, aEndpoint);
  }
  const bool isFirst =
    entry.mFirstRevision == 0 || word == IncarnationUpdate::kNewer;
  const bool isNews =
    entry.mIsLapsed || entry.mInfo.mRevision != aEndpoint.mRevision;
  entry.mInfo = aEndpoint;
  entry.mFormer.reset();
  entry.mFirstRevision = isFirst ? aEndpoint.mRevision : entry.mFirstRevision;
  entry.mIsLapsed = false;
  return isNews;
}

bool
EndpointDirectory::PutFormer(Entry& aEntry, const EndpointInfo& aEndpoint)
{
  const bool isSeen =
    aEntry.mFormer && aEntry.mFormer->mRevision == aEndpoint.mRevision;
  if (!isSeen) {
    ++mStaleReports;
  }
  aEntry.mFormer = aEndpoint;
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
  if (found == mEntries.end() || found->second.mIsLapsed) {
    return false;
  }
  if (found->second.mInfo.mIsLeaving || !IsInGrace(aNow)) {
    mEntries.erase(found);
  } else {
    found->second.mIsLapsed = true;
    found->second.mGoesAt = mLastOutage + kExpiredEntryGrace;
  }
  return true;
}

void
EndpointDirectory::NoteOutage(TimePoint aNow)
{
  const auto silence = std::max(aNow - mLastWord, TimePoint::duration::zero());
  mHadOutage = true;
  mLastOutage = std::max(mLastOutage, aNow);
  mLastWord = std::max(mLastWord, aNow);
  for (auto& [id, entry] : mEntries) {
    if (entry.mIsLapsed) {
      entry.mGoesAt += silence;
    }
  }
}

void
EndpointDirectory::NoteAnswer(TimePoint aNow)
{
  mLastWord = aNow;
}

bool
EndpointDirectory::IsInGrace(TimePoint aNow) const
{
  return mHadOutage && aNow < mLastOutage + kExpiredEntryGrace;
}

bool
EndpointDirectory::Expire(TimePoint aNow)
{
  bool isNews = std::erase_if(mEntries, [&](const auto& aItem) {
                  return aItem.second.mIsLapsed && aNow >= aItem.second.mGoesAt;
                }) > 0;
  for (auto& [id, entry] : mEntries) {
    if (entry.mFormer && entry.mEndpointIncarnation.PromoteEarlier(aNow)) {
      entry.mInfo = *std::exchange(entry.mFormer, std::nullopt);
      entry.mFirstRevision = entry.mInfo.mRevision;
      isNews = true;
    }
  }
  return isNews;
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
