#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/state/part_crash_tracker.h"

/// Simulates relays that exchange reports of crashes, engines, and requests
/// whose prompts share parts, some of which make engines crash.
namespace shuntjunction::state::part_crash {

/// A cause of crashes beside the deadly parts.
enum class Fault
{
  kNone,
  kRack,
  kZone,
  kAllEngines,
  kFlapping,   ///< one engine crashes again and again
  kBadRelease, ///< each engine crashes now and then
};

/// Names of Fault.
inline constexpr EnumNames<Fault, 6> kFaultNames{
  { "None", "Rack", "Zone", "AllEngines", "Flapping", "BadRelease" }
};

/// The part of the mechanism that a run disables, to show that the checker
/// notices.
enum class Disabled
{
  kNothing,
  kClears,
  kTrials,     ///< three crashes are a verdict, whatever else crashed
  kParts,      ///< requests are counted as a whole
  kTrialDelay, ///< restricted requests are all sent at once
};

struct Scenario
{
  std::string mName;
  std::size_t mEngines = 60;
  std::size_t mRelays = 20;
  double mDeadlyPerSecond = 10; ///< for each deadly part; 0: none
  int mDeadlyParts = 1;
  std::size_t mTeams = 1; ///< that send deadly requests
  bool mIsFirst = false;  ///< the deadly part comes first in its prompts
  int mAttempts = 1;      ///< of each request
  bool mWasSound = false; ///< the deadly part was answered until it starts
  Fault mFault = Fault::kNone;
  Disabled mDisabled = Disabled::kNothing;
  std::uint64_t mSeed = 1;
};

/// How a kind of sound requests fares, as a share served at the first attempt.
struct Shares
{
  double mBefore = 0;
  double mAfter = 0; ///< from six seconds after the fifth crash on
};

/// What a run showed.
struct Outcome
{
  std::size_t mCrashes = 0;      ///< of all engines and causes
  std::size_t mUntilVerdict = 0; ///< crashes under deadly parts; 0: no verdict
  std::size_t mArrivals = 0;     ///< of deadly requests at engines
  std::size_t mLateArrivals = 0; ///< of one part, 3 s after its fifth crash
  std::set<int> mSoundCondemned;
  Shares
    mSameFirst; ///< share the first part with the deadly ones, or the inner
  Shares mSameTeam;
  Shares mOthers;
};

/// Runs a scenario of 25 s; deadly requests start after 5 s.
class Simulation
{
public:
  explicit Simulation(const Scenario& aScenario);

  Outcome Run();

private:
  enum class Kind
  {
    kSameFirst,
    kSameTeam,
    kOther,
    kDeadly,
  };

  struct Request
  {
    std::vector<int> mParts;
    std::vector<RequestDigest> mDigests;
    std::uint64_t mTeam = 0;
    Kind mKind = Kind::kOther;
    std::size_t mRelay = 0;
    TimePoint mArrivedAt;
    int mAttempt = 1;
    bool mIsTrial = false;
    bool mIsPastBeginning = false;
    bool mIsEnded = false;
    bool mIsWaiting = false;
    bool mHasPermit = false;
    std::size_t mEngine = 0;
  };

  struct Engine
  {
    bool mIsUp = true;
    std::vector<std::size_t> mRequests;
  };

  /// Since when a restricted part may be tried.
  struct Trial
  {
    std::optional<TimePoint> mAt;
  };

  struct Relay
  {
    explicit Relay(const PartCrashSettings& aSettings)
      : mTracker(aSettings)
    {
    }
    PartCrashTracker mTracker;
    std::map<RequestDigest, Trial> mTrials;
    std::vector<std::size_t> mWaiting;
    int mTrialsRunning = 0;
  };

  struct Event
  {
    TimePoint mAt;
    std::uint64_t mNumber;
    std::function<void()> mCall;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mNumber) < std::tie(mAt, mNumber);
    }
  };

  void After(Millis aDelay, std::function<void()> aCall);
  Millis Between(int aFrom, int aTo);
  int Draw(int aCount) { return static_cast<int>(mRandom() % aCount); }
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(mRandom); }
  const RequestDigest& Digest(int aPart);
  bool IsDeadly(int aPart) const;

  void StartTraffic(Kind aKind, double aPerSecond);
  void StartFault();
  void CheckRefused();
  int DeadlyPart(const Request& aRequest) const;
  std::size_t MostLateArrivals() const;
  void CrashSome(std::size_t aCount);
  void Arrive(Kind aKind);
  std::vector<int> PartsOf(Kind aKind);
  void CountServed(const Request& aRequest);

  void TryStart(std::size_t aIndex);
  bool AcquirePermits(Request& aRequest);
  void Send(std::size_t aIndex, PartSuspicion aSuspicion);
  std::optional<std::size_t> ChooseEngine(const Request& aRequest);
  void Begin(std::size_t aIndex);
  void PassBeginning(std::size_t aIndex);
  void Crash(std::size_t aEngine);
  void EndAtCrash(std::size_t aIndex);
  void ReleasePermits(Request& aRequest);
  void Wake(std::size_t aRelay);
  PartSuspicion SuspicionOf(const Request& aRequest);

  void Note(std::size_t aRelay, const PartCrash& aCrash, TimePoint aAt);
  void Report(std::size_t aRelay, std::function<void(std::size_t)> aCall);

  Scenario mScenario;
  ManualClock mClock;
  TimePoint mStart;
  std::mt19937_64 mRandom;
  std::priority_queue<Event> mEvents;
  std::uint64_t mNumber = 0;
  std::vector<Engine> mEngines;
  std::vector<Relay> mRelays;
  std::vector<Request> mRequests;
  std::map<int, RequestDigest> mDigests;
  std::vector<TimePoint> mDeadlyCrashes;
  std::map<int, std::vector<TimePoint>> mCrashesOfParts;
  std::vector<std::pair<int, TimePoint>> mDeadlyArrivals;
  std::map<Kind, std::map<std::int64_t, std::pair<int, int>>> mServed;
  Outcome mOutcome;
};

} // namespace shuntjunction::state::part_crash
