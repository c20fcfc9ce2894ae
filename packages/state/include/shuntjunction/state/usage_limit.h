#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"

/// Usage limits of teams, and the token bucket that enforces one.
namespace shuntjunction::state {

/// The unit of a limit.
enum class UsageUnit : std::uint8_t
{
  kRequests,
  kTokens, ///< of the prompt, plus the most that may be generated
};

/// Names of UsageUnit.
inline constexpr EnumNames<UsageUnit, 2> kUsageUnitNames{ { "requests",
                                                            "tokens" } };

/// A limit across all entry points of the system; a rate of zero means no
/// limit.
struct UsageLimit
{
  double mPerSecond = 0;
  double mBurst = 0; ///< amount that may be used at once, above the rate

  bool IsLimited() const { return mPerSecond > 0; }

  bool operator==(const UsageLimit&) const = default;
};

/// A token bucket: usage over any period is at most the rate times the period
/// plus one burst.
///
/// Thread safety: none.
class UsageBucket
{
public:
  /// @param aFilled  initially available amount; at most the burst
  UsageBucket(const UsageLimit& aLimit, double aFilled, TimePoint aNow)
    : mLimit(aLimit)
    , mLeft(std::min(aFilled, aLimit.mBurst))
    , mAt(aNow)
  {
  }

  /// Changes the limit. The available amount is kept, capped at the new burst;
  /// raising a limit does not grant a second burst.
  void SetLimit(const UsageLimit& aLimit, TimePoint aNow)
  {
    Fill(aNow);
    mLimit = aLimit;
    mLeft = std::min(mLeft, mLimit.mBurst);
  }

  const UsageLimit& Limit() const { return mLimit; }

  /// Amount available now.
  double Left(TimePoint aNow)
  {
    Fill(aNow);
    return mLeft;
  }

  /// Takes up to an amount, as far as available; returns what was taken.
  double TakeUpTo(double aAmount, TimePoint aNow)
  {
    Fill(aNow);
    const double taken = std::clamp(aAmount, 0.0, std::max(0.0, mLeft));
    mLeft -= taken;
    return taken;
  }

  /// Takes an amount whether available or not; later ones wait for it.
  void Use(double aAmount, TimePoint aNow)
  {
    Fill(aNow);
    mLeft -= aAmount;
  }

  /// Returns an amount that was taken and not used.
  void GiveBack(double aAmount)
  {
    mLeft = std::min(mLeft + std::max(0.0, aAmount), mLimit.mBurst);
  }

  /// Time until an amount is available; for an amount above the burst, which
  /// never is, the time until the bucket is full.
  Millis TimeUntil(double aAmount, TimePoint aNow)
  {
    Fill(aNow);
    const double missing = std::min(aAmount, mLimit.mBurst) - mLeft;
    if (missing <= 0 || mLimit.mPerSecond <= 0) {
      return Millis(0);
    }
    constexpr double kMillisPerSecond = 1000.0;
    return Millis(static_cast<std::int64_t>(
      std::ceil(missing / mLimit.mPerSecond * kMillisPerSecond)));
  }

private:
  void Fill(TimePoint aNow)
  {
    const std::chrono::duration<double> passed = aNow - mAt;
    if (passed.count() > 0) {
      mLeft =
        std::min(mLimit.mBurst, mLeft + passed.count() * mLimit.mPerSecond);
      mAt = aNow;
    }
  }

  UsageLimit mLimit;
  double mLeft;
  TimePoint mAt;
};

} // namespace shuntjunction::state
