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
  mSentTimes.insert(aSentAt);
}

void
LateRequests::Remove(TimePoint aSentAt)
{
  const auto found = mSentTimes.find(aSentAt);
  if (found != mSentTimes.end()) {
    mSentTimes.erase(found);
  }
}

bool
LateRequests::IsStalled(TimePoint aNow, Millis aObjective) const
{
  if (mSentTimes.empty()) {
    return false;
  }
  const auto waited =
    std::chrono::duration_cast<Millis>(aNow - *mSentTimes.begin()).count();
  return static_cast<double>(waited) >
         mSettings.mMaxWait * static_cast<double>(aObjective.count());
}

Millis
LateRequests::RetryDelay(Millis aExpected, double aDraw) const
{
  const auto minDelay =
    static_cast<double>(std::max(aExpected, mSettings.mMinRetryDelay).count());
  return Millis(static_cast<std::int64_t>(
    minDelay * (1.0 + mSettings.mRetryJitter * aDraw)));
}

} // namespace shuntjunction::state
