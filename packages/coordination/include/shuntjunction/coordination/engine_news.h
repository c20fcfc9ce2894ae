#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/followed_companions.h"
#include "shuntjunction/state/relay_config.h"
#include "shuntjunction/state/streams/stream_registry.h"
#include "shuntjunction/state/topology.h"
#include "shuntjunction/transport/frame_channel.h"

/// Status updates of engines, sent by the companion beside each to the relays.
namespace shuntjunction::coordination {

/// State of an engine as its companion reports it, without its cached parts.
struct EngineState
{
  std::string mEndpoint;
  std::string mModel;
  std::uint64_t mWeights = 0;
  protocol::EnginePhase mPhase = protocol::EnginePhase::kOpen;

  bool operator==(const EngineState&) const = default;
};

/// Holder of the cached prompt parts that are reported.
enum class PartHolder : std::uint8_t
{
  kEngine, ///< the engine beside the companion
  kStore,  ///< the part store, reported by a few companions
};

/// Returns until when each version of a model's weights was the newest, as far
/// as a process knows.
using WeightsQueryHandler =
  std::function<std::vector<state::WeightsConfirmation>(const std::string&)>;

/// Sends an engine's status to all connected relays and forwards what one of
/// them reports to the others.
///
/// Crash reports of relays are remembered for those that connect later: the
/// companion survives a crash of its engine.
///
/// Of the parts that the engine caches, only those that a relay asked for are
/// reported: the others belong to single requests, and nobody asks for them
/// again. Changes are sent at once; without any, the state is sent again each
/// second so that silence is noticed.
/// Thread safety: none; used on the thread of its context.
class EngineNewsServer
{
public:
  /// @param aClock  outlives the server, as does the log
  EngineNewsServer(transport::asio::io_context& aContext,
                   transport::ChannelIdentity aIdentity,
                   const state::Clock& aClock,
                   EventLog& aLog);
  ~EngineNewsServer();
  EngineNewsServer(const EngineNewsServer&) = delete;
  EngineNewsServer& operator=(const EngineNewsServer&) = delete;

  /// Lets relays request shares and permits from this companion.
  ///
  /// @param aShares  shares of teams' limits; outlives the server
  /// @param aLimits  rate limits of endpoints; outlives the server
  void SetLimits(state::LimitShares& aShares, state::EndpointLimits& aLimits);

  /// Lets relays have this companion hold records of streams.
  ///
  /// @param aStreams  outlives the server
  void SetStreams(state::StreamRegistry& aStreams);

  /// Sets what returns until when each version of a model's weights was the
  /// newest, for relays that ask. The question is passed on to some of the
  /// other relays.
  void OnWeightsQuery(WeightsQueryHandler aHandler);

  /// Sets the handler of their replies: a version of a model was still the
  /// newest at a time.
  void OnWeightsConfirmed(
    std::function<void(const std::string&, std::uint64_t, state::TimePoint)>
      aHandler);

  /// Sets the handler of relays' reports on roll-outs.
  void OnRolloutReport(
    std::function<void(const state::RolloutReport&)> aHandler);

  /// Sends a step of a roll-out to all connected relays that understand it.
  void PublishRollout(const state::RolloutNotice& aNotice);

  /// Starts accepting relays; returns the address with the port that the kernel
  /// assigned.
  state::Result<state::Address> Start(const state::Address& aAddress);

  /// Sets the engine's state.
  void SetState(const EngineState& aState);

  /// Sets whether the engine answers; while it does not, it is reported as
  /// down.
  void SetDown(bool aIsDown);

  /// Sets the engine's load, which the next update reports.
  void SetLoad(std::uint32_t aRunning, std::uint32_t aQueued);

  /// Sets the incarnation that the engine itself just reported; parts reported
  /// for another are forgotten.
  void SetIncarnation(state::EndpointIncarnation aIncarnation);

  /// Adds parts that a holder caches and removes those that it lost; reports of
  /// a former incarnation are ignored.
  void ChangeParts(PartHolder aHolder,
                   state::EndpointIncarnation aIncarnation,
                   const std::vector<std::string>& aGained,
                   const std::vector<std::string>& aLost);

  /// Forgets all parts of a holder.
  void ClearParts(PartHolder aHolder);

  /// Sets the address of the part store; if empty, the store is not reported.
  void SetStore(const std::string& aAddress);

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

/// Settings of an EngineNewsClient.
struct EngineNewsClientSettings
{
  std::uint16_t mPort = 0; ///< of the companions, the same on all machines
  std::string mZone;       ///< availability zone of this relay
  state::FollowSettings mFollow;
  /// In a fleet of several regions the companions of the own region are
  /// followed, and few of the others.
  state::Topology mTopology;
};

/// Receives the status of engines from their companions, in a large fleet only
/// of those that this relay uses: see state::FollowedCompanions.
///
/// What every relay must learn of, the crashes that requests cause, passes
/// through the companions that watch the store for an availability zone: each
/// relay follows those of its own zone, and reports to those of all zones.
/// Thread safety: none; used on the thread of its context.
class EngineNewsClient
{
public:
  using Handler = std::function<void(const protocol::EngineNews&)>;
  using PartReadingHandler = std::function<void(const protocol::PartReading&)>;
  using CrashReportsHandler =
    std::function<void(const protocol::CrashReports&)>;
  using RateNewsHandler = std::function<void(const state::RateNews&)>;
  using ConnectionEndHandler = std::function<void(const std::string&)>;
  using RolloutNoticeHandler = std::function<void(const state::RolloutNotice&)>;

