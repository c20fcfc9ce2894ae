#include "shuntjunction/state/part_crash_tracker.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace shuntjunction::state {

namespace {

/// A full tracker evicts one record in this many at once, so that a flood of
/// suspects does not scan all records for each.
constexpr std::size_t kEvictionDivisor = 8;

/// Crashes that are kept of one part: more than any threshold.
constexpr std::size_t kMaxCrashes = 24;

/// The same of one endpoint, which may crash again and again.
constexpr std::ptrdiff_t kMaxCrashesOfEndpoint = 6;

/// Teams for which a part is refused before it is refused for all.
constexpr std::size_t kMaxTeams = 1;

} // namespace

PartChanges
PartCrashTracker::Note(const PartCrash& aCrash, TimePoint aAt)
{
  PartChanges changes;
  const auto isRefused = [&](const RequestDigest& aPart) {
    return QuarantineLeft(aPart, aCrash.mTeam, aAt) > Millis(0);
  };
  const auto& parts = aCrash.mParts;
  const auto known = std::find_if(parts.begin(), parts.end(), isRefused);
  if (known != parts.end()) {
    // Sent before its relay knew; it explains the crash under all other parts.
    changes.mIsNew = AddCrash(*known, aCrash, aAt);
    return changes;
  }
  for (const auto& part : parts) {
    changes.mIsNew = AddCrash(part, aCrash, aAt) || changes.mIsNew;
  }
  changes.mReleased = WithdrawUnfounded(aAt);
  Decide(aCrash, aAt, changes);
  return changes;
}

void
PartCrashTracker::Decide(const PartCrash& aCrash,
                         TimePoint aAt,
                         PartChanges& aChanges)
{
  const auto earlier = SuspendRecent(aCrash, aAt);
  const auto cause = FindCause(aCrash, aAt);
  const bool isFound = cause != mRecords.end() && MayCondemn(cause->first, aAt);
  for (const auto& [part, record] : earlier) {
    if (!isFound || part == cause->first) {
      mRecords[part] = record;
      mCondemned.insert(part);
    } else {
      aChanges.mReleased.push_back(part);
    }
  }
  if (!isFound || earlier.count(cause->first) != 0) {
    return;
  }
  Condemn(cause, aAt);
  aChanges.mCondemned.push_back(cause->first);
  const auto released = WithdrawUnfounded(aAt);
  aChanges.mReleased.insert(
    aChanges.mReleased.end(), released.begin(), released.end());
}

PartCrashTracker::Records
PartCrashTracker::SuspendRecent(const PartCrash& aCrash, TimePoint aAt)
{
  Records suspended;
  for (const auto& part : aCrash.mParts) {
    const auto found = mRecords.find(part);
    const bool isRecent =
      mCondemned.count(part) != 0 && found != mRecords.end() &&
      aAt - found->second.mCondemnedAt < mSettings.mSettlePeriod;
    if (isRecent) {
      suspended.insert(*found);
      Release(part);
    }
  }
  return suspended;
}

void
PartCrashTracker::Release(const RequestDigest& aPart)
{
  auto& record = mRecords.find(aPart)->second;
  record.mTeams.clear();
  record.mIsForAllTeams = false;
  record.mCondemnedUntil = {};
  mCondemned.erase(aPart);
}

bool
PartCrashTracker::AddCrash(const RequestDigest& aPart,
                           const PartCrash& aCrash,
                           TimePoint aAt)
{
  auto& record = RecordOf(aPart, aAt);
  auto& crashes = record.mCrashes;
  record.mLatest = std::max(record.mLatest, aAt);
  const auto same =
    std::find_if(crashes.begin(), crashes.end(), [&](const Crash& aKnown) {
      return IsSameCrash(aKnown, { aCrash, aAt });
    });
  if (same != crashes.end()) {
    // A trial is known as one whichever of its reports comes first.
    same->mReport.mIsTrial = same->mReport.mIsTrial || aCrash.mIsTrial;
    return false;
  }
  DropSurplus(crashes, aCrash.mEndpoint);
  crashes.push_back({ aCrash, aAt });
  return true;
}

