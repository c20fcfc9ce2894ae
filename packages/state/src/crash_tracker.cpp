#include "shuntjunction/state/crash_tracker.h"

#include <algorithm>
#include <tuple>

namespace shuntjunction::state {

namespace {

/// A full tracker evicts one record in this many at once. At the default size a
/// flood of suspects then scans all records once per 512 new ones, not for
/// each.
constexpr std::size_t kEvictionDivisor = 8;

} // namespace

bool
CrashTracker::Note(const CrashReport& aReport, TimePoint aAt)
{
  auto& record = RecordOf(aReport.mRequest, aAt);
  if (record.mClearedAt && aAt <= *record.mClearedAt) {
    return false;
  }
  const auto isSame = [&](const Crash& aCrash) {
    const auto apart = std::max(aAt, aCrash.mAt) - std::min(aAt, aCrash.mAt);
    return aCrash.mEndpoint == aReport.mEndpoint &&
           apart < mSettings.mDuplicateWindow;
  };
  const bool isKnown =
    std::any_of(record.mCrashes.begin(), record.mCrashes.end(), isSame);
  if (isKnown) {
    return false;
  }
  record.mCrashes.push_back({ aReport.mEndpoint, aAt });
  record.mLatest = std::max(record.mLatest, aAt);
  const auto threshold =
    static_cast<std::size_t>(mSettings.mQuarantineThreshold);
  if (record.mCrashes.size() >= threshold) {
    record.mQuarantinedUntil =
      std::max(record.mQuarantinedUntil, aAt + mSettings.mQuarantine);
  }
  if (record.mCrashes.size() > threshold) {
    record.mCrashes.erase(record.mCrashes.begin());
  }
  return true;
}

std::vector<CrashReport>
CrashTracker::Clear(const RequestDigest& aRequest, TimePoint aAt)
{
  std::vector<CrashReport> known;
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return known;
  }
  auto& record = found->second;
  for (const auto& crash : record.mCrashes) {
    known.push_back({ aRequest, crash.mEndpoint });
  }
  record.mCrashes.clear();
  record.mQuarantinedUntil = {};
  record.mLatest = std::max(record.mLatest, aAt);
  record.mClearedAt =
    record.mClearedAt ? std::max(*record.mClearedAt, aAt) : aAt;
  return known;
}

bool
CrashTracker::Quarantine(const RequestDigest& aRequest,
                         TimePoint aNow,
                         Millis aDuration)
{
  const bool isNew = QuarantineLeft(aRequest, aNow) == Millis(0);
  auto& record = RecordOf(aRequest, aNow);
  record.mLatest = std::max(record.mLatest, aNow);
  record.mQuarantinedUntil =
    std::max(record.mQuarantinedUntil,
             aNow + std::min(aDuration, mSettings.mQuarantine));
  return isNew;
}

void
CrashTracker::Release(const RequestDigest& aRequest)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  const auto allowed =
    static_cast<std::size_t>(mSettings.mQuarantineThreshold) - 1;
  auto& crashes = found->second.mCrashes;
  crashes.resize(std::min(crashes.size(), allowed));
  found->second.mQuarantinedUntil = {};
}

std::optional<TimePoint>
CrashTracker::CommonMoment(const RequestDigest& aRequest, TimePoint aNow) const
{
  const auto found = mRequests.find(aRequest);
  const auto threshold =
    static_cast<std::size_t>(mSettings.mQuarantineThreshold);
  if (found == mRequests.end() || found->second.mCrashes.size() < threshold ||
      found->second.mQuarantinedUntil <= aNow) {
    return std::nullopt;
  }
  const auto& crashes = found->second.mCrashes;
  const auto [first, last] = std::minmax_element(
    crashes.begin(), crashes.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.mAt < aTwo.mAt;
    });
  return last->mAt - first->mAt < mSettings.mMoment ? std::optional(first->mAt)
                                                    : std::nullopt;
}

std::vector<std::uint64_t>
CrashTracker::CrashedEndpoints(const RequestDigest& aRequest) const
{
  std::vector<std::uint64_t> endpoints;
  const auto found = mRequests.find(aRequest);
  if (found != mRequests.end()) {
    for (const auto& crash : found->second.mCrashes) {
      endpoints.push_back(crash.mEndpoint);
    }
  }
  return endpoints;
}

