#include "shuntjunction/state/part_index.h"

namespace shuntjunction::state {

std::string
PartName(std::string_view aSalt, std::string_view aPart)
{
  std::string name(aSalt);
  name += '/';
  name += aPart;
  return name;
}

void
PartIndex::Apply(const std::string& aHolder,
                 bool aIsSnapshot,
                 const std::vector<std::string>& aGained,
                 const std::vector<std::string>& aLost)
{
  if (aIsSnapshot) {
    Forget(aHolder);
  }
  auto& parts = mByHolder[aHolder];
  for (const auto& part : aLost) {
    if (parts.erase(part) > 0) {
      RemoveHolder(aHolder, part);
    }
  }
  for (const auto& part : aGained) {
    if (parts.size() < kMaxPartsOfHolder && parts.insert(part).second) {
      mByPart[part].insert(aHolder);
    }
  }
}

void
PartIndex::Forget(const std::string& aHolder)
{
  const auto found = mByHolder.find(aHolder);
  if (found == mByHolder.end()) {
    return;
  }
  for (const auto& part : found->second) {
    RemoveHolder(aHolder, part);
  }
  mByHolder.erase(found);
}

void
PartIndex::RemoveHolder(const std::string& aHolder, const std::string& aPart)
{
  const auto found = mByPart.find(aPart);
  if (found == mByPart.end()) {
    return;
  }
  found->second.erase(aHolder);
  if (found->second.empty()) {
    mByPart.erase(found);
  }
}

bool
PartIndex::Holds(std::string_view aHolder, const std::string& aPart) const
{
  const auto found = mByPart.find(aPart);
  return found != mByPart.end() && found->second.contains(aHolder);
}

std::vector<std::string>
PartIndex::Holders(const std::string& aPart) const
{
  const auto found = mByPart.find(aPart);
  if (found == mByPart.end()) {
    return {};
  }
  return { found->second.begin(), found->second.end() };
}

} // namespace shuntjunction::state
