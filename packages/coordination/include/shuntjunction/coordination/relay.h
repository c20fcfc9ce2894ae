#pragma once

#include <functional>
#include <memory>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/relay_codec.h"
#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/coordination/relay_settings.h"
#include "shuntjunction/protocol/messages.h"

/// Takes callers' requests and passes each on to an endpoint of its route.
namespace shuntjunction::coordination {

/// What a relay is built from; all parts outlive it.
struct RelayDependencies
{
  transport::asio::io_context& mContext;
  const FleetSettings& mSettings;
  const RelayCodec& mCodec;
  const state::Clock& mClock;
  const state::Freshness& mConfigConfirmed;
  const state::ListFreshness& mEndpointList;
  EventLog& mLog;
  Metrics& mMetrics;
  /// Tells the other relays of a part that the engine of an address reads;
  /// empty: they are not told.
  std::function<void(const std::string&, const protocol::PartReading&)>
    mSendPartReading = {};
  /// Tells what of this relay waits at the engine of an address, and a part of
  /// which it wants news, if any; empty: it is not told.
  std::function<
    void(const std::string&, const state::WaitingTokens&, const std::string&)>
    mReportWaiting = {};
  /// Tells the other relays of crashes of an endpoint, which the number names;
  /// empty: they are not told.
  std::function<void(std::uint64_t, const protocol::CrashReports&)>
    mSendCrashReports = {};
  /// Asks the companion of a host for a part of a team's limit; empty: no
  /// companion can be asked, and teams with limits are refused.
  std::function<transport::Task<std::optional<state::ShareGrant>>(
    std::string,
    state::ShareAsk)>
    mRequestShare = {};
  /// Gives back to it what was not used.
  std::function<void(const std::string&, const protocol::LimitReturn&)>
    mReturnShare = {};
  /// Asks the companion of a host for a place at an endpoint that names a rate;
  /// empty: none can be asked, and such endpoints get nothing.
  std::function<transport::Task<std::optional<state::PlaceGrant>>(
    std::string,
    state::PlaceAsk)>
    mRequestPermit = {};
  /// Gives back to it a place whose request was not sent.
  std::function<void(const std::string&, state::LimitHash)> mReturnPermit = {};
  /// Reports to it what an endpoint's answer said of its rate.
  std::function<void(const std::string&, const state::RateReport&)>
    mReportRate = {};
  /// Keeps in the platform's store that a request is quarantined, and for how
  /// long; empty: it is not kept.
  std::function<void(const state::RequestDigest&, state::Millis)>
    mStoreQuarantine = {};
};

/// The relay of one process.
///
/// Thread safety: none; used on the thread of its context.
class Relay
{
public:
  explicit Relay(const RelayDependencies& aParts);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Begins to accept callers.
  state::Result<state::Address> Start();

  /// Takes a newer view of the platform's objects.
  void ApplyView(std::shared_ptr<const RelayView> aView);

  /// Takes what an engine's companion said.
  void ApplyNews(const protocol::EngineNews& aNews);

  /// Takes that the machine of a host ended its companion's connection.
  void HandleNewsConnectionEnd(const std::string& aHost);

  /// Takes what another relay told of a part.
  void ApplyPartReading(const protocol::PartReading& aReading);

  /// Takes what other relays saw of crashes.
  void ApplyCrashReports(const protocol::CrashReports& aReports);

  /// Takes what the keeper of an endpoint's rate tells all relays.
  void ApplyRateNews(const state::RateNews& aNews);

  /// Brings the gauges among the metrics up to date.
  void SetGauges();

  /// Whether the balancer may send connections here.
  bool IsReady() const;

  /// Begins a stop: unready at once, still serving.
  void BeginStop();

  /// Refuses new requests and closes connections that rest.
  void RefuseNew();

  /// Requests that are being served.
  std::size_t Active() const;

  /// Open connections of callers.
  std::size_t Connections() const;

  struct Core; ///< private to coordination

private:
  std::shared_ptr<Core> mCore;
};

} // namespace shuntjunction::coordination
