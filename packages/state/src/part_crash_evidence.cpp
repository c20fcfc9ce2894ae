#include <algorithm>
#include <ranges>
#include <set>

#include "shuntjunction/state/part_crash_tracker.h"

namespace shuntjunction::state {

namespace {

bool
Contains(const std::vector<RequestDigest>& aParts, const RequestDigest& aPart)
{
  return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
}

/// Number of endpoints of the crashes that match.
template<typename Crashes, typename Predicate>
std::size_t
CountEndpoints(const Crashes& aCrashes, Predicate aMatches)
{
  std::set<std::uint64_t> endpoints;
  for (const auto& crash : aCrashes) {
    if (aMatches(crash)) {
      endpoints.insert(crash.mReport.mEndpoint);
    }
  }
  return endpoints.size();
}

/// Whether as many endpoints crashed, one of them in a trial.
template<typename Crashes, typename Predicate>
bool
IsEnough(const Crashes& aCrashes, std::size_t aEndpoints, Predicate aMatches)
{
  const bool hasTrial =
    std::any_of(aCrashes.begin(), aCrashes.end(), [&](const auto& aCrash) {
      return aCrash.mReport.mIsTrial && aMatches(aCrash);
    });
  return hasTrial && CountEndpoints(aCrashes, aMatches) >= aEndpoints;
}

} // namespace

PartCrashTracker::Records::iterator
PartCrashTracker::FindCause(const PartCrash& aCrash, TimePoint aAt)
{
  auto cause = mRecords.end();
  std::vector<Records::iterator> rivals;
  const auto isEvidentWithout = [&](Records::iterator aRecord) {
    return std::all_of(
      rivals.begin(), rivals.end(), [&](Records::iterator aRival) {
        return IsEvidentWithout(*aRecord, *aRival);
      });
  };
  const auto& parts = aCrash.mParts;
  for (const auto& part : std::ranges::reverse_view(parts)) {
    const auto found = mRecords.find(part);
    if (found == mRecords.end()) {
      continue;
    }
    const bool isEvident = IsEvident(*found, aAt);
    if (isEvident && isEvidentWithout(found)) {
      cause = found;
    }
    if (Crashes(part) >= mSettings.mRestrictedCrashes) {
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
  if (Crashes(part) < mSettings.mVerdictCrashes ||
      !IsEnough(crashes, mSettings.mRestrictedCrashes, isOpen)) {
    return false;
  }
  // All reports of a crash come within the time in which they are duplicates.
  const bool isSettled =
    record.mCondemnedUntil != TimePoint() &&
    aAt - record.mCondemnedAt >= mSettings.mDuplicateWindow;
  const auto first = FirstCrash(record);
  return std::any_of(crashes.begin(), crashes.end(), [&](const Crash& aCrash) {
    return IsLateTrial(first, aCrash) && isOpen(aCrash) &&
           (isSettled || !HasRival(aEntry, aCrash));
  });
}

TimePoint
PartCrashTracker::FirstCrash(const Record& aRecord)
{
  TimePoint first = TimePoint::max();
  for (const auto& crash : aRecord.mCrashes) {
    first = std::min(first, crash.mAt);
  }
  return first;
}

bool
PartCrashTracker::IsLateTrial(TimePoint aFirst, const Crash& aCrash) const
{
  return aCrash.mReport.mIsTrial &&
         aCrash.mAt - aFirst >= mSettings.mMinEvidencePeriod;
}

bool
PartCrashTracker::HasRival(const Records::value_type& aEntry,
                           const Crash& aTrial) const
{
  const auto isRival = [&](const Crash& aCrash) {
    return aCrash.mReport.mIsTrial && IsSameCrash(aCrash, aTrial) &&
           !Contains(aCrash.mReport.mParts, aEntry.first);
  };
  const auto trials = Trials(aEntry.second);
  return std::any_of(mRecords.begin(), mRecords.end(), [&](const auto& aOther) {
    const auto& crashes = aOther.second.mCrashes;
    return crashes.size() >= mSettings.mRestrictedCrashes &&
           std::any_of(crashes.begin(), crashes.end(), isRival) &&
           Trials(aOther.second) >= trials &&
           !Contains(aTrial.mReport.mParts, aOther.first);
  });
}

std::pair<std::ptrdiff_t, std::size_t>
PartCrashTracker::Trials(const Record& aRecord) const
{
  const auto first = FirstCrash(aRecord);
  const auto late = std::count_if(
    aRecord.mCrashes.begin(), aRecord.mCrashes.end(), [&](const Crash& aCrash) {
      return IsLateTrial(first, aCrash);
    });
  return { late, aRecord.mCrashes.size() };
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
PartCrashTracker::IsEvidentWithout(const Records::value_type& aEntry,
                                   const Records::value_type& aOther) const
{
  const auto& [part, record] = aEntry;
  const auto isWithout = [&](const Crash& aCrash) {
    return !IsExplained(part, aCrash) && !Explains(aOther, aCrash);
  };
  const auto& crashes = record.mCrashes;
  const auto first = FirstCrash(record);
  return IsEnough(crashes, mSettings.mRestrictedCrashes, isWithout) &&
         std::any_of(crashes.begin(), crashes.end(), [&](const Crash& aCrash) {
           return IsLateTrial(first, aCrash) && isWithout(aCrash);
         });
}

PartSuspicion
PartCrashTracker::SuspicionByCrashes(const Records::value_type& aEntry) const
{
  const auto& [part, record] = aEntry;
  const auto isOpen = [&](const Crash& aCrash) {
    return !IsRefusedFor(record, aCrash.mReport.mTeam) &&
           !IsExplained(part, aCrash);
  };
  const auto isOpenOrInside = [&](const Crash& aCrash) {
    return isOpen(aCrash) || (!IsRefusedFor(record, aCrash.mReport.mTeam) &&
                              IsExplainedInside(part, aCrash));
  };
  const auto endpoints = CountEndpoints(record.mCrashes, isOpenOrInside);
  const bool isRestricted = endpoints >= mSettings.mRestrictedCrashes &&
                            CountEndpoints(record.mCrashes, isOpen) != 0;
  if (isRestricted) {
    return PartSuspicion::kRestricted;
  }
  return endpoints == 0 ? PartSuspicion::kNone : PartSuspicion::kSuspect;
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

std::size_t
PartCrashTracker::Crashes(const RequestDigest& aPart) const
{
  const auto found = mRecords.find(aPart);
  return found == mRecords.end()
           ? 0
           : CountEndpoints(found->second.mCrashes,
                            [](const Crash&) { return true; });
}

} // namespace shuntjunction::state
