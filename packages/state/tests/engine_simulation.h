#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "shuntjunction/state/first_token.h"
#include "shuntjunction/state/late_requests.h"
#include "shuntjunction/state/waiting_tokens.h"

/// An engine in virtual time, and callers who ask it by the real decisions.
namespace shuntjunction::state {

/// A request as the model plays it.
struct SimulatedRequest
{
  Millis mArrival{ 0 };
  std::int64_t mTokens = 0;
  Millis mObjective{ 0 };
  int mUrgency = 1;               ///< of its route
  int mSentUrgency = 0;           ///< as the decision made it
  std::int64_t mAhead = 0;        ///< tokens that waited before it when sent
  std::optional<Millis> mFirst{}; ///< when its first token came
  bool mIsRefused = false;        ///< at once, when it came

  bool IsInTime() const { return mFirst && *mFirst - mArrival <= mObjective; }

  /// Whether its caller waited as long as it could, and got nothing.
  bool IsAbandoned() const { return !mFirst && !mIsRefused; }

  bool IsBehind() const { return mSentUrgency > mUrgency; }
  TimePoint SentAt() const { return TimePoint(mArrival); }
};

/// How requests are handed to the engine.
enum class QueueingPolicy : std::uint8_t
{
  kByRouteUrgency,       ///< by the route's urgency alone
  kByObjective,          ///< by EffectiveUrgency
  kByObjectiveRejecting, ///< the same, and LateRequests says which are refused
};

/// Plays requests, sorted by arrival, against an engine that reads one prompt
/// after the other: the most urgent first, of equals the one that came first.
/// Callers give up after their patience.
class EngineSimulation
{
public:
  EngineSimulation(double aTokensPerMilli,
                   QueueingPolicy aOrder,
                   Millis aPatience)
    : mReads(aTokensPerMilli)
    , mOrder(aOrder)
    , mPatience(aPatience)
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
        now += ReadOne(waiting, now);
      }
    }
  }

private:
  /// Whether it waits from now on.
  bool Send(SimulatedRequest& aRequest)
  {
    aRequest.mAhead = mWaiting.AheadOf(aRequest.mUrgency);
    const auto expected = mRate.TimeOf(aRequest.mAhead + aRequest.mTokens);
    aRequest.mSentUrgency =
      mOrder == QueueingPolicy::kByRouteUrgency
        ? aRequest.mUrgency
        : EffectiveUrgency(
            { Millis(0), expected, aRequest.mObjective, aRequest.mUrgency },
            mSettings);
    aRequest.mIsRefused =
      mOrder == QueueingPolicy::kByObjectiveRejecting && aRequest.IsBehind() &&
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

  /// It waits no more.
  void Leave(const SimulatedRequest& aRequest)
  {
    mWaiting.Remove(aRequest.mSentUrgency, aRequest.mTokens);
    if (aRequest.IsBehind()) {
      mLate.Remove(aRequest.SentAt());
    }
  }

  void GiveUp(std::vector<SimulatedRequest*>& aWaiting, Millis aNow)
  {
    std::erase_if(aWaiting, [&](const SimulatedRequest* aRequest) {
      const bool isGone = aNow - aRequest->mArrival > mPatience;
      if (isGone) {
        Leave(*aRequest);
      }
      return isGone;
    });
  }

  Millis ReadOne(std::vector<SimulatedRequest*>& aWaiting, Millis aNow)
  {
    const auto best = std::min_element(
      aWaiting.begin(), aWaiting.end(), [](const auto* aOne, const auto* aTwo) {
        return aOne->mSentUrgency < aTwo->mSentUrgency;
      });
    auto& request = **best;
    aWaiting.erase(best);
    const Millis took(
      static_cast<std::int64_t>(static_cast<double>(request.mTokens) / mReads));
    request.mFirst = aNow + took;
    Leave(request);
    if (request.mSentUrgency == request.mUrgency) {
      mRate.Note(request.mAhead + request.mTokens,
                 *request.mFirst - request.mArrival);
    }
    return took;
  }

  double mReads;
  QueueingPolicy mOrder;
  Millis mPatience;
  FirstTokenSettings mSettings;
  PrefillRate mRate{ mSettings };
  WaitingTokens mWaiting;
  LateRequests mLate;
};

} // namespace shuntjunction::state
