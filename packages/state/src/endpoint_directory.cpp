#include "shuntjunction/state/endpoint_directory.h"

#include <set>

namespace shuntjunction::state {

bool
EndpointDirectory::TakeList(const std::vector<EndpointInfo>& aListed,
                            TimePoint aNow)
{
  bool isNews = false;
  std::set<std::string_view> listed;
  for (const auto& endpoint : aListed) {
    listed.insert(endpoint.mId);
    isNews = Put(endpoint) || isNews;
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
EndpointDirectory::Put(const EndpointInfo& aEndpoint)
{
  auto& entry = mEntries[aEndpoint.mId];
  const auto first = entry.mFirstRevision;
  const bool isNews =
    entry.mIsLapsed || entry.mInfo.mRevision != aEndpoint.mRevision;
  entry = Entry{ aEndpoint, first == 0 ? aEndpoint.mRevision : first };
  return isNews;
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
    found->second.mGoesAt = mLastOutage + kLapseGrace;
  }
  return true;
}

void
EndpointDirectory::NoteOutage(TimePoint aNow)
{
  const auto silence = aNow - mLastWord;
  mHadOutage = true;
  mLastOutage = aNow;
  mLastWord = aNow;
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
  return mHadOutage && aNow < mLastOutage + kLapseGrace;
}

bool
EndpointDirectory::Expire(TimePoint aNow)
{
  return std::erase_if(mEntries, [&](const auto& aItem) {
           return aItem.second.mIsLapsed && aNow >= aItem.second.mGoesAt;
         }) > 0;
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
