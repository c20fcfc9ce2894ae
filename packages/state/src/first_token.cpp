#include "shuntjunction/state/first_token.h"

#include <algorithm>
#include <cmath>

#include "shuntjunction/state/waiting_tokens.h"

namespace shuntjunction::state {

PrefillRate::PrefillRate(const FirstTokenSettings& aSettings)
  : mSettings(aSettings)
  , mRate(aSettings.mStartRate)
{
}

void
PrefillRate::Note(std::int64_t aTokens, Millis aTook)
{
  if (aTokens < mSettings.mLeastTokens) {
    return;
  }
  const double took = static_cast<double>(std::max(aTook, Millis(1)).count());
  const double seen = std::clamp(static_cast<double>(aTokens) / took,
                                 mSettings.mMinRate,
                                 mSettings.mMaxRate);
  mRate += mSettings.mLearningShare * (seen - mRate);
}

Millis
PrefillRate::TimeOf(std::int64_t aTokens) const
{
  return Millis(std::llround(static_cast<double>(aTokens) / mRate));
}

int
EffectiveUrgency(const FirstTokenAsk& aAsk, const FirstTokenSettings& aSettings)
{
  const auto limit =
    static_cast<double>(aAsk.mObjective.count()) * aSettings.mOnTimeShare;
  const auto expected =
    static_cast<double>((aAsk.mElapsed + aAsk.mExpected).count());
  const bool isLate = expected > limit;
  return std::min(kUrgencyLevels - 1,
                  aAsk.mUrgency + (isLate ? aSettings.mLateLevels : 0));
}

} // namespace shuntjunction::state
