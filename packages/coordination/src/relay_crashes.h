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

/// A request that is being served.
struct RunningRequest
{
  std::function<void()> mEnd; ///< ends it
  /// Where its latest attempt runs, see RelayEndpoint::mNameHash; 0: nowhere.
  std::uint64_t mEndpoint = 0;
  state::TimePoint mSentAt; ///< of that attempt
};

/// Remembers crashes under this relay's requests and those of the other relays,
/// and refuses requests that crash every endpoint.
///
/// Endpoints that crash at the same moment may have been lost together, with
/// whatever ran there. If the same content ran at other endpoints before that
/// moment and still does, its quarantine is deferred: nothing more of it is
/// sent, and the runs go on until one of them completes, which clears the
/// content, or a further endpoint crashes.
/// A caller that asks three relays in turn shows each only a third of the
/// crashes, so each crash is reported to all relays through companions. A
/// quarantine is also recorded in the platform's store, which outlives all
/// processes.
/// Thread safety: none; used on the relay's thread.
class RelayCrashes
{
public:
  using Running = std::multimap<state::RequestDigest, RunningRequest>;

  /// @param aDependencies  outlive this object, as do their members
  explicit RelayCrashes(const RelayDependencies& aDependencies);

  /// Adds a running request; aEnd is called if it is quarantined meanwhile.
  Running::iterator Begin(const state::RequestDigest& aRequest,
                          std::function<void()> aEnd);
  void End(Running::iterator aRunning) { mRunning.erase(aRunning); }

  /// Records that an endpoint crashed while a request of this relay ran there.
  ///
  /// @param aAt  when the run was lost
  void NoteCrash(const state::RequestDigest& aRequest,
                 const RelayEndpoint& aEndpoint,
                 state::TimePoint aAt);

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
    mTracker.Clear(aRequest, Now());
  }

  /// How long a request is refused from now on; zero if it may run.
  state::Millis QuarantineLeft(const state::RequestDigest& aRequest) const;

  /// Whether the quarantine of a request is deferred; nothing more of it may be
  /// sent meanwhile.
  bool IsDeferred(const state::RequestDigest& aRequest) const
  {
    return mDeferred.contains(aRequest);
  }

  /// Number of known crashes under a request.
  int Crashes(const state::RequestDigest& aRequest) const;

  void SetGauges();

private:
  /// A quarantine that waits for the runs which may disprove it.
  struct Deferral
  {
    state::TimePoint mMoment; ///< of the first crash
    state::TimePoint mUntil;
    std::string mSource;              ///< of the quarantine, as BeginQuarantine
    std::set<std::uint64_t> mCrashed; ///< endpoints
  };

  /// Quarantines a request, unless runs of it may still disprove that.
  void Judge(const state::RequestDigest& aRequest, std::string_view aSource);
  /// Adds a further crash to a deferred quarantine.
  void NoteFurtherCrash(const state::CrashReport& aReport,
                        state::TimePoint aAt);
  /// Whether a request runs at an endpoint that did not crash, since before the
  /// others did.
  bool RunsUnharmed(const state::RequestDigest& aRequest,
                    const Deferral& aDeferral) const;
  /// Decides a deferred quarantine once its runs show its cause.
  transport::Task<void> AwaitRuns(state::RequestDigest aRequest);
  /// Ends a deferral without a quarantine.
  void Dismiss(const state::RequestDigest& aRequest, std::string_view aReason);
  /// Deletes the quarantine of a request that completed from the store.
  void DeleteStored(const state::RequestDigest& aRequest);
  /// Refuses a request from now on and ends those of its copies that run.
  void BeginQuarantine(const state::RequestDigest& aRequest,
                       std::string_view aSource);
  /// Queues a report for the other relays; reports of the same moment are sent
  /// together.
  ///
  /// @param aAt  when the endpoint crashed
  void QueueReport(const state::CrashReport& aReport,
                   state::TimePoint aAt,
                   bool aIsCleared);
  transport::Task<void> FlushSoon();
  state::TimePoint Now() const { return mDependencies.mClock.Now(); }

  const RelayDependencies& mDependencies;
  state::CrashTracker mTracker;
  Running mRunning;
  std::map<state::RequestDigest, Deferral> mDeferred;
  /// Requests under which this relay itself saw a crash since they were
  /// cleared.
  std::set<state::RequestDigest> mOwnCrashes;
  QuarantinedRequests mStoredQuarantines; ///< last state in the store
  /// Requests whose quarantine this relay recorded there.
  std::set<state::RequestDigest> mOwnQuarantines;
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
