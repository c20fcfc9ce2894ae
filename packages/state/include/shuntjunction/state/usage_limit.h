#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"

/// Limits on what a team may use, and the bucket that keeps one.
namespace shuntjunction::state {

/// What a limit counts.
enum class UsageUnit : std::uint8_t
{
  kRequests,
  kTokens, ///< of the prompt, and the most that may be generated
};

/// Names of UsageUnit.
inline constexpr EnumNames<UsageUnit, 2> kUsageUnitNames{ { "requests",
                                                            "tokens" } };

/// A limit over all entries of the system; zero a second is no limit.
struct UsageLimit
{
  double mPerSecond = 0;
  double mBurst = 0; ///< above the rate, that may come at once

  bool IsLimited() const { return mPerSecond > 0; }

  bool operator==(const UsageLimit&) const = default;
};

/// Gives out a limit so that no time of any length sees more than its rate
/// allows and one burst.
///
/// Thread safety: none.
class UsageBucket
{
public:
  /// @param aFilled  what may be used at once; at most the burst
  UsageBucket(const UsageLimit& aLimit, double aFilled, TimePoint aNow)
    : mLimit(aLimit)
    , mLeft(std::min(aFilled, aLimit.mBurst))
    , mAt(aNow)
  {
  }

  /// Changes the limit. What was not yet given stays, within the new burst: a
  /// raise is no second burst.
  void SetLimit(const UsageLimit& aLimit, TimePoint aNow)
  {
    Fill(aNow);
    mLimit = aLimit;
    mLeft = std::min(mLeft, mLimit.mBurst);
  }

  const UsageLimit& Limit() const { return mLimit; }

  /// What may be used now.
  double Left(TimePoint aNow)
  {
    Fill(aNow);
    return mLeft;
  }

  /// Takes as much of an amount as there is; returns what was taken.
  double TakeUpTo(double aAmount, TimePoint aNow)
  {
    Fill(aNow);
    const double taken = std::clamp(aAmount, 0.0, std::max(0.0, mLeft));
    mLeft -= taken;
    return taken;
  }

  /// Takes back what was taken and not used.
  void GiveBack(double aAmount)
  {
    mLeft = std::min(mLeft + std::max(0.0, aAmount), mLimit.mBurst);
  }

  /// How long until an amount is there; one above the burst never is, and is
  /// told as if it were the burst.
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
