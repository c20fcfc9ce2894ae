#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

/// Prompt tokens that wait to be read at an engine, by urgency.
namespace shuntjunction::state {

/// Levels of urgency that engines know; 0 goes first.
inline constexpr int kUrgencyLevels = 10;

/// Counts of waiting tokens, one a level.
///
/// Thread safety: none.
class WaitingTokens
{
public:
  using Levels = std::array<std::int64_t, kUrgencyLevels>;

  WaitingTokens() = default;

  /// @param aLevels  as a peer told them; absurd ones are bounded
  explicit WaitingTokens(const Levels& aLevels)
  {
    std::transform(aLevels.begin(),
                   aLevels.end(),
                   mLevels.begin(),
                   [](std::int64_t aTokens) {
                     return std::clamp<std::int64_t>(aTokens, 0, kMostTokens);
                   });
  }

  /// Counts tokens that begin to wait.
  void Add(int aUrgency, std::int64_t aTokens) { At(aUrgency) += aTokens; }

  /// Takes back tokens that were added.
  void Remove(int aUrgency, std::int64_t aTokens)
  {
    auto& level = At(aUrgency);
    level = std::max<std::int64_t>(0, level - aTokens);
  }

  /// Tokens that are read before those of a new request of an urgency.
  std::int64_t AheadOf(int aUrgency) const
  {
    const auto last = mLevels.begin() + Bounded(aUrgency) + 1;
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
  /// No engine has minutes of reading before it: more is a peer's mistake.
  static constexpr std::int64_t kMostTokens = 10'000'000;

  static int Bounded(int aUrgency)
  {
    return std::clamp(aUrgency, 0, kUrgencyLevels - 1);
  }

  std::int64_t& At(int aUrgency)
  {
    return mLevels[static_cast<std::size_t>(Bounded(aUrgency))];
  }

  Levels mLevels{};
};

} // namespace shuntjunction::state
