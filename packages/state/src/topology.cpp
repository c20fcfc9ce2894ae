#include "shuntjunction/state/topology.h"

#include <algorithm>

namespace shuntjunction::state {

Topology::Topology(RegionByZone aRegions)
  : mRegions(std::move(aRegions))
  , mHasSeveralRegions(
      std::any_of(mRegions.begin(), mRegions.end(), [&](const auto& aItem) {
        return aItem.second != mRegions.begin()->second;
      }))
{
}

Distance
Topology::Between(std::string_view aZone, std::string_view aOther) const
{
  if (aZone == aOther) {
    return Distance::kSameZone;
  }
  if (!mHasSeveralRegions) {
    return Distance::kSameRegion;
  }
  const auto region = RegionOf(aZone);
  const auto other = RegionOf(aOther);
  if (region.empty() || other.empty()) {
    return Distance::kUnknown;
  }
  return region == other ? Distance::kSameRegion : Distance::kOtherRegion;
}

std::string_view
Topology::RegionOf(std::string_view aZone) const
{
  const auto found = mRegions.find(aZone);
  return found == mRegions.end() ? std::string_view() : found->second;
}

} // namespace shuntjunction::state