void
PartCrashTracker::DropSurplus(std::vector<Crash>& aCrashes,
                              std::uint64_t aEndpoint)
{
  const auto isOfEndpoint = [&](const Crash& aCrash) {
    return aCrash.mReport.mEndpoint == aEndpoint;
  };
  const auto count =
    std::count_if(aCrashes.begin(), aCrashes.end(), isOfEndpoint);
  if (count >= kMaxCrashesOfEndpoint) {
    aCrashes.erase(
      std::find_if(aCrashes.begin(), aCrashes.end(), isOfEndpoint));
  } else if (aCrashes.size() >= kMaxCrashes) {
    // The first one stays: it says for how long no answer came.
    aCrashes.erase(aCrashes.begin() + 1);
  }
}

bool
PartCrashTracker::MayCondemn(const RequestDigest& aPart, TimePoint aAt) const
{
  // Times of reports need not be in order.
  const auto count =
    std::count_if(mRecords.begin(), mRecords.end(), [&](const auto& aItem) {
      const auto& record = aItem.second;
      const auto apart =
        std::max(record.mCondemnedAt, aAt) - std::min(record.mCondemnedAt, aAt);
      const bool wasCondemned = record.mCondemnedUntil != TimePoint();
      return aItem.first != aPart && wasCondemned &&
             apart < mSettings.mVerdictWindow;
    });
  return static_cast<std::size_t>(count) < mSettings.mMaxVerdicts;
}

void
PartCrashTracker::Condemn(Records::iterator aRecord, TimePoint aAt)
{
  auto& record = aRecord->second;
  for (const auto& crash : record.mCrashes) {
    const auto team = crash.mReport.mTeam;
    auto& teams = record.mTeams;
    if (std::find(teams.begin(), teams.end(), team) == teams.end()) {
      teams.push_back(team);
    }
  }
  if (record.mTeams.size() > kMaxTeams) {
    record.mIsForAllTeams = true;
    record.mTeams.clear();
  }
  record.mIsOthersCleared = false;
  record.mCondemnedAt = aAt;
  record.mCondemnedUntil = aAt + mSettings.mQuarantine;
  mCondemned.insert(aRecord->first);
}

std::vector<RequestDigest>
PartCrashTracker::WithdrawUnfounded(TimePoint aAt)
{
  std::vector<RequestDigest> released;
  for (const auto& part : mCondemned) {
    const auto found = mRecords.find(part);
    const bool isInForce =
      found != mRecords.end() && found->second.mCondemnedUntil > aAt;
    if (isInForce && !HasEvidence(*found, aAt)) {
      released.push_back(part);
    }
  }
  for (const auto& part : released) {
    Release(part);
  }
  return released;
}

std::vector<std::uint64_t>
PartCrashTracker::Clear(const RequestDigest& aPart,
                        std::uint64_t aTeam,
                        TimePoint aAt)
{
  std::vector<std::uint64_t> endpoints;
  const auto found = mRecords.find(aPart);
  if (found == mRecords.end()) {
    return endpoints;
  }
  auto& record = found->second;
  const auto before = aAt - mSettings.mMaxSkew;
  const bool isCondemned = record.mCondemnedUntil != TimePoint();
  const bool isRefused = IsRefusedFor(record, aTeam);
  const bool isLater = isCondemned && record.mCondemnedAt < before;
  record.mIsOthersCleared = record.mIsOthersCleared || (isLater && !isRefused);
  std::erase_if(record.mCrashes, [&](const Crash& aCrash) {
    // A verdict on another team keeps its evidence.
    const bool isKept =
      !isRefused && IsRefusedFor(record, aCrash.mReport.mTeam);
    const bool isDropped =
      (isLater && isRefused) || (aCrash.mAt < before && !isKept);
    if (isDropped) {
      endpoints.push_back(aCrash.mReport.mEndpoint);
    }
    return isDropped;
  });
  const bool isReleased =
    isRefused && (isLater || (!endpoints.empty() && !HasEvidence(*found, aAt)));
  if (isReleased || (!isCondemned && record.mCrashes.empty())) {
    Erase(found);
  }
  return endpoints;
}

