#pragma once

#include <functional>
#include <memory>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/memory_probe.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/relay_codec.h"
#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/coordination/relay_settings.h"
#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/rollout/rollout_evidence.h"
#include "shuntjunction/state/streams/version_history.h"

/// Accepts callers' requests and forwards each to an endpoint of its route.
namespace shuntjunction::coordination {

/// Dependencies of a relay; all of them outlive it.
struct RelayDependencies
{
  transport::asio::io_context& mContext;
  const FleetSettings& mSettings;
  const RelayCodec& mCodec;
  const state::Clock& mClock;
  EventLog& mLog;
  Metrics& mMetrics;
  /// Tells the other relays that the engine at an address prefills a part; if
  /// empty, they are not informed.
  std::function<void(const std::string&, const protocol::PartReading&)>
    mSendPartReading = {};
  /// Reports the tokens that this relay has queued at the engine at an address,
  /// and a part of which it wants updates, if any; if empty, nothing is
  /// reported.
  std::function<
    void(const std::string&, const state::WaitingTokens&, const std::string&)>
    mReportWaiting = {};
  /// Reports crashes of the endpoint with this number to the other relays; if
  /// empty, they are not informed.
  std::function<void(std::uint64_t, const protocol::CrashReports&)>
    mSendCrashReports = {};
  /// Requests a share of a team's limit from the companion of a host; if empty,
  /// no companion can be asked, and teams with limits are refused.
  std::function<transport::Task<std::optional<state::ShareGrant>>(
    std::string,
    state::ShareRequest)>
    mRequestShare = {};
  /// Returns to the companion what was not used.
  std::function<void(const std::string&, const protocol::LimitReturn&)>
    mReturnShare = {};
  /// Requests a permit from the companion of a host for an endpoint that
  /// advertises a rate; if empty, none can be asked, and such endpoints get no
  /// requests.
  std::function<transport::Task<std::optional<state::PlaceGrant>>(
    std::string,
    state::PlaceAsk)>
    mRequestPermit = {};
  /// Returns to the companion a permit whose request was not sent.
  std::function<void(const std::string&, state::LimitHash)> mReturnPermit = {};
  /// Reports to the companion the rate that an endpoint's answer advertised.
  std::function<void(const std::string&, const state::RateReport&)>
    mReportRate = {};
  /// Records in the platform's store that a request is quarantined, and for how
  /// long; if empty, it is not recorded.
  std::function<void(const state::RequestDigest&, state::Millis)>
    mStoreQuarantine = {};
  /// Reports what this relay observed of a roll-out to the companion of a host,
  /// which decides its steps; if empty, no roll-out proceeds.
  std::function<void(const std::string&, const state::RolloutReport&)>
    mReportRollout = {};
  /// Has the companion of a host hold the record of a stream; returns whether
  /// it does. If empty, only this relay knows where its streams began.
  std::function<transport::Task<bool>(std::string, state::StreamRecord)>
    mRecordStream = {};
  /// Asks the companion of a host what it knows of a stream; empty likewise.
  std::function<transport::Task<std::optional<state::OriginReply>>(
    std::string,
    protocol::StreamQuery)>
    mFindStream = {};
  /// Asks the companion of a host until when each version of a model's weights
  /// was the newest; if empty, a relay that starts after an announcement uses
  /// none of the older ones.
  std::function<transport::Task<std::optional<
    std::vector<state::WeightsConfirmation>>>(std::string, std::string)>
    mFindWeights = {};
  /// Measures this process's memory; null: only reservations bound it.
  MemoryProbe* mMemoryProbe = nullptr;
  /// Deletes a quarantine that this relay recorded in the platform's store, or
  /// that the store was seen to hold; if empty, it stays until it expires.
  std::function<void(const state::RequestDigest&)> mDeleteQuarantine = {};
};

/// The relay of one process.
///
/// Thread safety: none; used on the thread of its context.
class Relay
{
public:
  explicit Relay(const RelayDependencies& aDependencies);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Starts accepting callers.
  state::Result<state::Address> Start();

  /// Applies a newer view of the platform's objects.
  void ApplyView(std::shared_ptr<const RelayView> aView);

  /// Applies newer confirmations of the view that was applied last.
  void Confirm(const ViewFreshness& aFreshness);

  /// Applies the history of a service's software versions, as the store holds
  /// it.
  ///
  /// @pre  it was read after the list of the view that was applied last
  void ApplyVersionHistory(
    const std::string& aService,
    const std::optional<state::VersionHistory>& aHistory);

  /// Until when each version of a model's weights was the newest, as far as
  /// this relay knows.
  std::vector<state::WeightsConfirmation> ConfirmWeights(
    const std::string& aModel) const;

  /// Applies a status update of an engine's companion.
  void ApplyNews(const protocol::EngineNews& aNews);

  /// Handles that the machine of a host ended its companion's connection.
  void HandleNewsConnectionEnd(const std::string& aHost);

  /// Forgets what the companion of a host reported: it is not followed any
  /// more.
  void ForgetNews(const std::string& aHost);

  /// Applies another relay's report of a part.
  void ApplyPartReading(const protocol::PartReading& aReading);

  /// Applies other relays' crash reports.
  void ApplyCrashReports(const protocol::CrashReports& aReports);

  /// Applies the rate of an endpoint that its owner, a companion, sends to all
  /// relays.
  void ApplyRateNews(const state::RateNews& aNews);

  /// Applies a step of a roll-out that the companion which decided it reports.
  void ApplyRolloutNotice(const state::RolloutNotice& aNotice);

  /// Updates the gauges among the metrics.
  void SetGauges();

  /// Whether the load balancer may send connections here.
  bool IsReady() const;

  /// Begins to shut down: unready at once, still serving.
  void BeginStop();

  /// Refuses new requests and closes idle connections.
  void RefuseNew();

  /// Refuses the requests that run at no endpoint: those that would be sent
  /// from now on may not end in time.
  void EndUnsentRequests();

  /// Answers all requests whose answers have not begun, and cuts the others.
  void EndRequests();

  /// Number of requests being served.
  std::size_t Active() const;

  /// Number of open caller connections.
  std::size_t Connections() const;

  struct Core; ///< private to coordination

private:
  std::shared_ptr<Core> mCore;
};

} // namespace shuntjunction::coordination
