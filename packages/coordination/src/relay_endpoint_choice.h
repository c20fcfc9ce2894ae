#pragma once

// Private to coordination: the choice of an endpoint for a relayed request.

#include "relay_core.h"
#include "shuntjunction/state/stream_backup.h"

namespace shuntjunction::coordination {

/// Input of the choice of an endpoint for a request.
struct EndpointQuery
{
  std::string_view mService;
  const CallInfo* mCall = nullptr;
  std::string_view mIsolatedTeam; ///< empty: cached parts are shared
  const std::vector<std::string>* mTriedEndpoints = nullptr;
  int mUrgency = 0;              ///< of the team or the route
  state::Millis mElapsed{ 0 };   ///< since the request's arrival
  state::Millis mObjective{ 0 }; ///< from its arrival to its first token
  /// Hash of a request under which an endpoint crashed: it is placed apart from
  /// the requests that ran beside it.
  std::optional<std::uint64_t> mCrashSuspectHash;
  const VersionFilter* mVersions = nullptr; ///< null: all versions
  /// Software version that began the stream; empty: any may be chosen.
  std::optional<std::string_view> mSoftwareVersion;
};

/// Whether a request that is sent to an engine now may begin there on weights
/// that were superseded for too long.
///
/// @param aVersion  of the engine's weights
bool
IsOutdatedAtBegin(Relay::Core& aCore,
                  const RelayEndpoint& aEndpoint,
                  const CallInfo& aCall,
                  std::uint64_t aVersion);

/// A chosen endpoint, and how the request is forwarded to it.
struct EndpointChoice
{
  RelayEndpointPtr mEndpoint;
  std::uint64_t mWeights = 0; ///< 0 for a plain service
  std::string mSalt;
  /// Id of the shared part that decided the placement, if any.
  std::string mPart;
  std::string mPartName;   ///< the same as state::PartName gives it
  std::string mPartSource; ///< address to fetch the part from
  std::string mPartStore;  ///< address to save the part to; empty: not saved
  /// The endpoint has the part cached, as far as is known.
  bool mIsPartCached = false;
  std::int64_t mPrefillTokens = 0; ///< estimate
  int mUrgency = 0;                ///< by which the engine is to schedule it
  /// An endpoint crashed under the request before.
  bool mIsCrashSuspect = false;
  /// Expected late: queued behind requests that can be in time.
  bool mIsDeprioritized = false;
  /// Address of the engine that gets a copy of the run; empty: none does.
  std::string mCopyAddress;
  /// Address of the engine whose copy of the run is continued; empty: it begins
  /// anew.
  std::string mContinueFrom;
  state::TimePoint mSentAt; ///< set when it is sent
  // State at the time of the choice, for the log.
  std::uint64_t mNewestWeights = 0; ///< of the model, as far as is known
  /// As state::WeightsHistory::SupersededFor.
  std::optional<state::Millis> mSupersededFor;
  std::size_t mCandidates = 0; ///< endpoints that were considered
  /// Tokens to be prefilled there before the request's.
  std::int64_t mWaitingTokens = 0;
  /// Age of the companion's status; -1: none recent.
  state::Millis mNewsAge{ -1 };
  state::Millis mExpected{ 0 }; ///< from the choice to the first token
};

/// Chooses an endpoint; empty when none may take the request now.
std::optional<EndpointChoice>
ChooseEndpoint(Relay::Core& aCore, const EndpointQuery& aQuery);

/// Text that separates the cached parts of models, weights and isolated teams.
std::string
SaltOf(const EndpointQuery& aQuery, std::uint64_t aWeights);

/// Engines that may hold a copy of a run.
struct BackupCandidateList
{
  std::vector<state::BackupCandidate> mCandidates;
  std::vector<RelayEndpointPtr> mEndpoints; ///< in the same order
};

/// The engines that may hold a copy of a run at the chosen engine.
BackupCandidateList
BackupCandidates(Relay::Core& aCore,
                 const EndpointQuery& aQuery,
                 const EndpointChoice& aChoice);

/// Whether a request takes precedence where permits are scarce.
inline bool
IsUrgent(int aUrgency)
{
  return aUrgency == 0;
}

/// A period in which no endpoint of a service accepts a request, as the list
/// and the endpoints themselves report.
struct ServiceOutage
{
  /// When an endpoint accepts this request, which is sent to each at most once.
  state::TimePoint mUntil = state::TimePoint::max();
  /// When any endpoint accepts requests again; max: not known.
  state::TimePoint mReopensAt = state::TimePoint::max();
  /// The obstacle at that endpoint; kNone: there is none.
  state::Obstacle mObstacle = state::Obstacle::kDraining;
  double mPerSecond = 0; ///< sum over the endpoints that advertise rates
};

/// The outage of a request's service; empty if there is none, or if no endpoint
/// is known.
std::optional<ServiceOutage>
OutageOf(Relay::Core& aCore, const EndpointQuery& aQuery);

/// Whether all engines of a request's service are on weights that are too old
/// to be used, and no companion reports that newer ones are to be loaded.
bool
AreWeightsOutdated(Relay::Core& aCore, const EndpointQuery& aQuery);

/// Whether no endpoint of a service can be reached, as far as is known.
bool
IsServiceDown(Relay::Core& aCore, const std::string& aService);

} // namespace shuntjunction::coordination
