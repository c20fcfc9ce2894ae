#include "run_takeover_model.h"

#include <algorithm>
#include <deque>

namespace shuntjunction::state::takeover {

namespace {

const std::string kRequestId = "r1";

/// The engine's own steps.
class EngineSteps
{
public:
  EngineSteps(const Variant& aVariant, const World& aWorld, Steps& aSteps)
    : mVariant(aVariant)
    , mWorld(aWorld)
    , mSteps(aSteps)
  {
  }

  void AddAll()
  {
    if (mWorld.mEngine.Works()) {
      AddWork();
      AddDrain();
      Add("the engine stands still",
          [](World& aNext) { Of(aNext).mCondition = Condition::kStandsStill; });
    }
    if (mWorld.mEngine.mCondition == Condition::kStandsStill) {
      const bool reports = mVariant.mReportsAtResume;
      Add("the engine resumes", [reports](World& aNext) {
        Of(aNext).mCondition = Condition::kWorks;
        if (reports) {
          Of(aNext).MakeReport();
        }
      });
    }
    if (mWorld.mEngine.mCondition != Condition::kEnded) {
      Add("the engine crashes", [](World& aNext) { End(aNext); });
    } else if (mWorld.mEngine.mProcess.mNumber == 0) {
      AddRestart(false, "the engine restarts under its id");
      AddRestart(true, "another endpoint starts at its address");
    }
  }

private:
  static Engine& Of(World& aWorld) { return aWorld.mEngine; }

  /// Connections end with their process.
  static void End(World& aWorld)
  {
    Of(aWorld).End();
    auto& relay = aWorld.mRelay;
    relay.mIsConnectionDead =
      relay.mIsConnectionDead || relay.mPhase == Phase::kConnected;
    if (relay.mQuery.mState == QueryState::kOpen) {
      relay.mQuery = {};
    }
  }

  template<typename Change>
  void Add(const char* aName, Change aChange)
  {
    mSteps.emplace_back(aName, mWorld);
    aChange(mSteps.back().second);
  }

  void AddRun(const char* aName, RunState aFrom, RunState aTo)
  {
    if (mWorld.mEngine.mRun == aFrom) {
      Add(aName, [aTo](World& aNext) { Of(aNext).mRun = aTo; });
    }
  }

  void AddWork()
  {
    AddRun(
      "the engine reads the request", RunState::kUnread, RunState::kQueued);
    AddRun(
      "the engine begins to run it", RunState::kQueued, RunState::kRunning);
    AddRun(
      "the engine preempts the run", RunState::kRunning, RunState::kQueued);
    AddRun("the run ends", RunState::kRunning, RunState::kEnded);
    if (mWorld.mEngine.mRun == RunState::kRunning) {
      Add("the engine sends bytes",
          [](World& aNext) { Of(aNext).mHasSentBytes = true; });
    }
    Add("the engine makes a report",
        [](World& aNext) { Of(aNext).MakeReport(); });
    if (mWorld.mRelay.mQuery.mState == QueryState::kOpen) {
      Add("the engine replies to the query", Reply);
    }
  }

  static void Reply(World& aNext)
  {
    const auto& engine = Of(aNext);
    auto& query = aNext.mRelay.mQuery;
    query.mState = QueryState::kReplied;
    query.mKind = engine.mProcess.mIsOtherEndpoint ? RunsReplyKind::kOther
                                                   : RunsReplyKind::kRuns;
    query.mProcess = engine.mProcess.mNumber;
    query.mIsRunListed = engine.mIsRunReported;
    query.mIsQueued = engine.mIsQueueReported;
    if (query.mIsAfterSend && query.mIsRunListed) {
      aNext.mRelay.mListedBy = query.mProcess;
    }
  }

  void AddDrain()
  {
    if (!mWorld.mEngine.mIsDraining) {
      Add("the engine drains",
          [](World& aNext) { Of(aNext).mIsDraining = true; });
    } else if (mWorld.mRelay.mKnowsOfDrain) {
      // It serves for as long as a relay needs to learn of it.
      Add("the engine stops listening",
          [](World& aNext) { Of(aNext).mListens = false; });
    }
  }

  void AddRestart(bool aIsOther, const char* aName)
  {
    Add(aName, [aIsOther](World& aNext) {
      const auto run = Of(aNext).mRun;
      Of(aNext) = {};
      Of(aNext).mRun = run;
      Of(aNext).mProcess = { 1, aIsOther };
    });
  }

  const Variant& mVariant;
  const World& mWorld;
  Steps& mSteps;
};

/// The relay's own steps.
class RelaySteps
{
public:
  RelaySteps(const Variant& aVariant, const World& aWorld, Steps& aSteps)
    : mVariant(aVariant)
    , mWorld(aWorld)
    , mSteps(aSteps)
  {
  }