bool
PartCrashTracker::IsRefusedFor(const Record& aRecord, std::uint64_t aTeam)
{
  const auto& teams = aRecord.mTeams;
  return aRecord.mIsForAllTeams ||
         std::find(teams.begin(), teams.end(), aTeam) != teams.end();
}

PartSuspicion
PartCrashTracker::SuspicionOf(const RequestDigest& aPart,
                              std::uint64_t aTeam,
                              TimePoint aNow) const
{
  const auto found = mRecords.find(aPart);
  if (found == mRecords.end() || IsForgotten(found->second, aNow)) {
    return PartSuspicion::kNone;
  }
  const auto& record = found->second;
  const bool isRefusedFor = IsRefusedFor(record, aTeam);
  if (isRefusedFor && IsInForce(record, aNow)) {
    return PartSuspicion::kCrashing;
  }
  const bool wasCondemned = record.mCondemnedUntil != TimePoint();
  const bool isCleared = record.mIsOthersCleared && !isRefusedFor;
  return wasCondemned && !isCleared ? PartSuspicion::kRestricted
                                    : SuspicionByCrashes(*found);
}

Millis
PartCrashTracker::QuarantineLeft(const RequestDigest& aPart,
                                 std::uint64_t aTeam,
                                 TimePoint aNow) const
{
  const auto found = mRecords.find(aPart);
  const bool isRefused =
    found != mRecords.end() && IsRefusedFor(found->second, aTeam);
  return isRefused ? RefusalLeft(aPart, aNow) : Millis(0);
}

Millis
PartCrashTracker::RefusalLeft(const RequestDigest& aPart, TimePoint aNow) const
{
  const auto found = mRecords.find(aPart);
  if (found == mRecords.end() || !IsInForce(found->second, aNow)) {
    return Millis(0);
  }
  return std::chrono::ceil<Millis>(found->second.mCondemnedUntil - aNow);
}

bool
PartCrashTracker::IsInForce(const Record& aRecord, TimePoint aNow) const
{
  return aNow < aRecord.mCondemnedUntil &&
         aNow - aRecord.mCondemnedAt >= mSettings.mSettlePeriod;
}

RequestDigest
PartCrashTracker::RefusedDigest(const RequestDigest& aPart) const
{
  const auto found = mRecords.find(aPart);
  const bool isForTeam =
    found != mRecords.end() && found->second.mTeams.size() == 1;
  return isForTeam ? PartOfTeamDigest(aPart, found->second.mTeams.front())
                   : aPart;
}

std::optional<RequestDigest>
PartCrashTracker::FindRefused(const RequestDigest& aDigest) const
{
  for (const auto& [part, record] : mRecords) {
    const bool wasCondemned = record.mCondemnedUntil != TimePoint();
    if (wasCondemned && RefusedDigest(part) == aDigest) {
      return part;
    }
  }
  return std::nullopt;
}

std::vector<PartCrash>
PartCrashTracker::Forget(const RequestDigest& aPart)
{
  std::vector<PartCrash> crashes;
  const auto found = mRecords.find(aPart);
  if (found == mRecords.end()) {
    return crashes;
  }
  for (const auto& crash : found->second.mCrashes) {
    crashes.push_back(crash.mReport);
  }
  Erase(found);
  return crashes;
}

std::vector<AgedPartCrash>
PartCrashTracker::Reports(TimePoint aNow) const
{
  std::vector<const Record*> records;
  for (const auto& [part, record] : mRecords) {
    if (!IsForgotten(record, aNow)) {
      records.push_back(&record);
    }
  }
  const auto rankOf = [&](const Record* aRecord) {
    return std::tuple(aRecord->mCondemnedUntil > aNow,
                      aRecord->mCrashes.size());
  };
  std::stable_sort(records.begin(),
                   records.end(),
                   [&](const Record* aOne, const Record* aTwo) {
                     return rankOf(aOne) > rankOf(aTwo);
                   });
  std::vector<AgedPartCrash> reports;
  std::set<std::tuple<std::uint64_t, TimePoint, std::vector<RequestDigest>>>
    reported;
  for (const auto* record : records) {
    for (const auto& crash : record->mCrashes) {
      const auto& report = crash.mReport;
      if (reported.emplace(report.mEndpoint, crash.mAt, report.mParts).second) {
        const auto age = std::max(aNow - crash.mAt, TimePoint::duration(0));
        reports.push_back(
          { WithoutCleared(crash), std::chrono::duration_cast<Millis>(age) });
      }
    }
  }
  return reports;
}

