#pragma once

// Private to coordination: the choice of an endpoint for a relayed request.

#include "relay_core.h"

namespace shuntjunction::coordination {

/// What a choice needs to know of a request.
struct EndpointQuery
{
  std::string_view mService;
  const CallInfo* mCall = nullptr;
  std::string_view mIsolatedTeam; ///< empty: parts are shared
  const std::vector<std::string>* mTriedEndpoints = nullptr;
  int mUrgency = 0;              ///< of the team or the route
  state::Millis mElapsed{ 0 };   ///< since the request's arrival
  state::Millis mObjective{ 0 }; ///< to its first token, from then
  /// Hash of a request under which an endpoint crashed: it goes its own way,
  /// apart from those that ran beside it.
  std::optional<std::uint64_t> mCrashSuspectHash;
};

/// An endpoint, and how the request is handed to it.
struct EndpointChoice
{
  RelayEndpointPtr mEndpoint;
  std::uint64_t mWeights = 0; ///< 0 for a plain service
  std::string mSalt;
  std::string mPart;       ///< id of the shared part it is placed by, if any
  std::string mPartName;   ///< the same as PartName
  std::string mPartSource; ///< address
  std::string mPartStore;  ///< address to save to; empty: not
  bool mIsKept = false;    ///< the endpoint keeps the part, as far as is known
  std::int64_t mPrefillTokens = 0; ///< estimate
  int mUrgency = 0;                ///< by which the engine shall order it
  bool mIsCrashSuspect =
    false; ///< an endpoint crashed under the request before
  bool mIsDeprioritized =
    false;                  ///< expected late: behind those that can be in time
  state::TimePoint mSentAt; ///< set when it is sent
  // What was known when it was chosen, for the log.
  std::size_t mCandidates = 0;     ///< endpoints that were weighed
  std::int64_t mWaitingTokens = 0; ///< to be read there before the request's
  state::Millis mNewsAge{ -1 };    ///< of the companion's; -1: none fresh
  state::Millis mExpected{ 0 };    ///< from then to its first token
};

/// Chooses an endpoint; empty when none may take the request now.
std::optional<EndpointChoice>
ChooseEndpoint(Relay::Core& aCore, const EndpointQuery& aAsk);

/// Whether a request goes first where places are few.
inline bool
IsUrgent(int aUrgency)
{
  return aUrgency == 0;
}

/// A time in which no endpoint of a service takes a request, as the list and
/// the endpoints themselves report.
struct ServiceOutage
{
  /// Until an endpoint takes this request, which each gets once at the most.
  state::TimePoint mUntil = state::TimePoint::max();
  /// When an endpoint takes requests again at all; max: none is known to.
  state::TimePoint mReopensAt = state::TimePoint::max();
  /// What keeps requests away from that one; kNone: nothing does.
  state::Obstacle mObstacle = state::Obstacle::kDraining;
  double mPerSecond = 0; ///< of the endpoints that name rates
};

/// The outage of a request's service; empty: there is none, or no endpoint is
/// known.
std::optional<ServiceOutage>
OutageOf(Relay::Core& aCore, const EndpointQuery& aAsk);

/// Whether no endpoint of a service can be reached, as far as is known.
bool
IsServiceDown(Relay::Core& aCore, const std::string& aService);

} // namespace shuntjunction::coordination
