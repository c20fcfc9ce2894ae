#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

/// Prompt tokens that wait for prefill at an engine, by urgency.
namespace shuntjunction::state {

/// Number of urgency levels of engines; 0 is served first.
inline constexpr int kUrgencyLevels = 10;

/// Number of waiting tokens per urgency level.
///
/// Thread safety: none.
class WaitingTokens
{
public:
  using Levels = std::array<std::int64_t, kUrgencyLevels>;

  WaitingTokens() = default;

  /// @param aLevels  as reported by a peer; clamped to plausible values
  explicit WaitingTokens(const Levels& aLevels)
  {
    std::transform(aLevels.begin(),
                   aLevels.end(),
                   mLevels.begin(),
                   [](std::int64_t aTokens) {
                     return std::clamp<std::int64_t>(
                       aTokens, 0, kMaxTokensPerLevel);
                   });
  }

  /// Adds tokens that start to wait.
  void Add(int aUrgency, std::int64_t aTokens) { At(aUrgency) += aTokens; }

  /// Removes tokens that were added; a level never falls below zero.
  void Remove(int aUrgency, std::int64_t aTokens)
  {
    auto& level = At(aUrgency);
    level = std::max<std::int64_t>(0, level - aTokens);
  }

  /// Tokens that are prefilled before those of a new request of an urgency.
  std::int64_t AheadOf(int aUrgency) const
  {
    const auto last = mLevels.begin() + ClampLevel(aUrgency) + 1;
    return std::accumulate(mLevels.begin(), last, std::int64_t{ 0 });
  }

  std::int64_t Total() const { return AheadOf(kUrgencyLevels - 1); }

  const Levels& ByLevel() const { return mLevels; }

  WaitingTokens& operator+=(const WaitingTokens& aOther)
  {
    for (std::size_t i = 0; i < mLevels.size(); ++i) {
      mLevels[i] += aOther.mLevels[i];
    }
    return *this;
  }

  WaitingTokens& operator-=(const WaitingTokens& aOther)
  {
    for (int i = 0; i < kUrgencyLevels; ++i) {
      Remove(i, aOther.mLevels[static_cast<std::size_t>(i)]);
    }
    return *this;
  }

  bool operator==(const WaitingTokens&) const = default;

private:
  /// An engine takes minutes to prefill this many tokens and never has so many
  /// queued, so a higher count is an error of the peer.
  static constexpr std::int64_t kMaxTokensPerLevel = 10'000'000;

  static int ClampLevel(int aUrgency)
  {
    return std::clamp(aUrgency, 0, kUrgencyLevels - 1);
  }

  std::int64_t& At(int aUrgency)
  {
    return mLevels[static_cast<std::size_t>(ClampLevel(aUrgency))];
  }

  Levels mLevels{};
};

} // namespace shuntjunction::state
