#pragma once

#include <cstddef>
#include <cstdint>

#include "shuntjunction/state/clock.h"

/// How a process that starts finds out from whom to read the platform's
/// objects.
namespace shuntjunction::state {

/// What a starting process does next.
enum class StartStep : std::uint8_t
{
  kLook,        ///< read the store's cached list of endpoints
  kQuery,       ///< query the zone's watchers
  kFollowStore, ///< follow the store itself, from now on
  kFollowZone,  ///< follow the store through the watchers
};

/// Response of the zone's watchers to a starting process.
enum class WatcherResponse : std::uint8_t
{
  kServes,   ///< one of them sent its mirror
  kNotReady, ///< one answered, but has not read the store yet or is busy
  kNone,     ///< none answered, or there is none to query
};

/// Settings of a StartPlan.
struct StartPlanSettings
{
  /// Between two looks while the fleet itself starts.
  Millis mLookPause{ 1300 };
  /// After the first failed look; each further failure doubles it up to
  /// mLookPause.
  Millis mFailedLookPause{ 200 };
  /// Between two queries of watchers that are not ready yet.
  Millis mQueryPause{ 300 };
  /// Rounds of queries without any answer before the store is followed. The
  /// watchers of a fleet that restarts as a whole listen after the first.
  int mMaxUnanswered = 2;
  /// Time after which a process whose watchers are not ready follows the store.
  Millis mMaxQueryTime{ 3000 };
  /// Time after which a process that found no watchers follows the store: more
  /// than an engine takes to start and to be listed. Counts while the store
  /// answers.
  Millis mMaxLookTime{ 8000 };
};

/// Decides how a starting process comes to read the platform's objects.
///
/// Following the store costs a process some four lists and, while the endpoints
/// of a new fleet register, a call for each batch of changes. The store's
/// cached list costs a tenth, and though it may be seconds old it is good
/// enough to find the zone's watchers, which serve all the rest. Nothing else
/// is taken from it.
///
/// An empty list means that the fleet itself starts: more looks follow. A list
/// of a few endpoints is that of a small fleet, which has no watchers. More
/// looks follow a failed one too, for as long as they fail: if all processes of
/// a fleet restart together and each that fails lists everything instead, none
/// of them succeeds.
/// Thread safety: none.
class StartPlan
{
public:
  StartPlan(const StartPlanSettings& aSettings, TimePoint aNow);

  /// The step that is due at Due().
  StartStep Next() const { return mNext; }

  /// When the next step is due.
  TimePoint Due() const { return mDue; }

  /// Applies a look at the cached list.
  ///
  /// @param aHasWatchers  whether the listed engines include watchers to query
  void NoteLook(std::size_t aEndpoints, bool aHasWatchers, TimePoint aNow);

  /// Applies that a look failed: the store is out of reach or overloaded.
  void NoteFailedLook(TimePoint aNow);

  /// Applies the outcome of a round of queries.
  void NoteResponse(WatcherResponse aResponse, TimePoint aNow);

  /// Applies that this process serves its zone, and so has to follow the store.
  void NoteIsWatcher(TimePoint aNow) { Set(StartStep::kFollowStore, aNow); }

  /// Whether the fleet itself seems to start, since nothing was listed at
  /// first.
  bool IsFleetStarting() const { return mIsFleetStarting; }

  /// Whether the latest look failed, so that other processes' looks may fail
  /// for the same reason.
  bool HasFailedLook() const { return mFailedLooks > 0; }

  /// Number of looks so far.
  int Looks() const { return mLooks; }

private:
  void Set(StartStep aStep, TimePoint aDue);
  void LookAgain(Millis aPause, TimePoint aNow);

  StartPlanSettings mSettings;
  TimePoint mStart; ///< or the latest failed look
  StartStep mNext = StartStep::kLook;
  TimePoint mDue;
  bool mIsFleetStarting = false;
  int mLooks = 0;
  int mFailedLooks = 0;       ///< in a row
  std::size_t mEndpoints = 0; ///< in the last look
  int mUnanswered = 0;        ///< rounds of queries
  TimePoint mQueryingSince;
};

} // namespace shuntjunction::state
