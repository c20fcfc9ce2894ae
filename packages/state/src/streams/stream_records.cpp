#include "shuntjunction/state/streams/stream_records.h"

#include <algorithm>

namespace shuntjunction::state {

void
StreamRecordTable::Note(const StreamRecord& aRecord, TimePoint aNow)
{
  Expire(aNow);
  const auto until = aNow + std::min(aRecord.mLifetime, mSettings.mMaxLifetime);
  const auto [found, isNew] = mRecords.try_emplace(aRecord.mStream);
  auto& entry = found->second;
  if (isNew) {
    entry.mLookup = { StreamKnowledge::kKnown, aRecord.mVersion };
  } else if (entry.mLookup.mVersion != aRecord.mVersion) {
    entry.mLookup = { StreamKnowledge::kAmbiguous, "" };
  }
  if (until > entry.mUntil) {
    entry.mUntil = until;
    mByEnd.emplace(until, aRecord.mStream);
  }
}

StreamLookup
StreamRecordTable::Find(StreamHash aStream, TimePoint aNow) const
{
  const auto found = mRecords.find(aStream);
  return found == mRecords.end() || found->second.mUntil <= aNow
           ? StreamLookup{}
           : found->second.mLookup;
}

void
StreamRecordTable::Expire(TimePoint aNow)
{
  while (!mByEnd.empty() && (mByEnd.begin()->first <= aNow ||
                             mRecords.size() >= mSettings.mMaxRecords)) {
    const auto [until, stream] = *mByEnd.begin();
    mByEnd.erase(mByEnd.begin());
    const auto found = mRecords.find(stream);
    if (found != mRecords.end() && found->second.mUntil == until) {
      mRecords.erase(found);
    }
  }
}

} // namespace shuntjunction::state
