#include "shuntjunction/state/rollout/rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace shuntjunction::state {

std::size_t
RolloutLatencyBucket(Millis aLatency)
{
  constexpr double kFactor = 1.5;
  if (aLatency <= Millis(1)) {
    return 0;
  }
  const double exponent =
    std::log(static_cast<double>(aLatency.count())) / std::log(kFactor);
  return std::min(static_cast<std::size_t>(std::ceil(exponent)),
                  kRolloutLatencyBuckets - 1);
}

RolloutOutcomes&
RolloutOutcomes::operator+=(const RolloutOutcomes& aOther)
{
  mRequests += aOther.mRequests;
  mFailed += aOther.mFailed;
  for (std::size_t i = 0; i < mLatency.size(); ++i) {
    mLatency[i] += aOther.mLatency[i];
  }
  return *this;
}

void
RolloutEvidence::Apply(const RolloutReport& aReport, TimePoint aNow)
{
  if (aReport.mOrderId != mOrderId) {
    return;
  }
  const std::pair key(aReport.mRelay, aReport.mRelayStart);
  if (!mSources.contains(key) && mSources.size() >= kMaxSources) {
    mSources.erase(std::min_element(
      mSources.begin(), mSources.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.mAt < aTwo.second.mAt;
      }));
  }
  mSources[key] = { aReport, aNow };
  // Only a report with exposed requests can change the sum over all relays.
  if (!mCountedSince && aReport.mExposed > 0 && Exposed() >= kCountedAnswers) {
    mCountedSince = aNow;
  }
}

RolloutOutcomeTable
RolloutEvidence::Outcomes() const
{
  RolloutOutcomeTable table;
  for (const auto& [key, source] : mSources) {
    for (const auto& [row, outcomes] : source.mReport.mOutcomes) {
      table[row] += outcomes;
    }
  }
  return table;
}

std::uint64_t
RolloutEvidence::Sent() const
{
  std::uint64_t sum = 0;
  for (const auto& [key, source] : mSources) {
    sum += source.mReport.mSent;
  }
  return sum;
}

std::uint64_t
RolloutEvidence::Exposed() const
{
  std::uint64_t sum = 0;
  for (const auto& [key, source] : mSources) {
    sum += source.mReport.mExposed;
  }
  return sum;
}

bool
RolloutEvidence::HasLeftOldVersions(std::uint32_t aStep,
                                    TimePoint aNow,
                                    Millis aMaxAge) const
{
  bool isReported = false;
  for (const auto& [key, source] : mSources) {
    if (aNow - source.mAt > aMaxAge) {
      continue;
    }
    isReported = true;
    if (source.mReport.mStep < aStep || source.mReport.mOldRunning > 0) {
      return false;
    }
  }
  return isReported;
}

} // namespace shuntjunction::state
