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
constexpr std::size_t kMaxCrashes = 16;

/// Teams for which a part is refused before it is refused for all.
constexpr std::size_t kMaxTeams = 1;

bool
Contains(const std::vector<RequestDigest>& aParts, const RequestDigest& aPart)
{
  return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
}

/// Whether as many of the crashes match, one of them in a trial.
template<typename Crashes, typename Predicate>
bool
IsEnough(const Crashes& aCrashes, std::size_t aCount, Predicate aMatches)
{
  std::size_t count = 0;
  bool hasTrial = false;
  for (const auto& crash : aCrashes) {
    if (aMatches(crash)) {
      ++count;
      hasTrial = hasTrial || crash.mReport.mIsTrial;
    }
  }
  return hasTrial && count >= aCount;
}

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
  const auto cause = FindCause(aCrash, aAt);
  if (cause != mRecords.end() && MayCondemn(cause->first, aAt)) {
    Condemn(cause, aAt);
    changes.mCondemned.push_back(cause->first);
    const auto released = WithdrawUnfounded(aAt);
    changes.mReleased.insert(
      changes.mReleased.end(), released.begin(), released.end());
  }
  return changes;
}

bool
PartCrashTracker::AddCrash(const RequestDigest& aPart,
                           const PartCrash& aCrash,
                           TimePoint aAt)
{
  auto& record = RecordOf(aPart, aAt);
  auto& crashes = record.mCrashes;
  const auto same =
    std::find_if(crashes.begin(), crashes.end(), [&](const Crash& aKnown) {
      return aKnown.mReport.mEndpoint == aCrash.mEndpoint;
    });
  record.mLatest = std::max(record.mLatest, aAt);
  if (same != crashes.end()) {
    const bool isKnown = IsSameCrash(*same, { aCrash, aAt });
    // A trial is known as one whichever of its reports comes first.
    same->mReport.mIsTrial = same->mReport.mIsTrial || aCrash.mIsTrial;
    same->mAt = std::max(same->mAt, aAt);
    return !isKnown;
  }
  if (crashes.size() >= kMaxCrashes) {
    // The first one stays: it says for how long no answer came.
    crashes.erase(crashes.begin() + 1);
  }
  crashes.push_back({ aCrash, aAt });
  return true;
}

PartCrashTracker::Records::iterator
PartCrashTracker::FindCause(const PartCrash& aCrash, TimePoint aAt)
{
  auto cause = mRecords.end();
  std::vector<Records::iterator> rivals;
  const auto isEvidentWithout = [&](Records::iterator aRecord) {
    return std::all_of(
      rivals.begin(), rivals.end(), [&](Records::iterator aRival) {
        return IsEvidentWithout(aRecord->second, *aRival);
      });
  };
  const auto& parts = aCrash.mParts;
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
    const auto found = mRecords.find(*part);
    if (found == mRecords.end()) {
      continue;
    }
    if (IsEvident(*found, aAt) && isEvidentWithout(found)) {
      cause = found;
    }
    if (found->second.mCrashes.size() >= mSettings.mRestrictedCrashes) {
      rivals.push_back(found);
    }
  }
  return cause;
}

bool
PartCrashTracker::IsEvident(const Records::value_type& aEntry,
                            TimePoint aAt) const
{
  const auto& record = aEntry.second;
  if (record.mCondemnedUntil == TimePoint()) {
    return HasEvidence(aEntry, aAt);
  }
  if (aAt >= record.mCondemnedUntil) {
    return true;
  }
  const auto needed =
    record.mIsOthersCleared ? mSettings.mRestrictedCrashes : 1;
  return IsEnough(record.mCrashes, needed, [&](const Crash& aCrash) {
    return !IsRefusedFor(record, aCrash.mReport.mTeam);
  });
}

bool
PartCrashTracker::HasEvidence(const Records::value_type& aEntry,
                              TimePoint aAt) const
{
  const auto& [part, record] = aEntry;
  const auto& crashes = record.mCrashes;
  const auto isOpen = [&](const Crash& aCrash) {
    return !IsExplained(part, aCrash);
  };
  if (crashes.size() < mSettings.mVerdictCrashes ||
      !IsEnough(crashes, mSettings.mRestrictedCrashes, isOpen)) {
    return false;
  }
  // All reports of a crash come within the time in which they are duplicates.
  const bool isSettled =
    record.mCondemnedUntil != TimePoint() &&
    aAt - record.mCondemnedAt >= mSettings.mDuplicateWindow;
  const auto first = std::min_element(
    crashes.begin(), crashes.end(), [](const Crash& aOne, const Crash& aTwo) {
      return aOne.mAt < aTwo.mAt;
    });
  return std::any_of(crashes.begin(), crashes.end(), [&](const Crash& aCrash) {
    return aCrash.mReport.mIsTrial &&
           aCrash.mAt - first->mAt >= mSettings.mMinEvidencePeriod &&
           isOpen(aCrash) && (isSettled || !HasRival(aEntry, aCrash));
  });
}

