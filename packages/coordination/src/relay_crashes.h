#pragma once

// Private to coordination: what a relay knows of requests that endpoints crash
// under.

#include <functional>
#include <map>
#include <set>

#include "relay_endpoint.h"
#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/state/crash_tracker.h"

namespace shuntjunction::coordination {

/// Remembers crashes, of this relay's requests and of the others', and refuses
/// requests that crash every endpoint.
///
/// A relay alone sees a third of what a caller does who asks three of them, so
/// that each crash is told to all by way of companions. A quarantine is kept in
/// the platform's store too: it outlives all processes.
/// Thread safety: none; used on the relay's thread.
class RelayCrashes
{
public:
  /// Running requests, each with what ends it.
  using Running = std::multimap<state::RequestDigest, std::function<void()>>;

  /// @param aParts  outlive it, as their members do
  explicit RelayCrashes(const RelayDependencies& aParts);

  /// Adds a request that runs; aEnd is called if it is quarantined meanwhile.
  Running::iterator Begin(const state::RequestDigest& aRequest,
                          std::function<void()> aEnd);
  void End(Running::iterator aRunning) { mRunning.erase(aRunning); }

  /// Takes that an endpoint crashed while a request of this relay ran there.
  void Note(const state::RequestDigest& aRequest,
            const RelayEndpoint& aEndpoint);

  /// Takes that a request ended well: it is innocent.
  void NoteCompleted(const state::RequestDigest& aRequest);

  /// Takes what other relays saw.
  void Take(const protocol::CrashReports& aReports);

  /// Takes what the platform's store holds; what was there before and is gone
  /// was released by an operator.
  void ApplyQuarantined(const QuarantinedRequests& aQuarantined);

  /// How long a request is refused from now on; zero: it may run.
  state::Millis QuarantineLeft(const state::RequestDigest& aRequest) const;

  /// Crashes that are known under a request.
  int Crashes(const state::RequestDigest& aRequest) const;

  void SetGauges();

private:
  /// Refuses a request from now on and ends those of it that run.
  void BeginQuarantine(const state::RequestDigest& aRequest,
                       std::string_view aSource);
  /// Adds a word for the other relays; all of some moments go together.
  void Tell(const state::CrashReport& aReport, bool aIsCleared);
  transport::Task<void> FlushSoon();
  state::TimePoint Now() const { return mParts.mClock.Now(); }

  const RelayDependencies& mParts;
  state::CrashTracker mLedger;
  Running mRunning;
  /// Requests of which this relay saw a crash itself since they were cleared.
  std::set<state::RequestDigest> mSeen;
  QuarantinedRequests mStored; ///< as the store held them last
  /// Words that wait to be told, by the endpoint that crashed.
  std::map<std::uint64_t, protocol::CrashReports> mPendingReports;
};

/// Whether an endpoint crashed from which a connection broke off just now.
///
/// A connection alone may break for many causes. That nothing listens at its
/// address any more tells a crash from them; it is asked once for all requests
/// that broke off there together.
transport::Task<bool>
HasCrashed(std::shared_ptr<Relay::Core> aCore, RelayEndpointPtr aEndpoint);

} // namespace shuntjunction::coordination
