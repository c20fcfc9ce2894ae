#include "shuntjunction/state/demand_tracker.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <vector>

namespace shuntjunction::state {

DemandTracker::DemandTracker(const DemandSettings& aSettings)
  : mSettings(aSettings)
{
}

double
DemandTracker::Decayed(const Entry& aEntry, TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - aEntry.mAt;
  return aEntry.mWork * std::exp2(-age / mSettings.mHalfLife);
}

void
DemandTracker::Add(std::uint64_t aKey, double aSeconds, TimePoint aNow)
{
  if (mEntries.size() >= mSettings.mMaxKeys && !mEntries.contains(aKey)) {
    EvictColdest(aNow);
  }
  Entry& entry = mEntries[aKey];
  entry.mWork = Decayed(entry, aNow) + aSeconds;
  entry.mAt = aNow;
}

double
DemandTracker::Rate(std::uint64_t aKey, TimePoint aNow) const
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return 0.0;
  }
  // Decayed work that arrives at a rate r converges to r * halfLife / ln 2.
  return Decayed(found->second, aNow) * std::numbers::ln2 /
         mSettings.mHalfLife.count();
}

void
DemandTracker::EvictColdest(TimePoint aNow)
{
  std::vector<double> work;
  work.reserve(mEntries.size());
  for (const auto& [key, entry] : mEntries) {
    work.push_back(Decayed(entry, aNow));
  }
  const auto middle =
    work.begin() + static_cast<std::ptrdiff_t>(work.size() / 2);
  std::nth_element(work.begin(), middle, work.end());
  const double limit = *middle;
  std::erase_if(mEntries, [&](const auto& aItem) {
    return Decayed(aItem.second, aNow) <= limit;
  });
}

} // namespace shuntjunction::state
