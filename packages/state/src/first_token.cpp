#include "shuntjunction/state/first_token.h"

#include <algorithm>
#include <cmath>

#include "shuntjunction/state/waiting_tokens.h"

namespace shuntjunction::state {

PrefillRate::PrefillRate(const FirstTokenSettings& aSettings)
  : mSettings(aSettings)
  , mRate(aSettings.mInitialRate)
{
}

void
PrefillRate::Note(std::int64_t aTokens, Millis aTook)
{
  if (aTokens < mSettings.mMinTokens) {
    return;
  }
  const double millis = static_cast<double>(std::max(aTook, Millis(1)).count());
  const double observed = std::clamp(static_cast<double>(aTokens) / millis,
                                     mSettings.mMinRate,
                                     mSettings.mMaxRate);
  mRate += mSettings.mSmoothing * (observed - mRate);
}

Millis
PrefillRate::TimeOf(std::int64_t aTokens) const
{
  return Millis(std::llround(static_cast<double>(aTokens) / mRate));
}

int
EffectiveUrgency(const FirstTokenEstimate& aEstimate,
                 const FirstTokenSettings& aSettings)
{
  const auto limit = static_cast<double>(aEstimate.mObjective.count()) *
                     aSettings.mLateThreshold;
  const auto expected =
    static_cast<double>((aEstimate.mElapsed + aEstimate.mExpected).count());
  const bool isLate = expected > limit;
  return std::min(kUrgencyLevels - 1,
                  aEstimate.mUrgency + (isLate ? aSettings.mLateDemotion : 0));
}

} // namespace shuntjunction::state
