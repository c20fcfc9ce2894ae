#include "shuntjunction/state/admission_queue.h"

#include <algorithm>

namespace shuntjunction::state {

namespace {

/// Bounds of the retry delay of refused requests.
constexpr Millis kMinRetryAfter{ 50 };
constexpr Millis kMaxRetryAfter{ 30000 };

/// Minimum cost of a request for fair queueing, so that requests of no cost are
/// shared fairly, too.
constexpr std::int64_t kMinCostMicros = 100;

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionSettings& aSettings)
  : mSettings(aSettings)
{
}

AdmissionQueue::ClassQueue&
AdmissionQueue::QueueOf(Priority aPriority)
{
  return mClasses[static_cast<std::size_t>(aPriority)];
}

std::int64_t
AdmissionQueue::WaitMicros(Priority aPriority) const
{
  std::int64_t wait = mPendingMicros;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(aPriority); ++i) {
    wait += mClasses[i].mCostMicros;
  }
  return wait;
}

Millis
AdmissionQueue::RetryAfter(Priority aPriority) const
{
  const Millis wait(WaitMicros(aPriority) / 1000);
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

std::vector<AdmissionRefusal>
AdmissionQueue::Enqueue(const AdmissionTicket& aTicket, TimePoint aNow)
{
  const Millis retryAfter = RetryAfter(aTicket.mPriority);
  const auto start =
    aNow + std::chrono::microseconds(WaitMicros(aTicket.mPriority));
  if (start >= aTicket.mDeadline) {
    return { { aTicket.mId, RefusalReason::kTooLate, retryAfter } };
  }
  std::vector<AdmissionRefusal> refusals;
  if (mQueued >= mSettings.mMaxQueued) {
    const auto shed = ShedBelow(aTicket.mPriority);
    if (!shed) {
      return { { aTicket.mId, RefusalReason::kQueueFull, retryAfter } };
    }
    refusals.push_back(
      { *shed, RefusalReason::kShed, RetryAfter(Priority::kOrdinary) });
  }
  ClassQueue& queue = QueueOf(aTicket.mPriority);
  double& finish = queue.mFinishTags[aTicket.mTeam];
  const double tag = std::max(queue.mVirtualTime, finish);
  const auto cost = std::max(aTicket.mCostMicros, kMinCostMicros);
  finish = tag + static_cast<double>(cost) / aTicket.mTeamWeight;
  queue.mWaiting.emplace(tag, aTicket);
  queue.mCostMicros += aTicket.mCostMicros;
  ++mQueued;
  return refusals;
}

std::optional<std::uint64_t>
AdmissionQueue::ShedBelow(Priority aPriority)
{
  for (std::size_t i = kPriorityCount - 1;
       i > static_cast<std::size_t>(aPriority);
       --i) {
    ClassQueue& queue = mClasses[i];
    if (queue.mWaiting.empty()) {
      continue;
    }
    const auto newest =
      std::max_element(queue.mWaiting.begin(),
                       queue.mWaiting.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.mArrived < aRight.second.mArrived;
                       });
    const std::uint64_t id = newest->second.mId;
    Erase(queue, newest);
    return id;
  }
  return std::nullopt;
}

void
AdmissionQueue::Erase(
  ClassQueue& aQueue,
  std::multimap<double, AdmissionTicket>::iterator aPosition)
{
  aQueue.mCostMicros -= aPosition->second.mCostMicros;
  aQueue.mWaiting.erase(aPosition);
  --mQueued;
  if (aQueue.mWaiting.empty()) {
    aQueue.mFinishTags.clear();
    aQueue.mVirtualTime = 0;
  }
}

bool
AdmissionQueue::MayRun(const AdmissionTicket& aTicket, TimePoint aNow) const
{
  if (aTicket.mMissingPrefix == 0 ||
      !mPrefixOwners.contains(aTicket.mMissingPrefix)) {
    return true;
  }
  return aNow >= aTicket.mArrived + mSettings.mMaxPrefixWait;
}

