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

/// Admission control of an endpoint: the order in which queued requests run,
/// and which requests are refused.
namespace shuntjunction::state {

/// Settings of an AdmissionQueue.
struct AdmissionSettings
{
  std::size_t mSlots = 16;     ///< requests running on the engine at once
  std::size_t mMaxQueued = 64; ///< queued requests over all classes
  /// Every n-th dispatch serves the classes from the lowest to the highest.
  std::size_t mLowestClassInterval = 8;
  /// Longest wait for another request that computes the same prefix.
  Millis mMaxPrefixWait{ 400 };
};

/// A request to be admitted.
struct AdmissionTicket
{
  std::uint64_t mId = 0; ///< unique within the queue
  Priority mPriority = Priority::kOrdinary;
  std::string mTeam;
  double mTeamWeight = 1.0;      ///< share relative to other teams of the class
  std::int64_t mCostMicros = 0;  ///< engine time until its first token
  PrefixHash mMissingPrefix = 0; ///< uncached shared prefix; 0: none
  TimePoint mArrived;
  TimePoint mDeadline; ///< for its first token
};

/// A refused request; no part of it has run.
struct AdmissionRefusal
{
  std::uint64_t mId = 0;
  RefusalReason mReason = RefusalReason::kQueueFull;
  Millis mRetryAfter{ 0 };
};

/// Admits requests by class, by team and by deadline.
///
/// Classes are served by strict priority, except that every
/// mLowestClassInterval-th dispatch starts at the lowest class with queued
/// requests, so that no class starves. Within a class, teams share by weight
/// (start-time fair queueing over the cost). A full queue sheds the newest
/// request of the lowest class in favor of a request of a higher class, never
/// the reverse. Of requests that miss the same prefix, one computes it and the
/// others wait for it, at most mMaxPrefixWait after their arrival.
///
/// Thread safety: none; owned by one thread.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(const AdmissionSettings& aSettings);

  /// Queues a request.
  ///
  /// @return the request itself if it is refused, or the request shed to make
  ///         room for it
  std::vector<AdmissionRefusal> Enqueue(const AdmissionTicket& aTicket,
                                        TimePoint aNow);

  /// Removes the next request to run from the queue; empty if none may run.
  std::optional<AdmissionTicket> Next(TimePoint aNow);

  /// Refuses queued requests whose deadline has passed.
  std::vector<AdmissionRefusal> Expire(TimePoint aNow);

  /// Refuses all queued requests, for instance when the endpoint leaves.
  std::vector<AdmissionRefusal> RefuseAll(RefusalReason aReason);

  /// Records the first token of a running request: its prefix is cached now.
  void NoteFirstToken(std::uint64_t aId);

  /// Removes a request, whether it is queued or running.
  void Remove(std::uint64_t aId);

  /// Engine time of the work ahead of a new request of a class.
  std::int64_t WaitMicros(Priority aPriority) const;

  /// Earliest time at which Next or Expire may return something without any
  /// further call to the queue; empty when nothing is queued.
  std::optional<TimePoint> NextWake(TimePoint aNow) const;

  std::size_t Running() const { return mRunning.size(); }
  std::size_t Queued() const { return mQueued; }

private:
  /// Queued requests of one class, ordered by start tag.
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
    PrefixHash mComputedPrefix = 0;  ///< 0: none
  };

  ClassQueue& QueueOf(Priority aPriority);
  bool MayRun(const AdmissionTicket& aTicket, TimePoint aNow) const;
  std::optional<AdmissionTicket> TakeFrom(ClassQueue& aQueue, TimePoint aNow);
  void Erase(ClassQueue& aQueue,
             std::multimap<double, AdmissionTicket>::iterator aPosition);
  std::optional<std::uint64_t> ShedBelow(Priority aPriority);
  Millis RetryAfter(Priority aPriority) const;

  AdmissionSettings mSettings;
  std::array<ClassQueue, kPriorityCount> mClasses;
  std::unordered_map<std::uint64_t, RunningRequest> mRunning;
  /// Running request that computes each missing prefix.
  std::unordered_map<PrefixHash, std::uint64_t> mPrefixOwners;
  std::int64_t mPendingMicros = 0; ///< sum over mRunning
  std::size_t mQueued = 0;
  std::uint64_t mDispatchCount = 0;
};

} // namespace shuntjunction::state
