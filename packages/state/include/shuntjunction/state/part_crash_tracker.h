#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/state/request_digest.h"

/// Tracks which shared parts of prompts make endpoints crash.
///
/// Requests that share a part may differ in all else, so that each is seen only
/// once. What counts against a part is therefore that endpoints crashed when
/// they were about to answer requests with it; what counts for it is any answer
/// that got past its beginning.
namespace shuntjunction::state {

/// How far a part is suspected.
enum class PartSuspicion : std::uint8_t
{
  kNone,
  kSuspect,    ///< an endpoint crashed: its requests are kept apart
  kRestricted, ///< several did: its requests are tried one at a time
  kCrashing,   ///< it makes endpoints crash: its requests are refused
};

/// Names of PartSuspicion.
inline constexpr EnumNames<PartSuspicion, 4> kPartSuspicionNames{
  { "none", "suspect", "restricted", "crashing" }
};

/// Settings of a PartCrashTracker.
struct PartCrashSettings
{
  /// Endpoints that crashed under a part from which on it is restricted.
  std::size_t mRestrictedCrashes = 2;
  /// The same from which on it is refused, if one of them crashed in a trial.
  /// Without a trial they may have crashed together, for a cause of their own.
  std::size_t mVerdictCrashes = 3;
  /// Shortest time between the first crash and one in a trial for a verdict.
  /// An endpoint answers within it, which clears a sound part that is in use.
  Millis mMinEvidencePeriod{ 500 };
  /// Time after which a verdict holds: until then reports of requests beside
  /// the trial come from other processes, of which one may be the cause.
  Millis mSettlePeriod{ 100 };
  /// Reports about one endpoint that are closer together than this describe the
  /// same crash: a restart takes at least a few seconds.
  Millis mDuplicateWindow{ 2000 };
  /// By how much times of different processes may differ: the transit of a
  /// report through a companion.
  Millis mMaxSkew{ 100 };
  /// A part under which nothing crashed for this long is no longer suspected.
  Millis mSuspicionPeriod{ std::chrono::minutes(10) };
  /// How long requests with a part are refused: a fleet can afford one trial
  /// per hour.
  Millis mQuarantine{ std::chrono::hours(1) };
  /// Maximum number of tracked parts, about 250 bytes for each crash, of which
  /// a part has at most 24.
  std::size_t mMaxParts = 2048;
  /// Parts that may be refused within mVerdictWindow. More would mean that the
  /// endpoints crash for another reason, whatever they run.
  std::size_t mMaxVerdicts = 8;
  Millis mVerdictWindow{ std::chrono::minutes(1) };
  /// Time between the trials of two relays, on average.
  Millis mTrialSpacing{ 50 };
  Millis mMaxTrialDelay{ 3000 };
};

/// An endpoint crashed when it was about to answer a request, or had just begun
/// to.
struct PartCrash
{
  /// Digests of the request's shared parts, outermost first; see PartDigest.
  std::vector<RequestDigest> mParts;
  std::uint64_t mTeam = 0;     ///< hash of the team's name; 0: none
  std::uint64_t mEndpoint = 0; ///< hash of the endpoint's address
  /// It was sent after a crash under one of its parts was known to its relay.
  bool mIsTrial = false;
};

/// A crash as it is sent to another process.
struct AgedPartCrash
{
  PartCrash mCrash;
  Millis mAge{ 0 }; ///< since the crash
};

/// Effects of a report.
struct PartChanges
{
  bool mIsNew = false; ///< it was not known before
  /// Refused after mSettlePeriod, unless it is released before.
  std::vector<RequestDigest> mCondemned;
  std::vector<RequestDigest> mReleased;
};

/// Tracks the crashes under shared parts of prompts.
///
/// Of parts with enough evidence the innermost is held to be the cause, as its
/// refusal affects the fewest requests, unless several endpoints crashed
/// without it under one that comes before. Crashes that the cause explains
/// count no longer against the others, which are released if they were
/// condemned. If crashes were seen under requests of one team only, the part is
/// refused for that team alone: otherwise a team could make endpoints crash by
/// other means and have parts of others refused.
/// Thread safety: none; owned by one thread.
class PartCrashTracker
{
public:
  explicit PartCrashTracker(const PartCrashSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Adds a crash. @param aAt  time of the crash
  PartChanges Note(const PartCrash& aCrash, TimePoint aAt);

  /// Records that an answer to a team's request with a part got past its
  /// beginning.
  ///
  /// @return the endpoints whose crashes no longer count, so that whoever knows
  ///         of these crashes can be informed; empty if nothing changed
  std::vector<std::uint64_t> Clear(const RequestDigest& aPart,
                                   std::uint64_t aTeam,
                                   TimePoint aAt);

  /// Forgets a part, as an operator asks.
  ///
  /// @return the crashes that no longer count
  std::vector<PartCrash> Forget(const RequestDigest& aPart);

  /// The part that is refused under a digest: its own, or that of it for a
  /// team; empty if there is none.
  std::optional<RequestDigest> FindRefused(const RequestDigest& aDigest) const;

  /// How far a part is suspected in requests of a team.
  PartSuspicion SuspicionOf(const RequestDigest& aPart,
                            std::uint64_t aTeam,
                            TimePoint aNow) const;

  /// Remaining time for which requests with a part are refused; zero if they
  /// are not.
  Millis QuarantineLeft(const RequestDigest& aPart,
                        std::uint64_t aTeam,
                        TimePoint aNow) const;

  /// The same for those teams for which the part is refused.
  Millis RefusalLeft(const RequestDigest& aPart, TimePoint aNow) const;

  /// The digest under which a part is refused: its own if that is for all
  /// teams, else that of it for the team.
  RequestDigest RefusedDigest(const RequestDigest& aPart) const;

  /// Number of endpoints known to have crashed under a part.
  std::size_t Crashes(const RequestDigest& aPart) const;

  /// All known crashes, those under parts that are refused first, each with the
  /// parts against which it still counts.
  std::vector<AgedPartCrash> Reports(TimePoint aNow) const;

  /// Earliest time at which one more trial of a part can add to what is known.
  ///
  /// Once enough endpoints crashed, only a crash after the evidence period
  /// does; a verdict that is about to hold needs none.
  TimePoint NextTrialAt(const RequestDigest& aPart, TimePoint aNow) const;

  /// How long a relay waits before it tries a restricted part, so that rarely
  /// two relays try it at a time.
  ///
  /// @param aRelays  number of relays
  /// @param aDraw  uniform in [0, 1)
  Millis TrialDelay(std::size_t aRelays, double aDraw) const;

  /// Number of tracked parts, and how many of them are refused.
  std::size_t Suspects() const { return mRecords.size(); }
  std::size_t Condemned(TimePoint aNow) const;

  const PartCrashSettings& Settings() const { return mSettings; }

private:
  struct Crash
  {
    PartCrash mReport;
    TimePoint mAt;
  };

  /// State of one part.
  struct Record
  {
    std::vector<Crash> mCrashes;
    TimePoint mLatest;
    std::vector<std::uint64_t> mTeams; ///< for which it is refused
    bool mIsForAllTeams = false;
    bool mIsOthersCleared = false; ///< another team's request was answered
    TimePoint mCondemnedAt;
    TimePoint mCondemnedUntil; ///< past: on probation, if it ever was
  };

  using Records = std::map<RequestDigest, Record>;

  bool AddCrash(const RequestDigest& aPart,
                const PartCrash& aCrash,
                TimePoint aAt);
  /// Makes room for a crash of an endpoint.
  static void DropSurplus(std::vector<Crash>& aCrashes,
                          std::uint64_t aEndpoint);
  static TimePoint FirstCrash(const Record& aRecord);
  /// Whether a trial crashed after time enough for an answer to another
  /// request.
  bool IsLateTrial(TimePoint aFirst, const Crash& aCrash) const;
  /// Number of such trials, then of all crashes.
  std::pair<std::ptrdiff_t, std::size_t> Trials(const Record& aRecord) const;
  Record& RecordOf(const RequestDigest& aPart, TimePoint aNow);
  /// Condemns the part that is held to be the cause of a crash, if there is
  /// one.
  void Decide(const PartCrash& aCrash, TimePoint aAt, PartChanges& aChanges);
  /// Releases the parts of a crash whose verdicts are not in force yet, as one
  /// of a later report may be the cause; returns what they were.
  Records SuspendRecent(const PartCrash& aCrash, TimePoint aAt);
  void Release(const RequestDigest& aPart);
  /// The part that is held to be the cause of a crash, if there is one.
  Records::iterator FindCause(const PartCrash& aCrash, TimePoint aAt);
  bool IsEvident(const Records::value_type& aEntry, TimePoint aAt) const;
  /// Whether a part should be refused that was not, or still should be.
  bool HasEvidence(const Records::value_type& aEntry, TimePoint aAt) const;
  /// Whether a trial of another part, under which as many endpoints crashed,
  /// ran beside one: either may be the cause.
  bool HasRival(const Records::value_type& aEntry, const Crash& aTrial) const;
  /// Whether another part, which is refused, explains a crash.
  bool IsExplained(const RequestDigest& aPart, const Crash& aCrash) const;
  /// The same, by a part of the same request.
  bool IsExplainedInside(const RequestDigest& aPart, const Crash& aCrash) const;
  /// Suspicion by the crashes under teams for which a part is not refused.
  PartSuspicion SuspicionByCrashes(const Records::value_type& aEntry) const;
  /// Whether a part explains a crash under another one: it was part of the same
  /// request, or of one beside it at the endpoint.
  bool Explains(const Records::value_type& aCause, const Crash& aCrash) const;
  /// Whether several endpoints crashed under a part without the other one.
  bool IsEvidentWithout(const Records::value_type& aEntry,
                        const Records::value_type& aOther) const;
  void Condemn(Records::iterator aRecord, TimePoint aAt);
  /// Whether a crash without a part is one that endpoints had under it.
  bool IsBeside(const Records::value_type& aCause, const Crash& aCrash) const;
  bool IsSameCrash(const Crash& aOne, const Crash& aTwo) const;
  /// Releases refused parts whose evidence another part explains, or shares.
  std::vector<RequestDigest> WithdrawUnfounded(TimePoint aAt);
  /// Whether few enough other parts were condemned at about that time.
  bool MayCondemn(const RequestDigest& aPart, TimePoint aAt) const;
  PartCrash WithoutCleared(const Crash& aCrash) const;
  bool IsInForce(const Record& aRecord, TimePoint aNow) const;
  bool IsForgotten(const Record& aRecord, TimePoint aNow) const;
  static bool IsRefusedFor(const Record& aRecord, std::uint64_t aTeam);
  void Erase(Records::iterator aEntry);
  void EvictLowestRanked(TimePoint aNow);

  PartCrashSettings mSettings;
  Records mRecords;
  std::set<RequestDigest> mCondemned; ///< in mRecords, also those on probation
};

} // namespace shuntjunction::state
