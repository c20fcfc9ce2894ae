#pragma once

#include <cstdint>
#include <unordered_map>

#include "shuntjunction/state/clock.h"

/// Rate of work per prefix.
namespace shuntjunction::state {

/// Settings of a DemandTracker.
struct DemandSettings
{
  std::chrono::duration<double> mHalfLife{ 3.0 }; ///< of recorded work
  std::size_t mMaxKeys = 32768; ///< beyond it, keys of least demand are evicted
};

/// Exponentially decayed rates of work by key, in engine seconds per second.
///
/// Thread safety: none; owned by one thread.
class DemandTracker
{
public:
  explicit DemandTracker(const DemandSettings& aSettings);

  /// Records work of aSeconds of engine time for a key.
  void Add(std::uint64_t aKey, double aSeconds, TimePoint aNow);

  /// Current demand of a key, in engine seconds per second.
  double Rate(std::uint64_t aKey, TimePoint aNow) const;

  /// Number of keys.
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    double mWork = 0;
    TimePoint mAt; ///< when mWork was updated
  };

  double Decayed(const Entry& aEntry, TimePoint aNow) const;
  /// Evicts all keys whose demand is not above the median.
  void EvictColdest(TimePoint aNow);

  DemandSettings mSettings;
  std::unordered_map<std::uint64_t, Entry> mEntries;
};

} // namespace shuntjunction::state
