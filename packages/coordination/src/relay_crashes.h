#pragma once

// Private to coordination: requests under which endpoints crash, as a relay
// knows them.

#include <functional>
#include <map>
#include <set>

#include "relay_endpoint.h"
#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/state/crash_tracker.h"

namespace shuntjunction::coordination {

/// Remembers crashes under this relay's requests and those of the other relays,
/// and refuses requests that crash every endpoint.
///
/// A caller that asks three relays in turn shows each only a third of the
/// crashes, so each crash is reported to all relays through companions. A
/// quarantine is also recorded in the platform's store, which outlives all
/// processes.
/// Thread safety: none; used on the relay's thread.
class RelayCrashes
{
public:
  /// Running requests, each with the callback that ends it.
  using Running = std::multimap<state::RequestDigest, std::function<void()>>;

  /// @param aDependencies  outlive this object, as do their members
  explicit RelayCrashes(const RelayDependencies& aDependencies);

  /// Adds a running request; aEnd is called if it is quarantined meanwhile.
  Running::iterator Begin(const state::RequestDigest& aRequest,
                          std::function<void()> aEnd);
  void End(Running::iterator aRunning) { mRunning.erase(aRunning); }

  /// Records that an endpoint crashed while a request of this relay ran there.
  void NoteCrash(const state::RequestDigest& aRequest,
                 const RelayEndpoint& aEndpoint);

  /// Records that a request completed, which clears it of suspicion.
  void NoteCompleted(const state::RequestDigest& aRequest);

  /// Applies other relays' crash reports.
  void ApplyReports(const protocol::CrashReports& aReports);

  /// Applies the quarantined requests in the platform's store; one that is no
  /// longer there was released by an operator.
  ///
  /// @return the released ones
  std::vector<state::RequestDigest> ApplyQuarantined(
    const QuarantinedRequests& aQuarantined);

  /// Ends the quarantine of a digest at this relay.
  void Forget(const state::RequestDigest& aRequest)
  {
    mTracker.Clear(aRequest);
  }

  /// How long a request is refused from now on; zero if it may run.
  state::Millis QuarantineLeft(const state::RequestDigest& aRequest) const;

  /// Number of known crashes under a request.
  int Crashes(const state::RequestDigest& aRequest) const;

  void SetGauges();

private:
  /// Refuses a request from now on and ends those of its copies that run.
  void BeginQuarantine(const state::RequestDigest& aRequest,
                       std::string_view aSource);
  /// Queues a report for the other relays; reports of the same moment are sent
  /// together.
  void QueueReport(const state::CrashReport& aReport, bool aIsCleared);
  transport::Task<void> FlushSoon();
  state::TimePoint Now() const { return mDependencies.mClock.Now(); }

  const RelayDependencies& mDependencies;
  state::CrashTracker mTracker;
  Running mRunning;
  /// Requests under which this relay itself saw a crash since they were
  /// cleared.
  std::set<state::RequestDigest> mOwnCrashes;
  QuarantinedRequests mStoredQuarantines; ///< last state in the store
  /// Reports that wait to be sent, by the endpoint that crashed.
  std::map<std::uint64_t, protocol::CrashReports> mPendingReports;
};

/// Whether an endpoint crashed to which a connection broke just now.
///
/// A connection may break for many reasons. The endpoint is taken to have
/// crashed if nothing listens at its address any more; this is checked once for
/// all requests whose connections broke together.
transport::Task<bool>
HasCrashed(std::shared_ptr<Relay::Core> aCore, RelayEndpointPtr aEndpoint);

/// Whether nothing listens at an endpoint's address any more; checked at this
/// moment, also for one that drains.
///
/// @return false when the check had no result in time
transport::Task<bool>
HasEnded(std::shared_ptr<Relay::Core> aCore, RelayEndpointPtr aEndpoint);

} // namespace shuntjunction::coordination