  void AddAll()
  {
    Add("the relay learns what is listed", [](World& aNext) {
      const auto& engine = aNext.mEngine;
      aNext.mRelay.mKnowsOfDrain = engine.mIsDraining;
      if (!engine.mProcess.mIsOtherEndpoint) {
        aNext.mRelay.mKnownProcess = engine.mProcess.mNumber;
      }
    });
    Add("the relay is restarted",
        [](World& aNext) { aNext.mRelay.mPhase = Phase::kGone; });
    AddSend();
    AddAnswer();
    AddQuery();
    AddProof();
    AddContinuation();
  }

  /// What is known of the run's end.
  RunEnd End() const
  {
    const auto& relay = mWorld.mRelay;
    const auto& query = relay.mQuery;
    const TimePoint now(Millis(100000));
    const auto askedAt = now - query.mAge * kTick;
    const bool isAfter = query.mIsAfterSend || mVariant.mTrustsEarlierReply;
    RunInQuestion run;
    run.mRequestId = kRequestId;
    run.mSentAt = isAfter ? askedAt : askedAt + kTick;
    const int listedBy = ListedBy();
    if (listedBy >= 0) {
      run.mListedBy = Process{ listedBy }.Incarnation();
    }
    return EndOfRun(run, ReplyOf(query), askedAt);
  }

private:
  int ListedBy() const
  {
    const auto& relay = mWorld.mRelay;
    const bool isOther = relay.mQuery.mProcess != relay.mRunProcess;
    const bool isTrusted = mVariant.mTrustsAbsenceBeforeBytes ||
                           (mVariant.mTrustsReplyThatLags && relay.mHasBegun) ||
                           (mVariant.mTrustsIncarnationAtSend && isOther);
    return relay.mListedBy < 0 && isTrusted ? relay.mRunProcess
                                            : relay.mListedBy;
  }

  template<typename Change>
  void Add(const char* aName, Change aChange)
  {
    mSteps.emplace_back(aName, mWorld);
    aChange(mSteps.back().second);
  }

  bool Is(Phase aPhase) const { return mWorld.mRelay.mPhase == aPhase; }

  RunsReply ReplyOf(const Query& aQuery) const
  {
    RunsReply reply;
    if (aQuery.mState != QueryState::kReplied) {
      return reply;
    }
    reply.mKind = aQuery.mKind;
    reply.mIncarnation = Process{ aQuery.mProcess }.Incarnation();
    reply.mQueued =
      aQuery.mIsQueued && !mVariant.mTrustsAbsenceBesideQueue ? 1 : 0;
    if (aQuery.mIsRunListed) {
      reply.mRequestIds.push_back(kRequestId);
    }
    return reply;
  }

  void AddSend()
  {
    const auto& engine = mWorld.mEngine;
    if (Is(Phase::kChosen) && engine.mListens) {
      Add("the relay connects to the engine",
          [](World& aNext) { aNext.mRelay.mPhase = Phase::kConnected; });
    }
    const bool isSeen =
      mWorld.mRelay.mKnownProcess == engine.mProcess.mNumber ||
      engine.mProcess.mIsOtherEndpoint;
    if (Is(Phase::kConnected) && (isSeen || !mVariant.mHasNoUnseenRestart)) {
      Add("the relay sends the request", Send);
    }
  }

  static void Send(World& aNext)
  {
    auto& relay = aNext.mRelay;
    relay.mPhase = Phase::kSent;
    relay.mRunProcess = relay.mKnownProcess;
    // Another endpoint refuses what is addressed to this one.
    const bool isRefused =
      relay.mIsConnectionDead || aNext.mEngine.mProcess.mIsOtherEndpoint;
    aNext.mEngine.mRun = isRefused ? RunState::kEnded : RunState::kUnread;
  }

  void AddAnswer()
  {
    const auto& relay = mWorld.mRelay;
    if (!Is(Phase::kSent) || relay.mIsAnswerLost) {
      return;
    }
    if (mWorld.mEngine.mHasSentBytes && !relay.mHasBegun) {
      Add("bytes reach the relay",
          [](World& aNext) { aNext.mRelay.mHasBegun = true; });
    }
    Add("the answer is lost on its way",
        [](World& aNext) { aNext.mRelay.mIsAnswerLost = true; });
  }

