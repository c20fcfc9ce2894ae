#pragma once

#include "shuntjunction/state/clock.h"

/// Keeps retries from multiplying the load of a failure.
namespace shuntjunction::state {

/// Settings of a RetryBudget.
struct RetryBudgetSettings
{
  double mRatio = 0.2;       ///< retries earned by each first attempt
  double mMinPerSecond = 1.; ///< retries earned by time alone
  double mMax = 50.;         ///< retries that can be saved up
};

/// Allows retries as a share of first attempts.
///
/// Thread safety: none; owned by one thread.
class RetryBudget
{
public:
  RetryBudget(const RetryBudgetSettings& aSettings, TimePoint aNow)
    : mSettings(aSettings)
    , mRefilled(aNow)
    , mSaved(aSettings.mMax)
  {
  }

  /// Counts a first attempt.
  void Earn(TimePoint aNow)
  {
    Refill(aNow);
    mSaved = std::min(mSettings.mMax, mSaved + mSettings.mRatio);
  }

  /// Takes one retry; false when the budget is spent.
  bool Spend(TimePoint aNow)
  {
    Refill(aNow);
    if (mSaved < 1.0) {
      return false;
    }
    mSaved -= 1.0;
    return true;
  }

private:
  void Refill(TimePoint aNow)
  {
    const std::chrono::duration<double> passed = aNow - mRefilled;
    mSaved = std::min(mSettings.mMax,
                      mSaved + passed.count() * mSettings.mMinPerSecond);
    mRefilled = aNow;
  }

  RetryBudgetSettings mSettings;
  TimePoint mRefilled;
  double mSaved;
};

} // namespace shuntjunction::state