PartCrash
PartCrashTracker::WithoutCleared(const Crash& aCrash) const
{
  auto crash = aCrash.mReport;
  std::erase_if(crash.mParts, [&](const RequestDigest& aPart) {
    const auto found = mRecords.find(aPart);
    return found == mRecords.end() ||
           std::none_of(
             found->second.mCrashes.begin(),
             found->second.mCrashes.end(),
             [&](const Crash& aKnown) { return IsSameCrash(aKnown, aCrash); });
  });
  return crash;
}

TimePoint
PartCrashTracker::NextTrialAt(const RequestDigest& aPart, TimePoint aNow) const
{
  const auto found = mRecords.find(aPart);
  if (found == mRecords.end()) {
    return aNow;
  }
  auto next = aNow;
  const auto& record = found->second;
  if (Crashes(aPart) >= mSettings.mVerdictCrashes) {
    next = std::max(next, FirstCrash(record) + mSettings.mMinEvidencePeriod);
  }
  if (aNow < record.mCondemnedUntil) {
    next = std::max(next, record.mCondemnedAt + mSettings.mSettlePeriod);
  }
  return next;
}

Millis
PartCrashTracker::TrialDelay(std::size_t aRelays, double aDraw) const
{
  const auto range =
    std::min(mSettings.mTrialSpacing * static_cast<std::int64_t>(aRelays),
             mSettings.mMaxTrialDelay);
  return Millis(static_cast<std::int64_t>(static_cast<double>(range.count()) *
                                          std::clamp(aDraw, 0.0, 1.0)));
}

std::size_t
PartCrashTracker::Condemned(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mRecords.begin(), mRecords.end(), [&](const auto& aItem) {
      return aItem.second.mCondemnedUntil > aNow;
    }));
}

bool
PartCrashTracker::IsForgotten(const Record& aRecord, TimePoint aNow) const
{
  const auto since = std::max(aRecord.mLatest, aRecord.mCondemnedUntil);
  return aNow - since >= mSettings.mSuspicionPeriod;
}

PartCrashTracker::Record&
PartCrashTracker::RecordOf(const RequestDigest& aPart, TimePoint aNow)
{
  const auto found = mRecords.find(aPart);
  if (found != mRecords.end()) {
    if (IsForgotten(found->second, aNow)) {
      found->second = {};
      mCondemned.erase(aPart);
    }
    return found->second;
  }
  if (mRecords.size() >= mSettings.mMaxParts) {
    EvictLowestRanked(aNow);
  }
  return mRecords[aPart];
}

void
PartCrashTracker::Erase(Records::iterator aEntry)
{
  mCondemned.erase(aEntry->first);
  mRecords.erase(aEntry);
}

void
PartCrashTracker::EvictLowestRanked(TimePoint aNow)
{
  // A flood of suspects must not evict a part that is refused.
  const auto rankOf = [&](const Record& aRecord) {
    return std::tuple(
      aRecord.mCondemnedUntil > aNow, aRecord.mCrashes.size(), aRecord.mLatest);
  };
  std::vector<Records::iterator> entries;
  for (auto entry = mRecords.begin(); entry != mRecords.end(); ++entry) {
    entries.push_back(entry);
  }
  const auto count =
    std::max<std::size_t>(entries.size() / kEvictionDivisor, 1);
  const auto end = entries.begin() + static_cast<std::ptrdiff_t>(count);
  std::nth_element(entries.begin(),
                   end - 1,
                   entries.end(),
                   [&](Records::iterator aOne, Records::iterator aTwo) {
                     return rankOf(aOne->second) < rankOf(aTwo->second);
                   });
  for (auto entry = entries.begin(); entry != end; ++entry) {
    Erase(*entry);
  }
}

} // namespace shuntjunction::state
