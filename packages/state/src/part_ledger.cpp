#include "shuntjunction/state/part_ledger.h"

namespace shuntjunction::state {

PartRecord&
PartLedger::At(std::string aName)
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
PartLedger::ForgetReader(std::string_view aEndpoint)
{
  for (auto& item : mOrder) {
    if (item.mRecord.mReader == aEndpoint) {
      item.mRecord.mReadingFrom = {};
    }
  }
}

} // namespace shuntjunction::state
