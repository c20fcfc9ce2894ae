#pragma once

// Private to coordination: shared parts of prompts under which endpoints crash,
// as a relay knows them.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "relay_crashes.h"
#include "relay_endpoint.h"
#include "request_parts.h"
#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/state/part_crash_tracker.h"

namespace shuntjunction::coordination {

/// Remembers crashes under shared parts of this relay's requests and of those
/// of the other relays, and decides when requests with a part may be sent.
///
/// Thread safety: none; used on the relay's thread.
class RelayPartCrashes
{
public:
  /// Requests that are not past the beginning of their answer, by part, each
  /// with the callback that ends it.
  using Waiting = std::multimap<state::RequestDigest, std::function<void()>>;

  /// @param aDependencies  outlive this object, as do their members
  /// @param aCrashes  outlives this object; holds quarantines that were stored
  RelayPartCrashes(const RelayDependencies& aDependencies,
                   RelayCrashes& aCrashes);

  /// Highest suspicion among the parts of a request.
  state::PartSuspicion SuspicionOf(const RequestParts& aParts) const;

  /// How long requests with such parts are refused; zero if they may run.
  state::Millis QuarantineLeft(const RequestParts& aParts) const;

  /// Adds a request whose end is requested when one of its parts is refused.
  std::vector<Waiting::iterator> Begin(const RequestParts& aParts,
                                       const std::function<void()>& aEnd);
  void End(std::vector<Waiting::iterator>& aWaiting);

  /// Acquires this relay's trial, one at a time for all restricted parts, if
  /// any of these is: engines that crash under several at once show nothing.
  ///
  /// @param aRelays  number of relays
  /// @param aDraw  uniform in [0, 1)
  /// @return the restricted parts; empty if the request may not be sent now
  std::optional<std::vector<state::RequestDigest>>
  AcquireTrials(const RequestParts& aParts, std::size_t aRelays, double aDraw);
  void ReleaseTrials(std::vector<state::RequestDigest>& aTrials);

  /// Records that an endpoint crashed when it was about to answer a request.
  ///
  /// @param aIsTrial  it was sent while one of its parts was suspected
  /// @param aAt  when its connection broke
  void NoteCrash(const RequestParts& aParts,
                 const RelayEndpoint& aEndpoint,
                 bool aIsTrial,
                 state::TimePoint aAt);

  /// Records that an answer got past its beginning, which clears its parts.
  void NoteAnswered(const RequestParts& aParts);

  /// Applies other relays' reports.
  void ApplyReports(const protocol::CrashReports& aReports);

  /// Forgets what is refused under a digest: an operator released it.
  void Release(const state::RequestDigest& aDigest);

  void SetGauges();

private:
  void Apply(const state::PartChanges& aChanges, std::string_view aSource);
  /// Ends a quarantine that the tracker does not hold any more, also as the
  /// store brought it.
  void EndQuarantine(const state::RequestDigest& aPart);
  /// Begins the quarantine of a part once its verdict holds.
  transport::Task<void> BeginQuarantine(state::RequestDigest aPart,
                                        std::string aSource);
  /// Records a quarantine in the store once it has stood for a while.
  transport::Task<void> StoreSoon(state::RequestDigest aPart);
  void QueueReport(protocol::PartCrashUpdate aUpdate);
  transport::Task<void> FlushSoon();
  state::TimePoint Now() const { return mDependencies.mClock.Now(); }

  const RelayDependencies& mDependencies;
  RelayCrashes& mCrashes;
  state::PartCrashTracker mTracker;
  /// Digests under which parts are refused, by part.
  std::map<state::RequestDigest, state::RequestDigest> mRefused;
  Waiting mWaiting;
  /// Earliest times of this relay's next trials, by restricted part.
  std::map<state::RequestDigest, state::TimePoint> mNextTrials;
  bool mIsTrialRunning = false;
  /// Parts under which this relay itself saw a crash.
  std::set<state::RequestDigest> mOwnCrashes;
  /// Reports that wait to be sent, by the endpoint that crashed.
  std::map<std::uint64_t, protocol::CrashReports> mPendingReports;
};

} // namespace shuntjunction::coordination