std::optional<AdmissionTicket>
AdmissionQueue::TakeFrom(ClassQueue& aQueue, TimePoint aNow)
{
  for (auto at = aQueue.mWaiting.begin(); at != aQueue.mWaiting.end(); ++at) {
    if (!MayRun(at->second, aNow)) {
      continue;
    }
    AdmissionTicket ticket = at->second;
    aQueue.mVirtualTime = std::max(aQueue.mVirtualTime, at->first);
    Erase(aQueue, at);
    return ticket;
  }
  return std::nullopt;
}

std::optional<AdmissionTicket>
AdmissionQueue::Next(TimePoint aNow)
{
  if (mRunning.size() >= mSettings.mSlots || mQueued == 0) {
    return std::nullopt;
  }
  ++mDispatchCount;
  const bool lowestFirst = mDispatchCount % mSettings.mLowestClassInterval == 0;
  std::optional<AdmissionTicket> ticket;
  for (std::size_t i = 0; i < kPriorityCount && !ticket; ++i) {
    const std::size_t at = lowestFirst ? kPriorityCount - 1 - i : i;
    ticket = TakeFrom(mClasses[at], aNow);
  }
  if (!ticket) {
    return std::nullopt;
  }
  RunningRequest running{ ticket->mCostMicros, ticket->mMissingPrefix };
  if (running.mComputedPrefix != 0) {
    mPrefixOwners.try_emplace(running.mComputedPrefix, ticket->mId);
  }
  mPendingMicros += running.mPendingMicros;
  mRunning.emplace(ticket->mId, running);
  return ticket;
}

std::vector<AdmissionRefusal>
AdmissionQueue::Expire(TimePoint aNow)
{
  std::vector<AdmissionRefusal> refusals;
  for (ClassQueue& queue : mClasses) {
    for (auto at = queue.mWaiting.begin(); at != queue.mWaiting.end();) {
      const auto next = std::next(at);
      const AdmissionTicket& ticket = at->second;
      if (ticket.mDeadline <= aNow) {
        refusals.push_back({ ticket.mId,
                             RefusalReason::kTooLate,
                             RetryAfter(ticket.mPriority) });
        Erase(queue, at);
      }
      at = next;
    }
  }
  return refusals;
}

std::vector<AdmissionRefusal>
AdmissionQueue::RefuseAll(RefusalReason aReason)
{
  std::vector<AdmissionRefusal> refusals;
  for (ClassQueue& queue : mClasses) {
    while (!queue.mWaiting.empty()) {
      const auto first = queue.mWaiting.begin();
      refusals.push_back({ first->second.mId, aReason, kMinRetryAfter });
      Erase(queue, first);
    }
  }
  return refusals;
}

void
AdmissionQueue::NoteFirstToken(std::uint64_t aId)
{
  const auto found = mRunning.find(aId);
  if (found == mRunning.end()) {
    return;
  }
  RunningRequest& running = found->second;
  mPendingMicros -= running.mPendingMicros;
  running.mPendingMicros = 0;
  const auto owner = mPrefixOwners.find(running.mComputedPrefix);
  if (owner != mPrefixOwners.end() && owner->second == aId) {
    mPrefixOwners.erase(owner);
  }
}

void
AdmissionQueue::Remove(std::uint64_t aId)
{
  NoteFirstToken(aId);
  if (mRunning.erase(aId) > 0) {
    return;
  }
  for (ClassQueue& queue : mClasses) {
    const auto found =
      std::find_if(queue.mWaiting.begin(),
                   queue.mWaiting.end(),
                   [&](const auto& aItem) { return aItem.second.mId == aId; });
    if (found != queue.mWaiting.end()) {
      Erase(queue, found);
      return;
    }
  }
}

std::optional<TimePoint>
AdmissionQueue::NextWake(TimePoint aNow) const
{
  std::optional<TimePoint> wake;
  const auto considerTime = [&](TimePoint aWhen) {
    wake = wake ? std::min(*wake, aWhen) : aWhen;
  };
  for (const ClassQueue& queue : mClasses) {
    for (const auto& [tag, ticket] : queue.mWaiting) {
      considerTime(ticket.mDeadline);
      const TimePoint prefixWaitEnd =
        ticket.mArrived + mSettings.mMaxPrefixWait;
      if (ticket.mMissingPrefix != 0 && prefixWaitEnd > aNow) {
        considerTime(prefixWaitEnd);
      }
    }
  }
  return wake;
}

} // namespace shuntjunction::state
