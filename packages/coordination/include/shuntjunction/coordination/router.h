#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "shuntjunction/coordination/chat_api.h"
#include "shuntjunction/coordination/config_feed.h"
#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/peer_link.h"
#include "shuntjunction/state/endpoint_chooser.h"
#include "shuntjunction/state/endpoint_table.h"
#include "shuntjunction/state/retry_budget.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/state/team_limiter.h"
#include "shuntjunction/transport/http_server.h"

/// The router: serves callers' requests by forwarding them to endpoints.
namespace shuntjunction::coordination {

/// How an endpoint was rated for a prompt; for operators.
struct Explanation
{
  std::string mEndpoint;
  std::string mZone;
  std::string mHealth;
  bool mIsCandidate = false;
  bool mHasReplied = false;
  bool mIsChosen = false;
  std::uint32_t mCachedBlocks = 0;
  std::uint64_t mWaitMicros = 0;
  std::int64_t mCostMicros = 0;
};

/// Authenticates, rate-limits and routes requests, and streams their responses.
///
/// Thread safety: none; used on the traffic thread.
class Router final
  : public transport::HttpHandler
  , public LinkListener
{
public:
  /// @param aSettings, aClock, aMetrics  outlive the router
  Router(boost::asio::io_context& aContext,
         const state::Settings& aSettings,
         const state::Clock& aClock,
         Metrics& aMetrics,
         PeerSnapshotHandler aOnPeerSnapshot);
  ~Router() override;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Starts the periodic maintenance of links.
  void Start();

  /// Applies a new configuration and list of instances.
  void ApplyConfig(PublishedConfig aConfig);

  /// Whether a configuration and at least one endpoint are known.
  bool IsReady() const;

  /// Number of requests in progress.
  std::size_t Active() const { return mActive; }

  /// Updates the gauges.
  void UpdateGauges();

  /// Probes the candidates for a request and reports how each was rated.
  transport::Task<state::Result<std::vector<Explanation>>>
  Explain(std::string aTeam, state::RequestKind aKind, std::string aBody);

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

private:
  friend class RequestRun;
  struct ProbeResult;
  struct ProbeRound;

  void OnPeerVersion(const std::string& aEndpoint,
                     std::uint64_t aVersion) override;
  void OnPeerLeaving(const std::string& aEndpoint) override;
  void OnPeerOpen(const std::string& aEndpoint) override;
  void OnPeerSnapshot(const std::string& aEndpoint,
                      protocol::SnapshotReply aReply) override;
  protocol::SnapshotReply Snapshot(
    const protocol::SnapshotRequest& aHave) override;

  transport::Task<void> TickLinks();
  std::shared_ptr<PeerLink> Link(state::EndpointHandle aHandle);
  transport::Task<void> SendProbe(std::shared_ptr<ProbeRound> aRound,
                                  std::size_t aIndex,
                                  protocol::Probe aProbe);
  transport::Task<std::vector<ProbeResult>> ProbeAll(
    state::ChoiceQuery aQuery,
    state::Priority aPriority,
    std::vector<state::EndpointHandle> aCandidates);
  std::int64_t CostMicros(const ProbeResult& aProbed,
                          const state::ChoiceQuery& aQuery) const;
  std::optional<ProbeResult> Cheapest(const std::vector<ProbeResult>& aProbed,
                                      const state::ChoiceQuery& aQuery) const;
  transport::Task<state::EndpointHandle> Choose(
    state::ChoiceQuery aQuery,
    state::Priority aPriority,
    std::vector<state::EndpointHandle> aExcluded);
  std::uint32_t WeightsOf(const std::string& aModel) const;

  boost::asio::io_context& mContext;
  const state::Settings& mSettings;
  const state::Clock& mClock;
  Metrics& mMetrics;
  PeerSnapshotHandler mOnPeerSnapshot;
  Log mLog;
  PublishedConfig mConfig;
  std::size_t mRouters = 1;
  state::RandomSource mRandom;
  state::EndpointTable mTable;
  std::unique_ptr<state::EndpointChooser> mChooser;
  state::TeamLimiter mLimiter;
  state::RetryBudget mRetries;
  transport::ChannelCounters mChannelCounters;
  std::unordered_map<std::string, std::shared_ptr<PeerLink>> mLinks;
  std::uint64_t mNewestPeerVersion = 0;
  std::size_t mActive = 0;
};

} // namespace shuntjunction::coordination
