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

/// The entry instance: callers' requests in, answers out.
namespace shuntjunction::coordination {

/// How an endpoint was ranked for a prompt, for operators.
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

/// Authenticates, limits, places, carries and answers requests.
///
/// Thread safety: none; lives on the traffic thread.
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

  /// Starts the timer that looks after links.
  void Start();

  /// Takes a configuration and a list of instances that came into force.
  void ApplyConfig(PublishedConfig aConfig);

  /// Whether a configuration and an endpoint are known.
  bool IsReady() const;

  /// Requests that are being answered.
  std::size_t Active() const { return mActive; }

  /// Brings the gauges up to date.
  void UpdateGauges();

  /// Asks the candidates for a call and says which would be chosen and why.
  transport::Task<state::Result<std::vector<Explanation>>>
  Explain(std::string aTeam, state::RequestKind aKind, std::string aBody);

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

private:
  friend class RequestRun;
  struct Probed;
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
  transport::Task<std::vector<Probed>> ProbeAll(
    state::ChoiceQuery aQuery,
    state::Priority aPriority,
    std::vector<state::EndpointHandle> aCandidates);
  std::int64_t CostMicros(const Probed& aProbed,
                          const state::ChoiceQuery& aQuery) const;
  std::optional<Probed> Cheapest(const std::vector<Probed>& aProbed,
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
  std::uint64_t mHeardVersion = 0;
  std::size_t mActive = 0;
};

} // namespace shuntjunction::coordination
