#include "shuntjunction/state/part_record_table.h"

namespace shuntjunction::state {

PartRecord&
PartRecordTable::At(std::string aName)
{
  const auto found = mByKey.find(aName);
  if (found != mByKey.end()) {
    mOrder.splice(mOrder.begin(), mOrder, found->second);
    return found->second->mRecord;
  }
  if (mOrder.size() >= mMaxRecords) {
    mByKey.erase(mOrder.back().mKey);
    mOrder.pop_back();
  }
  mOrder.push_front(Item{ aName, {} });
  mByKey.emplace(std::move(aName), mOrder.begin());
  return mOrder.front().mRecord;
}

void
PartRecordTable::ForgetPrefillsOf(std::string_view aEndpoint)
{
  for (auto& item : mOrder) {
    if (item.mRecord.mPrefillEndpoint == aEndpoint) {
      item.mRecord.mPrefillStartedAt = {};
    }
  }
}

} // namespace shuntjunction::state
