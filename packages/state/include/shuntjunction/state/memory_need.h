#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

/// Memory that the next request is likely to need.
namespace shuntjunction::state {

/// Bounds of a MemoryNeed.
struct MemoryNeedSettings
{
  std::int64_t mLeast = 0; ///< bytes
  std::int64_t mMost = 0;  ///< bytes; not below mLeast
};

/// Estimates what a request needs by those before it.
///
/// Rises to the largest at once and falls by a sixteenth of the difference with
/// each smaller one, so that requests of different sizes find room too.
/// Thread safety: Note is called by one thread, Expected by any.
class MemoryNeed
{
public:
  explicit MemoryNeed(const MemoryNeedSettings& aSettings)
    : mSettings(aSettings)
    , mExpected(aSettings.mLeast)
  {
  }

  /// Records the bytes that a request needed.
  void Note(std::int64_t aBytes)
  {
    const auto before = mExpected.load();
    const auto fallen = before - (before - aBytes) / kFallDivisor;
    mExpected =
      std::clamp(std::max(aBytes, fallen), mSettings.mLeast, mSettings.mMost);
  }

  /// Bytes to reserve for a request of unknown size.
  std::int64_t Expected() const { return mExpected; }

private:
  static constexpr std::int64_t kFallDivisor = 16;

  const MemoryNeedSettings mSettings;
  std::atomic<std::int64_t> mExpected;
};

} // namespace shuntjunction::state