  /// @param aOnNews  called with each status update
  /// @param aOnPartReading  called with other relays' reports of parts
  /// @param aOnCrashReports  called with other relays' crash reports
  /// @param aOnRateNews  called with companions' reports of endpoints' rates
  /// @param aOnConnectionEnd  called with the host of a companion whose
  ///              connection its machine ended; not after a silence timeout
  /// @param aOnUnfollowed  called with the host of a companion that is no
  /// longer
  ///              followed: what it reported is not kept up to date any more
  /// @param aOnRolloutNotice  called with companions' steps of roll-outs
  EngineNewsClient(transport::asio::io_context& aContext,
                   transport::ChannelIdentity aIdentity,
                   const EngineNewsClientSettings& aSettings,
                   EventLog& aLog,
                   Handler aOnNews,
                   PartReadingHandler aOnPartReading,
                   CrashReportsHandler aOnCrashReports,
                   RateNewsHandler aOnRateNews,
                   ConnectionEndHandler aOnConnectionEnd,
                   ConnectionEndHandler aOnUnfollowed,
                   RolloutNoticeHandler aOnRolloutNotice = {});
  ~EngineNewsClient();
  EngineNewsClient(const EngineNewsClient&) = delete;
  EngineNewsClient& operator=(const EngineNewsClient&) = delete;

  /// Number of companions that are connected.
  std::size_t Connected() const;

  /// Sets the endpoints whose engines may be followed.
  void Follow(const std::vector<state::EndpointInfo>& aEndpoints);

  /// Tells the other relays that an engine prefills a part; dropped while the
  /// engine's companion is unreachable.
  void SendPartReading(const std::string& aEndpointAddress,
                       const protocol::PartReading& aReading);

  /// Reports crashes to the other relays through companions that inform those
  /// that connect later, too: while all companions are followed, through two of
  /// them, otherwise through the watchers of all zones.
  ///
  /// @param aEndpoint  identifies the endpoint that crashed; relays that reach
  ///                   the same companions choose the same ones for it
  void SendCrashReports(std::uint64_t aEndpoint,
                        const protocol::CrashReports& aReports);

  /// Requests a share of a limit from the companion of a host; empty when it is
  /// unreachable or does not answer in time.
  transport::Task<std::optional<state::ShareGrant>> RequestShare(
    std::string aHost,
    state::ShareRequest aRequest);

  /// Returns the unused amount of a share; dropped while the companion is
  /// unreachable.
  void ReturnShare(const std::string& aHost,
                   const protocol::LimitReturn& aReturn);

  /// Requests a permit for an endpoint from the companion of a host; empty when
  /// it is unreachable or does not answer in time.
  transport::Task<std::optional<state::PlaceGrant>> RequestPermit(
    std::string aHost,
    state::PlaceAsk aRequest);

  /// Returns a permit; dropped while the companion is unreachable.
  void ReturnPermit(const std::string& aHost, state::LimitHash aEndpoint);

  /// Reports the rate that an endpoint's answer advertised; dropped likewise.
  void ReportRate(const std::string& aHost, const state::RateReport& aReport);

  /// Reports on a roll-out to the companion of a host; dropped while it is
  /// unreachable or of a release without roll-outs.
  void ReportRollout(const std::string& aHost,
                     const state::RolloutReport& aReport);

  /// Has the companion of a host hold the record of a stream; false when it is
  /// unreachable, does not reply in time or is of a release without records.
  transport::Task<bool> RecordStream(std::string aHost,
                                     state::StreamRecord aRecord);

  /// Asks the companion of a host what it knows of a stream; empty likewise.
  transport::Task<std::optional<state::OriginReply>> FindStream(
    std::string aHost,
    protocol::StreamQuery aQuery);

  /// Sets what answers companions' questions about weights.
  void OnWeightsQuery(WeightsQueryHandler aHandler);

  /// Asks the companion of a host until when each version of a model's weights
  /// was the newest; empty likewise.
  transport::Task<std::optional<std::vector<state::WeightsConfirmation>>>
  FindWeights(std::string aHost, std::string aModel);

  /// Sets the tokens that this relay has queued at an engine; its companion is
  /// informed when the number changed enough.
  ///
  /// @param aPart  see protocol::RelayWaiting; sent at once unless empty
  void SetWaiting(const std::string& aEndpointAddress,
                  const state::WaitingTokens& aWaiting,
                  const std::string& aPart);

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::coordination
