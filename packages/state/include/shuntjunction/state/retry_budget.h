#pragma once

#include "shuntjunction/state/clock.h"

/// Keeps retries from amplifying load during a failure.
namespace shuntjunction::state {

/// Settings of a RetryBudget.
struct RetryBudgetSettings
{
  double mRatio = 0.2;       ///< retries earned per first attempt
  double mMinPerSecond = 1.; ///< retries earned by time alone
  double mMax = 50.;         ///< maximum saved retries
};

/// Allows a number of retries in proportion to first attempts.
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

  /// Records a first attempt.
  void Earn(TimePoint aNow)
  {
    Refill(aNow);
    mSaved = std::min(mSettings.mMax, mSaved + mSettings.mRatio);
  }

  /// Takes one retry; returns false if the budget is exhausted.
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
