#include "shuntjunction/state/weights_history.h"

#include <algorithm>

namespace shuntjunction::state {

std::int64_t
LoggedMillis(std::optional<Millis> aSupersededFor)
{
  if (!aSupersededFor) {
    return 0;
  }
  return *aSupersededFor == Millis::max() ? -1 : aSupersededFor->count();
}

bool
WeightsHistory::Learn(std::uint64_t aVersion, TimePoint aLearnedAt)
{
  if (aVersion <= mNewest) {
    return false;
  }
  mNewest = aVersion;
  mNewestLearnedAt = aLearnedAt;
  return true;
}

void
WeightsHistory::Confirm(std::uint64_t aVersion, TimePoint aAt)
{
  const auto [entry, isNew] = mConfirmed.try_emplace(aVersion, aAt);
  entry->second = std::max(entry->second, aAt);
  if (mConfirmed.size() > kMaxWeightsVersions) {
    mConfirmed.erase(mConfirmed.begin());
  }
}

void
WeightsHistory::Merge(const WeightsHistory& aOther)
{
  for (const auto& [version, at] : aOther.mConfirmed) {
    Confirm(version, at);
  }
}

std::optional<Millis>
WeightsHistory::SupersededFor(std::uint64_t aVersion, TimePoint aNow) const
{
  if (aVersion >= mNewest) {
    return std::nullopt;
  }
  // While an older version was the newest, this one was not superseded either.
  std::optional<TimePoint> confirmed;
  for (const auto& [version, at] : mConfirmed) {
    if (version <= aVersion) {
      confirmed = confirmed ? std::max(*confirmed, at) : at;
    }
  }
  return confirmed ? std::chrono::ceil<Millis>(aNow - *confirmed)
                   : Millis::max();
}

std::vector<WeightsConfirmation>
WeightsHistory::Confirmations(TimePoint aNow) const
{
  std::vector<WeightsConfirmation> confirmations;
  confirmations.reserve(mConfirmed.size());
  for (const auto& [version, at] : mConfirmed) {
    confirmations.push_back({ version, std::chrono::ceil<Millis>(aNow - at) });
  }
  return confirmations;
}

} // namespace shuntjunction::state
