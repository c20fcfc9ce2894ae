#include "shuntjunction/state/start_plan.h"

#include <algorithm>
#include <utility>

namespace shuntjunction::state {

StartPlan::StartPlan(const StartPlanSettings& aSettings, TimePoint aNow)
  : mSettings(aSettings)
  , mStart(aNow)
  , mDue(aNow)
{
}

void
StartPlan::Set(StartStep aStep, TimePoint aDue)
{
  mNext = aStep;
  mDue = aDue;
}

void
StartPlan::LookAgain(Millis aPause, TimePoint aNow)
{
  if (aNow - mStart >= mSettings.mMaxLookTime) {
    Set(StartStep::kFollowStore, aNow);
  } else {
    Set(StartStep::kLook, aNow + aPause);
  }
}

void
StartPlan::NoteLook(std::size_t aEndpoints, bool aHasWatchers, TimePoint aNow)
{
  ++mLooks;
  mFailedLooks = 0;
  const auto before = std::exchange(mEndpoints, aEndpoints);
  if (aHasWatchers) {
    mQueryingSince = aNow;
    Set(StartStep::kQuery, aNow);
    return;
  }
  const bool isSettled = aEndpoints > 0 && aEndpoints == before;
  const bool isSmallFleet = aEndpoints > 0 && !mIsFleetStarting;
  if (isSettled || isSmallFleet) {
    Set(StartStep::kFollowStore, aNow);
    return;
  }
  mIsFleetStarting = true;
  LookAgain(mSettings.mLookPause, aNow);
}

void
StartPlan::NoteFailedLook(TimePoint aNow)
{
  // The time to find watchers begins once the store answers. Until then, to
  // follow it would fail as well, and all lists would be read at its return.
  mStart = aNow;
  constexpr int kMaxDoublings = 8;
  const int doublings = std::min(mFailedLooks++, kMaxDoublings);
  LookAgain(std::min(mSettings.mFailedLookPause * (1 << doublings),
                     mSettings.mLookPause),
            aNow);
}

void
StartPlan::NoteResponse(WatcherResponse aResponse, TimePoint aNow)
{
  if (aResponse == WatcherResponse::kServes) {
    Set(StartStep::kFollowZone, aNow);
    return;
  }
  if (aResponse == WatcherResponse::kNone) {
    ++mUnanswered;
  }
  const bool isOver = mUnanswered >= mSettings.mMaxUnanswered ||
                      aNow - mQueryingSince >= mSettings.mMaxQueryTime;
  if (isOver) {
    Set(StartStep::kFollowStore, aNow);
  } else {
    Set(StartStep::kQuery, aNow + mSettings.mQueryPause);
  }
}

} // namespace shuntjunction::state
