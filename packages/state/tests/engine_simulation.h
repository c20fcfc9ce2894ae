#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "shuntjunction/state/first_token.h"
#include "shuntjunction/state/late_requests.h"
#include "shuntjunction/state/waiting_tokens.h"

/// Simulates an engine in virtual time; the queueing decisions are those of the
/// production code.
namespace shuntjunction::state {

/// A request and its outcome.
struct SimulatedRequest
{
  Millis mArrival{ 0 };
  std::int64_t mTokens = 0;
  Millis mObjective{ 0 };
  int mUrgency = 1;               ///< of its route
  int mSentUrgency = 0;           ///< after the policy's decision
  std::int64_t mTokensAhead = 0;  ///< tokens queued before it when it was sent
  std::optional<Millis> mFirst{}; ///< when its first token was produced
  bool mIsRefused = false;        ///< on arrival

  bool IsInTime() const { return mFirst && *mFirst - mArrival <= mObjective; }

  /// Whether its caller gave up without a response.
  bool IsAbandoned() const { return !mFirst && !mIsRefused; }

  bool IsBehind() const { return mSentUrgency > mUrgency; }
  TimePoint SentAt() const { return TimePoint(mArrival); }
};

/// How requests are queued at the engine.
enum class QueueingPolicy : std::uint8_t
{
  kByRouteUrgency,       ///< by the route's urgency alone
  kByObjective,          ///< by EffectiveUrgency
  kByObjectiveRejecting, ///< the same, and LateRequests says which are rejected
};

/// Simulates requests, sorted by arrival, on an engine that processes one
/// prompt at a time: the most urgent first, and equally urgent ones by arrival.
/// Callers give up after their timeout.
class EngineSimulation
{
public:
  EngineSimulation(double aTokensPerMilli,
                   QueueingPolicy aPolicy,
                   Millis aCallerTimeout)
    : mTokensPerMilli(aTokensPerMilli)
    , mPolicy(aPolicy)
    , mCallerTimeout(aCallerTimeout)
  {
  }

  void Play(std::vector<SimulatedRequest>& aRequests)
  {
    Millis now{ 0 };
    std::size_t next = 0;
    std::vector<SimulatedRequest*> waiting;
    while (next < aRequests.size() || !waiting.empty()) {
      if (waiting.empty()) {
        now = std::max(now, aRequests[next].mArrival);
      }
      while (next < aRequests.size() && aRequests[next].mArrival <= now) {
        auto& request = aRequests[next++];
        if (Send(request)) {
          waiting.push_back(&request);
        }
      }
      GiveUp(waiting, now);
      if (!waiting.empty()) {
        now += ProcessOne(waiting, now);
      }
    }
  }

private:
  /// Returns whether the request was queued.
  bool Send(SimulatedRequest& aRequest)
  {
    aRequest.mTokensAhead = mWaiting.AheadOf(aRequest.mUrgency);
    const auto expected =
      mRate.TimeOf(aRequest.mTokensAhead + aRequest.mTokens);
    aRequest.mSentUrgency =
      mPolicy == QueueingPolicy::kByRouteUrgency
        ? aRequest.mUrgency
        : EffectiveUrgency(
            { Millis(0), expected, aRequest.mObjective, aRequest.mUrgency },
            mSettings);
    aRequest.mIsRefused =
      mPolicy == QueueingPolicy::kByObjectiveRejecting && aRequest.IsBehind() &&
      mLate.IsStalled(aRequest.SentAt(), aRequest.mObjective);
    if (aRequest.mIsRefused) {
      return false;
    }
    mWaiting.Add(aRequest.mSentUrgency, aRequest.mTokens);
    if (aRequest.IsBehind()) {
      mLate.Add(aRequest.SentAt());
    }
    return true;
  }

  /// Removes a request that no longer waits.
  void RemoveFromQueue(const SimulatedRequest& aRequest)
  {
    mWaiting.Remove(aRequest.mSentUrgency, aRequest.mTokens);
    if (aRequest.IsBehind()) {
      mLate.Remove(aRequest.SentAt());
    }
  }

  void GiveUp(std::vector<SimulatedRequest*>& aWaiting, Millis aNow)
  {
    std::erase_if(aWaiting, [&](const SimulatedRequest* aRequest) {
      const bool isGone = aNow - aRequest->mArrival > mCallerTimeout;
      if (isGone) {
        RemoveFromQueue(*aRequest);
      }
      return isGone;
    });
  }

  Millis ProcessOne(std::vector<SimulatedRequest*>& aWaiting, Millis aNow)
  {
    const auto best =
      std::min_element(aWaiting.begin(),
                       aWaiting.end(),
                       [](const auto* aLeft, const auto* aRight) {
                         return aLeft->mSentUrgency < aRight->mSentUrgency;
                       });
    auto& request = **best;
    aWaiting.erase(best);
    const Millis duration(static_cast<std::int64_t>(
      static_cast<double>(request.mTokens) / mTokensPerMilli));
    request.mFirst = aNow + duration;
    RemoveFromQueue(request);
    if (request.mSentUrgency == request.mUrgency) {
      mRate.Note(request.mTokensAhead + request.mTokens,
                 *request.mFirst - request.mArrival);
    }
    return duration;
  }

  double mTokensPerMilli;
  QueueingPolicy mPolicy;
  Millis mCallerTimeout;
  FirstTokenSettings mSettings;
  PrefillRate mRate{ mSettings };
  WaitingTokens mWaiting;
  LateRequests mLate;
};

} // namespace shuntjunction::state