  void AddQuery()
  {
    // Other streams at the engine may query it at any time.
    if (mWorld.mRelay.mQuery.mState != QueryState::kNone ||
        mWorld.mRelay.mPhase > Phase::kSent) {
      Add("the reply is dropped",
          [](World& aNext) { aNext.mRelay.mQuery = {}; });
      return;
    }
    if (mWorld.mEngine.mListens) {
      Add("the relay queries the engine", [](World& aNext) {
        aNext.mRelay.mQuery.mState = QueryState::kOpen;
        NoteAsked(aNext);
      });
      return;
    }
    const bool isTrusted =
      !mWorld.mRelay.mKnowsOfDrain || mVariant.mTrustsRefusalOfDraining;
    if (isTrusted) {
      Add("the engine refuses the query", [](World& aNext) {
        aNext.mRelay.mQuery.mState = QueryState::kReplied;
        aNext.mRelay.mQuery.mKind = RunsReplyKind::kRefused;
        NoteAsked(aNext);
      });
    }
  }

  static void NoteAsked(World& aNext)
  {
    auto& query = aNext.mRelay.mQuery;
    query.mAge = 0;
    query.mIsAfterSend = aNext.mRelay.mPhase == Phase::kSent;
  }

  void AddProof()
  {
    const auto& engine = mWorld.mEngine;
    const bool isSilent = mWorld.mRelay.mIsAnswerLost || !engine.Works();
    if (!Is(Phase::kSent) || !isSilent) {
      return;
    }
    const auto end = End();
    if (end != RunEnd::kUnknown || mVariant.mTrustsSilence) {
      Add("the relay takes the run for ended", [](World& aNext) {
        aNext.mRelay.mPhase = Phase::kProved;
        aNext.mRelay.mQuery = {};
      });
    }
  }

  void AddContinuation()
  {
    if (Is(Phase::kProved)) {
      Add("the relay reserves a retry",
          [](World& aNext) { aNext.mRelay.mPhase = Phase::kReserved; });
    }
    if (Is(Phase::kReserved)) {
      Add("the relay connects to the engine of the copy",
          [](World& aNext) { aNext.mRelay.mPhase = Phase::kOpened; });
    }
    // A run that has ended stays so: only the next engine matters from here on.
    if (Is(Phase::kOpened) && mWorld.mRound == 0) {
      Add("the stream continues at the engine of the copy", [](World& aNext) {
        aNext = {};
        aNext.mRound = 1;
      });
    }
  }

  const Variant& mVariant;
  const World& mWorld;
  Steps& mSteps;
};

void
PassTime(World& aWorld)
{
  auto& relay = aWorld.mRelay;
  if (aWorld.mEngine.Works()) {
    ++aWorld.mEngine.mReportAge;
  }
  if (relay.mQuery.mState != QueryState::kNone &&
      ++relay.mQuery.mAge > kReplyAge) {
    relay.mQuery = {};
  }
}

} // namespace

int
Model::Explore()
{
  std::deque<const World*> open{ &mSeen.emplace(World(), Step()).first->first };
  while (!open.empty()) {
    const auto* const world = open.front();
    open.pop_front();
    Check(*world);
    for (const auto& [name, next] : Successors(*world)) {
      const auto [place, isNew] = mSeen.emplace(next, Step{ world, name });
      if (isNew) {
        open.push_back(&place->first);
      }
    }
  }
  return mHarms;
}

Steps
Model::Successors(const World& aWorld) const
{
  Steps steps;
  if (aWorld.mRelay.mPhase == Phase::kGone) {
    return steps;
  }
  EngineSteps(mVariant, aWorld, steps).AddAll();
  RelaySteps(mVariant, aWorld, steps).AddAll();
  const auto& engine = aWorld.mEngine;
  if (!engine.Works() || engine.mReportAge < kReportInterval) {
    steps.emplace_back("time passes", aWorld);
    PassTime(steps.back().second);
  }
  return steps;
}

void
Model::Check(const World& aWorld)
{
  const auto phase = aWorld.mRelay.mPhase;
  if (phase == Phase::kSent) {
    Steps unused;
    mEnds.insert(RelaySteps(mVariant, aWorld, unused).End());
  }
  if (phase != Phase::kOpened) {
    return;
  }
  mContinuesTwice = mContinuesTwice || aWorld.mRound == 1;
  if (aWorld.mEngine.mRun != RunState::kEnded && ++mHarms == 1) {
    mTrace = TraceTo(aWorld);
  }
}

std::string
Model::TraceTo(const World& aWorld) const
{
  std::string trace;
  auto step = mSeen.at(aWorld);
  while (step.mFrom != nullptr) {
    trace.insert(0, std::string(step.mName) + "\n");
    step = mSeen.at(*step.mFrom);
  }
  return trace;
}

} // namespace shuntjunction::state::takeover