int
CrashTracker::Crashes(const RequestDigest& aRequest, TimePoint aNow) const
{
  const auto found = mRequests.find(aRequest);
  const bool isKnown =
    found != mRequests.end() && !IsForgotten(found->second, aNow);
  return isKnown ? static_cast<int>(found->second.mCrashes.size()) : 0;
}

Millis
CrashTracker::QuarantineLeft(const RequestDigest& aRequest,
                             TimePoint aNow) const
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end() || found->second.mQuarantinedUntil <= aNow) {
    return Millis(0);
  }
  return std::chrono::ceil<Millis>(found->second.mQuarantinedUntil - aNow);
}

std::vector<AgedCrashReport>
CrashTracker::Reports(TimePoint aNow) const
{
  std::vector<std::pair<std::size_t, AgedCrashReport>> ranked;
  for (const auto& [request, record] : mRequests) {
    if (IsForgotten(record, aNow)) {
      continue;
    }
    for (const auto& crash : record.mCrashes) {
      const auto age = std::max(aNow - crash.mAt, TimePoint::duration(0));
      ranked.push_back({ record.mCrashes.size(),
                         { { request, crash.mEndpoint },
                           std::chrono::duration_cast<Millis>(age) } });
    }
  }
  std::stable_sort(
    ranked.begin(), ranked.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.first > aTwo.first;
    });
  std::vector<AgedCrashReport> reports;
  reports.reserve(ranked.size());
  for (auto& [crashes, report] : ranked) {
    reports.push_back(std::move(report));
  }
  return reports;
}

std::size_t
CrashTracker::Suspects() const
{
  return static_cast<std::size_t>(
    std::count_if(mRequests.begin(), mRequests.end(), [](const auto& aItem) {
      return !aItem.second.mCrashes.empty();
    }));
}

std::size_t
CrashTracker::Quarantined(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mRequests.begin(), mRequests.end(), [&](const auto& aItem) {
      return aItem.second.mQuarantinedUntil > aNow;
    }));
}

bool
CrashTracker::IsForgotten(const Record& aRecord, TimePoint aNow) const
{
  // A request that was quarantined stays on probation for as long again: a
  // single crash quarantines it again.
  const auto since = std::max(aRecord.mLatest, aRecord.mQuarantinedUntil);
  return aNow - since >= mSettings.mSuspicionPeriod;
}

CrashTracker::Record&
CrashTracker::RecordOf(const RequestDigest& aRequest, TimePoint aNow)
{
  const auto found = mRequests.find(aRequest);
  if (found != mRequests.end()) {
    if (IsForgotten(found->second, aNow)) {
      found->second = {};
    }
    return found->second;
  }
  if (mRequests.size() >= mSettings.mMaxRequests) {
    EvictLowestRanked(aNow);
  }
  return mRequests[aRequest];
}

void
CrashTracker::EvictLowestRanked(TimePoint aNow)
{
  // A caller with many requests that run alongside crashes must not be able to
  // evict a quarantined one.
  const auto rankOf = [&](const Record& aRecord) {
    return std::tuple(aRecord.mQuarantinedUntil > aNow,
                      aRecord.mCrashes.size(),
                      aRecord.mLatest);
  };
  using Entry = std::map<RequestDigest, Record>::iterator;
  std::vector<Entry> entries;
  for (auto entry = mRequests.begin(); entry != mRequests.end(); ++entry) {
    entries.push_back(entry);
  }
  const auto count =
    std::max<std::size_t>(entries.size() / kEvictionDivisor, 1);
  const auto end = entries.begin() + static_cast<std::ptrdiff_t>(count);
  std::nth_element(
    entries.begin(), end - 1, entries.end(), [&](Entry aOne, Entry aTwo) {
      return rankOf(aOne->second) < rankOf(aTwo->second);
    });
  for (auto entry = entries.begin(); entry != end; ++entry) {
    mRequests.erase(*entry);
  }
}

} // namespace shuntjunction::state
