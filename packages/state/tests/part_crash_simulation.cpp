#include "part_crash_simulation.h"

#include <algorithm>

namespace shuntjunction::state::part_crash {

namespace {

constexpr std::chrono::seconds kDuration{ 25 };
constexpr std::chrono::seconds kStart{ 5 };
constexpr Millis kObjective{ 500 };
constexpr Millis kPastBeginning{ 250 };
constexpr std::size_t kFifth = 4;
constexpr std::chrono::seconds kLate{ 3 };

/// Numbers of parts: deadly ones, their sound neighbours, all others.
constexpr int kFirstDeadly = 0;
constexpr int kNeighbour = 100;
constexpr int kNeighbours = 20;
constexpr int kOther = 200;
constexpr int kOthers = 400;
constexpr int kOwn = 1000;

PartCrashSettings
SettingsOf(Disabled aDisabled)
{
  PartCrashSettings settings;
  if (aDisabled == Disabled::kTrials) {
    settings.mMinEvidencePeriod = Millis(0);
  }
  return settings;
}

} // namespace

Simulation::Simulation(const Scenario& aScenario)
  : mScenario(aScenario)
  , mStart(mClock.Now())
  , mRandom(aScenario.mSeed)
  , mEngines(aScenario.mEngines)
  , mRelays(aScenario.mRelays, Relay(SettingsOf(aScenario.mDisabled)))
{
}

void
Simulation::After(Millis aDelay, std::function<void()> aCall)
{
  mEvents.push({ mClock.Now() + aDelay, ++mNumber, std::move(aCall) });
}

Millis
Simulation::Between(int aFrom, int aTo)
{
  return Millis(aFrom + Draw(aTo - aFrom + 1));
}

const RequestDigest&
Simulation::Digest(int aPart)
{
  auto& digest = mDigests[aPart];
  if (digest == RequestDigest()) {
    digest = PartDigest("model", std::to_string(aPart), {});
  }
  return digest;
}

bool
Simulation::IsDeadly(int aPart) const
{
  return aPart >= kFirstDeadly && aPart < kFirstDeadly + mScenario.mDeadlyParts;
}

Outcome
Simulation::Run()
{
  const double soundPerSecond =
    std::min(8.0 * static_cast<double>(mScenario.mEngines), 1500.0);
  StartTraffic(Kind::kSameFirst, soundPerSecond * 0.15);
  StartTraffic(Kind::kSameTeam, soundPerSecond * 0.15);
  StartTraffic(Kind::kOther, soundPerSecond * 0.7);
  const auto deadly = mScenario.mDeadlyPerSecond * mScenario.mDeadlyParts;
  if (deadly > 0) {
    After(mScenario.mWasSound ? Millis(0) : Millis(kStart),
          [this, deadly] { StartTraffic(Kind::kDeadly, deadly); });
  }
  After(kStart + Millis(300), [this] { StartFault(); });
  After(kStart, [this] { CheckRefused(); });
  while (!mEvents.empty() && mEvents.top().mAt < mStart + kDuration) {
    const auto event = mEvents.top();
    mEvents.pop();
    mClock.Advance(event.mAt - mClock.Now());
    event.mCall();
  }
  const auto fifth =
    mDeadlyCrashes.size() > kFifth ? mDeadlyCrashes[kFifth] : mStart + kStart;
  mOutcome.mArrivals = mDeadlyArrivals.size();
  mOutcome.mLateArrivals = MostLateArrivals();
  const auto shareOf = [&](Kind aKind) {
    const auto after = std::chrono::duration_cast<std::chrono::seconds>(
      fifth + 2 * kLate - mStart);
    std::pair<int, int> early;
    std::pair<int, int> late;
    for (const auto& [second, served] : mServed[aKind]) {
      const bool isLate =
        second > after.count() && second < kDuration.count() - 1;
      auto& sum = isLate ? late : early;
      if (isLate || second < kStart.count()) {
        sum.first += served.first;
        sum.second += served.second;
      }
    }
    return Shares{ static_cast<double>(early.first) / std::max(early.second, 1),
                   static_cast<double>(late.first) / std::max(late.second, 1) };
  };
  mOutcome.mSameFirst = shareOf(Kind::kSameFirst);
  mOutcome.mSameTeam = shareOf(Kind::kSameTeam);
  mOutcome.mOthers = shareOf(Kind::kOther);
  return mOutcome;
}

int
Simulation::DeadlyPart(const Request& aRequest) const
{
  const auto& parts = aRequest.mParts;
  return *std::find_if(
    parts.begin(), parts.end(), [&](int aPart) { return IsDeadly(aPart); });
}

std::size_t
Simulation::MostLateArrivals() const
{
  std::size_t most = 0;
  for (const auto& [part, crashes] : mCrashesOfParts) {
    if (crashes.size() <= kFifth) {
      continue;
    }
    const auto late = std::count_if(
      mDeadlyArrivals.begin(), mDeadlyArrivals.end(), [&](const auto& aItem) {
        return aItem.first == part && aItem.second > crashes[kFifth] + kLate;
      });
    most = std::max(most, static_cast<std::size_t>(late));
  }
  return most;
}

void
Simulation::CheckRefused()
{
  for (const auto& relay : mRelays) {
    if (relay.mTracker.Condemned(mClock.Now()) == 0) {
      continue;
    }
    for (const auto& [part, digest] : mDigests) {
      if (!IsDeadly(part) &&
          relay.mTracker.RefusalLeft(digest, mClock.Now()) > Millis(0)) {
        mOutcome.mSoundCondemned.insert(part);
      }
    }
  }
  After(Millis(100), [this] { CheckRefused(); });
}

void
Simulation::StartTraffic(Kind aKind, double aPerSecond)
{
  const auto gap = std::exponential_distribution<>(aPerSecond)(mRandom);
  const Millis delay(static_cast<std::int64_t>(gap * 1000));
  After(delay, [this, aKind, aPerSecond] {
    Arrive(aKind);
    StartTraffic(aKind, aPerSecond);
  });
}

void
Simulation::StartFault()
{
  switch (mScenario.mFault) {
    case Fault::kNone:
      break;
    case Fault::kRack:
      CrashSome(std::max<std::size_t>(mEngines.size() / 12, 3));
      break;
    case Fault::kZone:
      CrashSome(std::max<std::size_t>(mEngines.size() / 3, 3));
      break;
    case Fault::kAllEngines:
      CrashSome(mEngines.size());
      break;
    case Fault::kFlapping:
      Crash(0);
      After(Between(2500, 5000), [this] { StartFault(); });
      break;
    case Fault::kBadRelease: {
      // Each engine lives 20 s on average.
      Crash(static_cast<std::size_t>(Draw(static_cast<int>(mEngines.size()))));
      const auto gap = 20000 / static_cast<int>(mEngines.size());
      After(Between(0, 2 * gap), [this] { StartFault(); });
      break;
    }
  }
}

void
Simulation::CrashSome(std::size_t aCount)
{
  for (std::size_t engine = 0; engine < aCount; ++engine) {
    After(Between(0, 300), [this, engine] { Crash(engine); });
  }
}

std::vector<int>
Simulation::PartsOf(Kind aKind)
{
  const int other = kOther + 20 + Draw(kOthers);
  const int first = kOther + Draw(10);
  if (aKind == Kind::kDeadly) {
    const int deadly = kFirstDeadly + Draw(mScenario.mDeadlyParts);
    // Behind a first part, or before one of its neighbours or a rare part.
    const int inner = Draw(2) == 0 ? kNeighbour + Draw(3) : other;
    return mScenario.mIsFirst ? std::vector<int>{ deadly, inner }
                              : std::vector<int>{ kNeighbour, deadly };
  }
  if (aKind == Kind::kSameFirst) {
    return mScenario.mIsFirst
             ? std::vector<int>{ first, kNeighbour + Draw(3) }
             : std::vector<int>{ kNeighbour,
                                 kNeighbour + 1 + Draw(kNeighbours) };
  }
  return { first, other };
}

void
Simulation::Arrive(Kind aKind)
{
  Request request;
  request.mKind = aKind;
  request.mParts = PartsOf(aKind);
  request.mArrivedAt = mClock.Now();
  const bool isTeams = aKind != Kind::kOther;
  request.mTeam =
    isTeams ? 1 + mRandom() % mScenario.mTeams : 10 + mRandom() % 50;
  request.mRelay = mRandom() % mRelays.size();
  if (mScenario.mDisabled == Disabled::kParts) {
    request.mDigests = { Digest(kOwn + static_cast<int>(mRequests.size())) };
  } else {
    for (const int part : request.mParts) {
      request.mDigests.push_back(Digest(part));
    }
  }
  const auto since = request.mArrivedAt - mStart;
  const auto second =
    std::chrono::duration_cast<std::chrono::seconds>(since).count();
  ++mServed[aKind][second].second;
  mRequests.push_back(std::move(request));
  TryStart(mRequests.size() - 1);
}

void
Simulation::CountServed(const Request& aRequest)
{
  if (aRequest.mAttempt == 1) {
    const auto since = aRequest.mArrivedAt - mStart;
    const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(since).count();
    ++mServed[aRequest.mKind][second].first;
  }
}

PartSuspicion
Simulation::SuspicionOf(const Request& aRequest)
{
  auto highest = PartSuspicion::kNone;
  const auto& tracker = mRelays[aRequest.mRelay].mTracker;
  for (const auto& digest : aRequest.mDigests) {
    const auto suspicion =
      tracker.SuspicionOf(digest, aRequest.mTeam, mClock.Now());
    highest = std::max(highest, suspicion);
  }
  return highest;
}

void
Simulation::TryStart(std::size_t aIndex)
{
  auto& request = mRequests[aIndex];
  const auto suspicion = SuspicionOf(request);
  const bool isLate = mClock.Now() >= request.mArrivedAt + kObjective;
  if (suspicion == PartSuspicion::kCrashing || isLate) {
    request.mIsEnded = true;
    request.mIsWaiting = false;
    return;
  }
  const bool isFree = suspicion != PartSuspicion::kRestricted ||
                      mScenario.mDisabled == Disabled::kTrialDelay;
  if (isFree || AcquirePermits(request)) {
    request.mIsWaiting = false;
    Send(aIndex, suspicion);
    return;
  }
  if (!request.mIsWaiting) {
    request.mIsWaiting = true;
    mRelays[request.mRelay].mWaiting.push_back(aIndex);
    After(kObjective, [this, relay = request.mRelay] { Wake(relay); });
  }
}

bool
Simulation::AcquirePermits(Request& aRequest)
{
  auto& relay = mRelays[aRequest.mRelay];
  std::vector<RequestDigest> needed;
  bool isReady = true;
  for (const auto& digest : aRequest.mDigests) {
    if (relay.mTracker.SuspicionOf(digest, aRequest.mTeam, mClock.Now()) !=
        PartSuspicion::kRestricted) {
      continue;
    }
    auto& trial = relay.mTrials[digest];
    const bool isDue = trial.mAt && *trial.mAt <= mClock.Now();
    const bool hasEngine =
      std::any_of(mEngines.begin(), mEngines.end(), [](const Engine& aEngine) {
        return aEngine.mIsUp;
      });
    if (!trial.mAt || (isDue && !hasEngine)) {
      const auto delay =
        relay.mTracker.TrialDelay(mRelays.size(), Uniform()) + Millis(1);
      trial.mAt = mClock.Now() + delay;
      After(delay, [this, index = aRequest.mRelay] { Wake(index); });
    }
    isReady =
      isReady && relay.mTrialsRunning == 0 && *trial.mAt <= mClock.Now();
    needed.push_back(digest);
  }
  if (isReady) {
    for (const auto& digest : needed) {
      relay.mTrials[digest].mAt = std::nullopt;
    }
    ++relay.mTrialsRunning;
    aRequest.mHasPermit = true;
  }
  return isReady;
}

void
Simulation::ReleasePermits(Request& aRequest)
{
  if (aRequest.mHasPermit) {
    --mRelays[aRequest.mRelay].mTrialsRunning;
    aRequest.mHasPermit = false;
  }
}

void
Simulation::Wake(std::size_t aRelay)
{
  std::vector<std::size_t> waiting;
  waiting.swap(mRelays[aRelay].mWaiting);
  for (const auto index : waiting) {
    TryStart(index);
    if (mRequests[index].mIsWaiting) {
      mRelays[aRelay].mWaiting.push_back(index);
    }
  }
}

std::optional<std::size_t>
Simulation::ChooseEngine(const Request& aRequest)
{
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < mEngines.size(); ++i) {
    if (mEngines[i].mIsUp) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto hasSuspect = [&](std::size_t aEngine) {
    const auto& running = mEngines[aEngine].mRequests;
    return std::any_of(running.begin(), running.end(), [&](std::size_t aIndex) {
      const auto& other = mRequests[aIndex];
      return other.mRelay == aRequest.mRelay && other.mIsTrial &&
             !other.mIsPastBeginning && !other.mIsEnded;
    });
  };
  std::size_t chosen = 0;
  constexpr int kDraws = 8;
  for (int i = 0; i < kDraws; ++i) {
    chosen = candidates[mRandom() % candidates.size()];
    if (!aRequest.mIsTrial || !hasSuspect(chosen)) {
      break;
    }
  }
  return chosen;
}

void
Simulation::Send(std::size_t aIndex, PartSuspicion aSuspicion)
{
  auto& request = mRequests[aIndex];
  request.mIsTrial = aSuspicion != PartSuspicion::kNone;
  const auto engine = ChooseEngine(request);
  if (!engine) {
    request.mIsEnded = true;
    ReleasePermits(request);
    return;
  }
  request.mEngine = *engine;
  mEngines[*engine].mRequests.push_back(aIndex);
  const bool isActive = mClock.Now() >= mStart + kStart;
  if (request.mKind == Kind::kDeadly && isActive) {
    mDeadlyArrivals.emplace_back(DeadlyPart(request), mClock.Now());
  }
  After(Between(40, 180), [this, aIndex, attempt = request.mAttempt] {
    const auto& sent = mRequests[aIndex];
    if (!sent.mIsEnded && sent.mAttempt == attempt) {
      Begin(aIndex);
    }
  });
}

void
Simulation::Begin(std::size_t aIndex)
{
  const auto& request = mRequests[aIndex];
  const bool isActive = mClock.Now() >= mStart + kStart;
  if (isActive && std::any_of(request.mParts.begin(),
                              request.mParts.end(),
                              [&](int aPart) { return IsDeadly(aPart); })) {
    mDeadlyCrashes.push_back(mClock.Now());
    mCrashesOfParts[DeadlyPart(request)].push_back(mClock.Now());
    Crash(request.mEngine);
    return;
  }
  After(kPastBeginning, [this, aIndex, attempt = request.mAttempt] {
    const auto& sent = mRequests[aIndex];
    if (!sent.mIsEnded && sent.mAttempt == attempt) {
      PassBeginning(aIndex);
    }
  });
}

void
Simulation::PassBeginning(std::size_t aIndex)
{
  auto& request = mRequests[aIndex];
  request.mIsPastBeginning = true;
  CountServed(request);
  ReleasePermits(request);
  const auto relay = request.mRelay;
  for (const auto& digest : request.mDigests) {
    if (mScenario.mDisabled == Disabled::kClears) {
      break;
    }
    auto& tracker = mRelays[relay].mTracker;
    if (tracker.Clear(digest, request.mTeam, mClock.Now()).empty()) {
      continue;
    }
    Report(relay, [this, digest, team = request.mTeam](std::size_t aRelay) {
      mRelays[aRelay].mTracker.Clear(digest, team, mClock.Now());
      Wake(aRelay);
    });
  }
  Wake(relay);
  After(Between(50, 1500), [this, aIndex] {
    mRequests[aIndex].mIsEnded = true;
    std::erase(mEngines[mRequests[aIndex].mEngine].mRequests, aIndex);
  });
}

void
Simulation::Crash(std::size_t aEngine)
{
  auto& engine = mEngines[aEngine];
  if (!engine.mIsUp) {
    return;
  }
  ++mOutcome.mCrashes;
  engine.mIsUp = false;
  After(Between(2000, 4000),
        [this, aEngine] { mEngines[aEngine].mIsUp = true; });
  std::vector<std::size_t> requests;
  requests.swap(engine.mRequests);
  for (const auto index : requests) {
    if (!mRequests[index].mIsEnded) {
      EndAtCrash(index);
    }
  }
}

void
Simulation::EndAtCrash(std::size_t aIndex)
{
  auto& request = mRequests[aIndex];
  request.mIsEnded = true;
  const bool isEvidence = !request.mIsPastBeginning;
  const PartCrash crash{ request.mDigests,
                         request.mTeam,
                         request.mEngine + 1,
                         request.mIsTrial ||
                           mScenario.mDisabled == Disabled::kTrials };
  const auto at = mClock.Now();
  After(Between(1, 5), [this, aIndex, isEvidence, crash, at] {
    const auto relay = mRequests[aIndex].mRelay;
    if (isEvidence) {
      Note(relay, crash, at);
    }
    auto& ended = mRequests[aIndex];
    ReleasePermits(ended);
    if (isEvidence && ended.mAttempt < mScenario.mAttempts) {
      ++ended.mAttempt;
      ended.mIsEnded = false;
      TryStart(aIndex);
    }
    Wake(relay);
  });
}

void
Simulation::Note(std::size_t aRelay, const PartCrash& aCrash, TimePoint aAt)
{
  const auto check = [this](const PartChanges& aChanges) {
    for (const auto& [part, digest] : mDigests) {
      const auto& condemned = aChanges.mCondemned;
      if (std::find(condemned.begin(), condemned.end(), digest) ==
          condemned.end()) {
        continue;
      }
      if (IsDeadly(part) && mOutcome.mUntilVerdict == 0) {
        mOutcome.mUntilVerdict = mDeadlyCrashes.size();
      }
    }
  };
  const auto changes = mRelays[aRelay].mTracker.Note(aCrash, aAt);
  check(changes);
  if (!changes.mIsNew) {
    return;
  }
  const auto age = mClock.Now() - aAt;
  Report(aRelay, [this, aCrash, age, check](std::size_t aOther) {
    // The transit is not part of the age.
    check(mRelays[aOther].mTracker.Note(aCrash, mClock.Now() - age));
    Wake(aOther);
  });
}

void
Simulation::Report(std::size_t aRelay, std::function<void(std::size_t)> aCall)
{
  for (std::size_t other = 0; other < mRelays.size(); ++other) {
    if (other != aRelay) {
      After(Between(20, 50), [aCall, other] { aCall(other); });
    }
  }
}

} // namespace shuntjunction::state::part_crash
