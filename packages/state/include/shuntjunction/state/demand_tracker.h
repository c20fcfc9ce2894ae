#pragma once

#include <cstdint>
#include <unordered_map>

#include "shuntjunction/state/clock.h"

/// How much work each prefix brings.
namespace shuntjunction::state {

/// Settings of a DemandTracker.
struct DemandSettings
{
  std::chrono::duration<double> mHalfLife{ 3.0 }; ///< of an observation
  std::size_t mMaxKeys = 32768; ///< keys kept; the least in demand go first
};

/// Decayed rates of work by key, in seconds of engine time a second.
///
/// Thread safety: none; owned by one thread.
class DemandTracker
{
public:
  explicit DemandTracker(const DemandSettings& aSettings);

  /// Adds work of aSeconds of engine time for a key.
  void Add(std::uint64_t aKey, double aSeconds, TimePoint aNow);

  /// Engine seconds a second asked for by a key at present.
  double Rate(std::uint64_t aKey, TimePoint aNow) const;

  /// Keys held.
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    double mWork = 0;
    TimePoint mAt;
  };

  double Decayed(const Entry& aEntry, TimePoint aNow) const;
  void DropColdest(TimePoint aNow);

  DemandSettings mSettings;
  std::unordered_map<std::uint64_t, Entry> mEntries;
};

} // namespace shuntjunction::state