bool
PartCrashTracker::HasRival(const Records::value_type& aEntry,
                           const Crash& aTrial) const
{
  const auto isRival = [&](const Crash& aCrash) {
    return aCrash.mReport.mIsTrial && IsSameCrash(aCrash, aTrial) &&
           !Contains(aCrash.mReport.mParts, aEntry.first);
  };
  const auto count = aEntry.second.mCrashes.size();
  return std::any_of(mRecords.begin(), mRecords.end(), [&](const auto& aOther) {
    const auto& crashes = aOther.second.mCrashes;
    return crashes.size() >= count &&
           !Contains(aTrial.mReport.mParts, aOther.first) &&
           std::any_of(crashes.begin(), crashes.end(), isRival);
  });
}

bool
PartCrashTracker::IsExplained(const RequestDigest& aPart,
                              const Crash& aCrash) const
{
  return std::any_of(
    mCondemned.begin(), mCondemned.end(), [&](const RequestDigest& aOther) {
      const auto found = mRecords.find(aOther);
      return aOther != aPart && found != mRecords.end() &&
             found->second.mCondemnedUntil > aCrash.mAt &&
             Explains(*found, aCrash);
    });
}

bool
PartCrashTracker::Explains(const Records::value_type& aCause,
                           const Crash& aCrash) const
{
  return Contains(aCrash.mReport.mParts, aCause.first) ||
         IsBeside(aCause, aCrash);
}

bool
PartCrashTracker::IsBeside(const Records::value_type& aCause,
                           const Crash& aCrash) const
{
  const auto& crashes = aCause.second.mCrashes;
  return !Contains(aCrash.mReport.mParts, aCause.first) &&
         std::any_of(crashes.begin(), crashes.end(), [&](const Crash& aOne) {
           return IsSameCrash(aOne, aCrash);
         });
}

bool
PartCrashTracker::IsSameCrash(const Crash& aOne, const Crash& aTwo) const
{
  const auto apart =
    std::max(aOne.mAt, aTwo.mAt) - std::min(aOne.mAt, aTwo.mAt);
  return aOne.mReport.mEndpoint == aTwo.mReport.mEndpoint &&
         apart < mSettings.mDuplicateWindow;
}

bool
PartCrashTracker::IsEvidentWithout(const Record& aRecord,
                                   const Records::value_type& aOther) const
{
  return IsEnough(
    aRecord.mCrashes, mSettings.mRestrictedCrashes, [&](const Crash& aCrash) {
      return !Explains(aOther, aCrash);
    });
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
    auto& record = mRecords.find(part)->second;
    record.mTeams.clear();
    record.mIsForAllTeams = false;
    record.mCondemnedUntil = {};
    mCondemned.erase(part);
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

PartSuspicion
PartCrashTracker::SuspicionByCrashes(const Records::value_type& aEntry) const
{
  const auto& [part, record] = aEntry;
  std::size_t explained = 0;
  std::size_t open = 0;
  for (const auto& crash : record.mCrashes) {
    if (IsRefusedFor(record, crash.mReport.mTeam)) {
      continue;
    }
    if (!IsExplained(part, crash)) {
      ++open;
    } else if (IsExplainedInside(part, crash)) {
      ++explained;
    }
  }
  if (open == 0) {
    return explained == 0 ? PartSuspicion::kNone : PartSuspicion::kSuspect;
  }
  return open + explained >= mSettings.mRestrictedCrashes
           ? PartSuspicion::kRestricted
           : PartSuspicion::kSuspect;
}

bool
PartCrashTracker::IsExplainedInside(const RequestDigest& aPart,
                                    const Crash& aCrash) const
{
  const auto& parts = aCrash.mReport.mParts;
  return std::any_of(
    parts.begin(), parts.end(), [&](const RequestDigest& aOther) {
      return aOther != aPart && mCondemned.count(aOther) != 0;
    });
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

std::size_t
PartCrashTracker::Crashes(const RequestDigest& aPart) const
{
  const auto found = mRecords.find(aPart);
  return found == mRecords.end() ? 0 : found->second.mCrashes.size();
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
  std::set<std::pair<std::uint64_t, std::vector<RequestDigest>>> reported;
  for (const auto* record : records) {
    for (const auto& crash : record->mCrashes) {
      const auto& report = crash.mReport;
      if (reported.emplace(report.mEndpoint, report.mParts).second) {
        const auto age = std::max(aNow - crash.mAt, TimePoint::duration(0));
        reports.push_back(
          { WithoutCleared(report), std::chrono::duration_cast<Millis>(age) });
      }
    }
  }
  return reports;
}

PartCrash
PartCrashTracker::WithoutCleared(const PartCrash& aCrash) const
{
  auto crash = aCrash;
  std::erase_if(crash.mParts, [&](const RequestDigest& aPart) {
    const auto found = mRecords.find(aPart);
    return found == mRecords.end() ||
           std::none_of(found->second.mCrashes.begin(),
                        found->second.mCrashes.end(),
                        [&](const Crash& aKnown) {
                          return aKnown.mReport.mEndpoint == aCrash.mEndpoint;
                        });
  });
  return crash;
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
