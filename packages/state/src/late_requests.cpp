#include "shuntjunction/state/late_requests.h"

#include <algorithm>

namespace shuntjunction::state {

LateRequests::LateRequests(const LateRequestsSettings& aSettings)
  : mSettings(aSettings)
{
}

void
LateRequests::Add(TimePoint aSentAt)
{
  mSent.insert(aSentAt);
}

void
LateRequests::Remove(TimePoint aSentAt)
{
  const auto found = mSent.find(aSentAt);
  if (found != mSent.end()) {
    mSent.erase(found);
  }
}

bool
LateRequests::IsStalled(TimePoint aNow, Millis aObjective) const
{
  if (mSent.empty()) {
    return false;
  }
  const auto waited =
    std::chrono::duration_cast<Millis>(aNow - *mSent.begin()).count();
  return static_cast<double>(waited) >
         mSettings.mMostWait * static_cast<double>(aObjective.count());
}

Millis
LateRequests::RetryDelay(Millis aExpected, double aDraw) const
{
  const auto first =
    static_cast<double>(std::max(aExpected, mSettings.mFirstReturn).count());
  return Millis(
    static_cast<std::int64_t>(first * (1.0 + mSettings.mReturnSpread * aDraw)));
}

} // namespace shuntjunction::state
