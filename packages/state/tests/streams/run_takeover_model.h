#pragma once

// Private to the tests: a stream that may run once, its engine and the relay
// that would continue it elsewhere, in all states. Between any two steps any
// time may pass: each side may pause there.

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "shuntjunction/state/streams/run_end.h"

namespace shuntjunction::state::takeover {

constexpr Millis kTick{ 500 };
/// Ticks within which an engine that works makes a report.
constexpr int kReportInterval = 1;
/// Ticks for which a reply is kept; one that is used later shows the same.
constexpr int kReplyAge = 2;

enum class Condition : std::uint8_t
{
  kWorks,
  kStandsStill, ///< its kernel accepts connections
  kEnded,
};

enum class RunState : std::uint8_t
{
  kUnsent,
  kUnread, ///< in the socket of its engine
  kQueued, ///< for the first time, or preempted
  kRunning,
  kEnded, ///< for good
};

enum class Phase : std::uint8_t
{
  kChosen,    ///< the engine; nothing is connected
  kConnected, ///< to the engine
  kSent,
  kProved,   ///< the end of the run
  kReserved, ///< a retry
  kOpened,   ///< a connection to the engine of the copy
  kGone,     ///< the relay was restarted, and its streams ended
};

/// A process at the engine's address.
struct Process
{
  int mNumber = 0; ///< 1: the engine was restarted
  bool mIsOtherEndpoint = false;

  auto operator<=>(const Process&) const = default;

  EndpointIncarnation Incarnation() const
  {
    return EndpointIncarnation(1 + mNumber);
  }
};

struct Engine
{
  Condition mCondition = Condition::kWorks;
  Process mProcess;
  bool mIsDraining = false;
  bool mListens = true;
  RunState mRun = RunState::kUnsent;
  bool mHasSentBytes = false;
  // Its report, which is made now and then.
  bool mIsRunReported = false;
  bool mIsQueueReported = false;
  int mReportAge = 0; ///< in ticks of work

  auto operator<=>(const Engine&) const = default;

  bool Works() const { return mCondition == Condition::kWorks; }

  void MakeReport()
  {
    mIsRunReported = mRun == RunState::kRunning;
    mIsQueueReported = mRun == RunState::kQueued;
    mReportAge = 0;
  }

  void End()
  {
    mCondition = Condition::kEnded;
    mListens = false;
    EndRun();
  }

  void EndRun()
  {
    mRun = mRun == RunState::kUnsent ? RunState::kUnsent : RunState::kEnded;
  }
};

enum class QueryState : std::uint8_t
{
  kNone,
  kOpen, ///< accepted by a process
  kReplied,
};

struct Query
{
  QueryState mState = QueryState::kNone;
  int mAge = 0;
  bool mIsAfterSend = false;
  RunsReplyKind mKind = RunsReplyKind::kNone;
  int mProcess = 0;
  bool mIsRunListed = false;
  bool mIsQueued = false;

  auto operator<=>(const Query&) const = default;
};

struct RelaySide
{
  Phase mPhase = Phase::kChosen;
  int mKnownProcess = 0;
  bool mKnowsOfDrain = false;
  bool mIsConnectionDead = false; ///< its process ended before the send
  int mRunProcess = 0;            ///< incarnation known at the send
  int mListedBy = -1;             ///< process that listed the run; -1: none
  bool mHasBegun = false;         ///< bytes came
  bool mIsAnswerLost = false;     ///< it broke, or is silent, on its way
  Query mQuery;

  auto operator<=>(const RelaySide&) const = default;
};

struct World
{
  int mRound = 0; ///< 1: the copy was used, and its engine may be lost too
  Engine mEngine;
  RelaySide mRelay;

  auto operator<=>(const World&) const = default;
};

/// What may be taken out, and what the engine's surroundings guarantee.
struct Variant
{
  // Ways to break the mechanism, which the checker must notice.
  bool mTrustsSilence = false;
  /// Absence shows the end of a run that was never listed: once bytes came;
  /// from the send on; for another incarnation than the one known at the send.
  bool mTrustsReplyThatLags = false;
  bool mTrustsAbsenceBeforeBytes = false;
  bool mTrustsIncarnationAtSend = false;
  bool mTrustsAbsenceBesideQueue = false;
  bool mTrustsRefusalOfDraining = false;
  bool mTrustsEarlierReply = false;
  // Events that are left out.
  bool mHasNoUnseenRestart = false; ///< the relay knows each before it sends
  bool mReportsAtResume =
    false; ///< an engine that resumes first makes a report
};

/// What may happen next, by its name.
using Steps = std::vector<std::pair<const char*, World>>;

/// Explores all states.
class Model
{
public:
  explicit Model(const Variant& aVariant)
    : mVariant(aVariant)
  {
  }

  /// Returns the number of states in which a run is about to continue elsewhere
  /// that has not ended.
  int Explore();

  std::size_t States() const { return mSeen.size(); }
  /// Shortest way to a harm, a step a line.
  const std::string& Trace() const { return mTrace; }
  /// What showed the end of a run, in any state.
  const std::set<RunEnd>& Ends() const { return mEnds; }
  /// Whether the copy's engine was lost as well and its run continued.
  bool ContinuesTwice() const { return mContinuesTwice; }

private:
  /// How a state was first reached.
  struct Step
  {
    const World* mFrom = nullptr;
    const char* mName = "";
  };

  Steps Successors(const World& aWorld) const;
  void Check(const World& aWorld);
  std::string TraceTo(const World& aWorld) const;

  Variant mVariant;
  std::map<World, Step> mSeen;
  std::set<RunEnd> mEnds;
  std::string mTrace;
  int mHarms = 0;
  bool mContinuesTwice = false;
};

} // namespace shuntjunction::state::takeover
