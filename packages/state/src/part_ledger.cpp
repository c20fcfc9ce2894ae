#include "shuntjunction/state/part_ledger.h"

namespace shuntjunction::state {

PartRecord&
PartLedger::At(std::string_view aSalt, std::string_view aPart)
{
  std::string key(aSalt);
  key += '/';
  key += aPart;
  const auto found = mByKey.find(key);
  if (found != mByKey.end()) {
    mOrder.splice(mOrder.begin(), mOrder, found->second);
    return found->second->mRecord;
  }
  if (mOrder.size() >= mMaxRecords) {
    mByKey.erase(mOrder.back().mKey);
    mOrder.pop_back();
  }
  mOrder.push_front(Item{ key, {} });
  mByKey.emplace(std::move(key), mOrder.begin());
  return mOrder.front().mRecord;
}

} // namespace shuntjunction::state
