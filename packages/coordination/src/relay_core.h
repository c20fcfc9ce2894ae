#pragma once

// Private to coordination: the state that a relay shares with its sessions and
// runs.

#include <set>

#include "caller_acceptor.h"
#include "relay_crashes.h"
#include "relay_endpoint.h"
#include "relay_notices.h"
#include "relay_part_crashes.h"
#include "relay_rates.h"
#include "relay_retry_budgets.h"
#include "relay_shares.h"
#include "relay_weights.h"
#include "rollout/relay_rollouts.h"
#include "streams/relay_streams.h"
#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/state/descriptor_budget.h"
#include "shuntjunction/state/first_token.h"
#include "shuntjunction/state/limit_shares.h"
#include "shuntjunction/state/overload_guard.h"
#include "shuntjunction/state/part_record_table.h"

namespace shuntjunction::coordination {

class RelaySession;

/// Component name of a relay in log lines.
inline constexpr std::string_view kRelayComponent = "relay";

/// Times and sizes of a relay that its operators can't set.
struct RelayLimits
{
  /// Margin by which a confirmation of the keys must be younger than allowed:
  /// covers the time in which a request reaches its endpoint.
  state::Millis mFreshnessMargin{ 300 };
  /// A connection that was idle for longer is not used for a request that may
  /// run only once: its endpoint may close it at that moment.
  state::Millis mOnceMaxIdle{ 1000 };
  /// Time within which a process that just started has its configuration.
  state::Millis mConfigWait{ 120 };
  /// Share of the latency objective for which a request may wait for an
  /// endpoint to become available; a caller can still retry in time after it.
  double mWaitShare = 0.2;
  /// Answers up to this size are read completely before any of it is forwarded.
  std::size_t mMaxBufferedAnswer = 64UL * 1024;
  /// Longest event of a stream, which is forwarded as a whole.
  std::size_t mMaxEventBytes = 1024UL * 1024;
  /// Bytes read ahead on a connection: no less than a response's longest
  /// element, which is parsed as a whole.
  std::size_t mReadAhead = transport::RelayResponseReader::kMaxElementBytes;
  /// Memory that an open connection of a caller may need, including a request
  /// of common size and the connection to its endpoint.
  std::int64_t mBytesPerSession = 64L * 1024;
  /// The same without the request's body.
  std::int64_t mSessionBytes = 32L * 1024;
  /// Maximum number of prompt parts that are remembered.
  std::size_t mMaxParts = 4096;
  /// Longest time after which companions report a part that was prefilled.
  state::Millis mNewsDelay{ 1000 };
  /// Longest wait for another request that prefills the same part.
  state::Millis mPartWait{ 350 };
  /// Margin before the operator's bound within which older weights get no
  /// requests.
  state::Millis mWeightsMargin{ 1500 };
  /// Time after an engine's turn to load its weights after which it is used
  /// again if it still has not loaded them.
  state::Millis mLoadTimeout{ 2500 };
  /// Time within which a restart becomes known, from the list or from the
  /// companion.
  state::Millis mRestartDetection{ 10000 };
  /// Maximum number of broken requests that are remembered for one endpoint.
  std::size_t mMaxBrokenRequests = 64;
  state::FirstTokenSettings mFirstToken;
};

/// A relay's state.
struct Relay::Core : public std::enable_shared_from_this<Relay::Core>
{
  explicit Core(const RelayDependencies& aDependencies);

  /// Whether keys may still be accepted as valid.
  bool AreKeysFresh() const;

  /// Hands a caller's connection to the traffic thread; may be called from any
  /// thread.
  void PostCaller(AcceptedCaller aCaller);

  /// Closes connections on which no request has begun.
  void CloseIdleSessions();

  /// Ends requests because the process exits, see RelaySession::EndRequest.
  void EndRequests(bool aOnlyUnsent);

  /// Applies the number of relays that a companion reports; a smaller one than
  /// before changes nothing.
  void UpdateRelayCount(std::uint32_t aRelays);

  /// Handles the restart of an endpoint: what was prefilled or queued there
  /// before no longer counts.
  void NoteRestart(RelayEndpoint& aEndpoint);

  /// Records that an endpoint crashed under the requests whose connections to
  /// it broke recently.
  void NoteCrashOfBrokenRequests(RelayEndpoint& aEndpoint);

  /// Makes room for one more connection to an endpoint, if need be by closing
  /// the one that was idle the longest; returns whether there is room.
  bool MakeRoomForEndpoint();

  /// Adapts to the number of companions that are followed, and to how many
  /// relays follow each.
  ///
  /// @param aZoneByHost  of all companions
  void NoteCompanions(const std::map<std::string, std::string>& aZoneByHost);

  /// Number of relays as far as companions reported it; at least one.
  double Relays() const
  {
    return std::max<double>(mMaxRelays, 1.0) * mRelayCountFactor;
  }

  RelayDependencies mDependencies;
  ViewFreshness mFreshness; ///< of mView
  RelayLimits mLimits;
  state::DescriptorBudget mDescriptors;
  RelayEndpoints mEndpoints;
  RelayCrashes mCrashes;
  RelayPartCrashes mPartCrashes;
  RelayShares mShares;
  RelayRates mRates;
  RelayRetryBudgets mRetryBudgets;
  RelayNotices mNotices;
  RelayRollouts mRollouts;
  RelayStreams mStreams;
  RelayWeights mWeights;
  state::PartRecordTable mPartRecords;
  state::PrefillRate mPrefillRate;
  state::OverloadGuard mGuard;
  std::uint32_t mMaxRelays = 0; ///< most that a companion reported; 0: none did
  /// In a large fleet a companion is followed by the relays of its zone at
  /// most, as those that watch the store for it are; in a fleet of several
  /// regions by those of its region.
  double mRelayCountFactor = 1;
  std::shared_ptr<const RelayView> mView = std::make_shared<RelayView>();
  state::RandomSource mRandom;
  state::MemoryBudget mMemory;
  std::unique_ptr<CallerAcceptor> mAcceptor;
  std::set<RelaySession*> mSessions;
  std::size_t mActive = 0;           ///< requests that are being served
  std::int64_t mEngineRuns = 0;      ///< requests of this relay at engines
  std::int64_t mEngineRunTokens = 0; ///< prompt tokens of these
  std::size_t mBodyBytes = 0;        ///< size of the bodies of these requests
  bool mIsStopping = false;          ///< unready, still serving
  bool mIsRefusing = false;          ///< new requests are refused
};

} // namespace shuntjunction::coordination
