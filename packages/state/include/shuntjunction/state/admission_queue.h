#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/request_types.h"

/// Which request an endpoint takes next, and which it refuses.
namespace shuntjunction::state {

/// Settings of an AdmissionQueue.
struct AdmissionSettings
{
  std::size_t mSlots = 16;     ///< requests at the engine at once
  std::size_t mMaxQueued = 64; ///< requests that wait, all classes together
  std::size_t mOrdinaryTurn =
    8; ///< one turn in so many goes to the lowest class that waits
  Millis mMaxPrefixWait{ 400 }; ///< longest wait behind a prefix being computed
};

/// A request that asks for admission.
struct AdmissionTicket
{
  std::uint64_t mId = 0; ///< unique within the queue
  Priority mPriority = Priority::kOrdinary;
  std::string mTeam;
  double mTeamWeight = 1.0;      ///< share among teams of the class
  std::int64_t mCostMicros = 0;  ///< engine time until its first token
  PrefixHash mMissingPrefix = 0; ///< shared prefix it would compute, or 0
  TimePoint mArrived;
  TimePoint mDeadline; ///< for its first token
};

/// A refusal; nothing of the request was run.
struct AdmissionRefusal
{
  std::uint64_t mId = 0;
  RefusalReason mReason = RefusalReason::kQueueFull;
  Millis mRetryAfter{ 0 };
};

/// Admits requests by class, by team and by deadline.
///
/// Urgent work goes first, but one turn in mOrdinaryTurn is given to the
/// lowest class that waits, so that none starves. Within a class the teams
/// share by weight (start-time fair queueing over the cost). A full queue
/// sheds the newest request of the lowest class, never one of a higher class
/// for one of a lower. Requests that would compute the same prefix at the
/// same time wait for the first of them, for a bounded time.
///
/// Thread safety: none; owned by one thread.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(const AdmissionSettings& aSettings);

  /// Queues a request; the refusals may name it or the one shed for it.
  std::vector<AdmissionRefusal> Enqueue(const AdmissionTicket& aTicket,
                                        TimePoint aNow);

  /// Takes the next request to run; empty when none may.
  std::optional<AdmissionTicket> Next(TimePoint aNow);

  /// Refuses what can no longer be in time.
  std::vector<AdmissionRefusal> Expire(TimePoint aNow);

  /// Refuses all that wait, for instance when the endpoint leaves.
  std::vector<AdmissionRefusal> RefuseAll(RefusalReason aReason);

  /// Notes that a running request has its first token: its prefix is cached.
  void NoteFirstToken(std::uint64_t aId);

  /// Takes a request out, whether it waits or runs.
  void Remove(std::uint64_t aId);

  /// Engine time that stands before a request of a class which comes now.
  std::int64_t WaitMicros(Priority aPriority) const;

  /// Earliest time from now on at which Next or Expire may have news by the
  /// passing of time alone; empty when nothing waits.
  std::optional<TimePoint> NextWake(TimePoint aNow) const;

  std::size_t Running() const { return mRunning.size(); }
  std::size_t Queued() const { return mQueued; }

private:
  /// One class: requests that wait, ordered by start tag.
  struct ClassQueue
  {
    std::multimap<double, AdmissionTicket> mWaiting;
    std::unordered_map<std::string, double> mFinishTags; ///< by team
    double mVirtualTime = 0;
    std::int64_t mCostMicros = 0;
  };

  struct RunningRequest
  {
    std::int64_t mPendingMicros = 0; ///< zero once it has its first token
    PrefixHash mFlight = 0;
  };

  ClassQueue& QueueOf(Priority aPriority);
  bool MayRun(const AdmissionTicket& aTicket, TimePoint aNow) const;
  std::optional<AdmissionTicket> TakeFrom(ClassQueue& aQueue, TimePoint aNow);
  void Erase(ClassQueue& aQueue,
             std::multimap<double, AdmissionTicket>::iterator aWhere);
  std::optional<std::uint64_t> ShedBelow(Priority aPriority);
  Millis RetryAfter(Priority aPriority) const;

  AdmissionSettings mSettings;
  std::array<ClassQueue, kPriorityCount> mClasses;
  std::unordered_map<std::uint64_t, RunningRequest> mRunning;
  std::unordered_map<PrefixHash, std::uint64_t> mFlights;
  std::int64_t mPendingMicros = 0;
  std::size_t mQueued = 0;
  std::uint64_t mTurn = 0;
};

} // namespace shuntjunction::state
