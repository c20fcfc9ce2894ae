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
#include "shuntjunction/state/relay_config.h"
#include "shuntjunction/transport/frame_channel.h"

/// News of engines, from the companion beside each to the relays.
namespace shuntjunction::coordination {

/// What a companion says of its engine beside its parts.
struct EngineState
{
  std::string mEndpoint;
  std::string mModel;
  std::uint64_t mWeights = 0;
  protocol::EnginePhase mPhase = protocol::EnginePhase::kOpen;

  bool operator==(const EngineState&) const = default;
};

/// Whose parts are told.
enum class PartHolder : std::uint8_t
{
  kEngine, ///< the engine beside the companion
  kStore,  ///< the part store, told by a few companions
};

/// Sends an engine's news to all relays that connect, and passes on what one of
/// them tells the others.
///
/// What relays saw of crashes it remembers for those that connect later: its
/// own engine's crash is not its end.
///
/// Of the parts that the engine keeps only those are told that a relay asked
/// for: the others are requests' own, which nobody asks for again.
/// A change is sent at once; without any, the state is sent again each second,
/// so that silence is noticed.
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

  /// Gives relays what this companion keeps of limits.
  ///
  /// @param aShares  of teams' limits; outlives the server
  /// @param aLimits  rates of endpoints; outlives the server
  void SetLimits(state::LimitShares& aShares, state::EndpointLimits& aLimits);

  /// Begins to accept relays; returns the address with the kernel's port.
  state::Result<state::Address> Start(const state::Address& aAddress);

  /// Sets the engine's state.
  void SetState(const EngineState& aState);

  /// Sets whether the engine answers; while it does not, it is told as down.
  void SetDown(bool aIsDown);

  /// Sets the engine's load, which is told with the next news.
  void SetLoad(std::uint32_t aRunning, std::uint32_t aQueued);

  /// Takes which life the engine itself just said to be in; what was told of
  /// another is forgotten.
  void SetLife(state::EndpointIncarnation aLife);

  /// Adds parts that a holder keeps and takes away those that it lost; what a
  /// former life said is passed over.
  void ChangeParts(PartHolder aHolder,
                   state::EndpointIncarnation aLife,
                   const std::vector<std::string>& aGained,
                   const std::vector<std::string>& aLost);

  /// Forgets all parts of a holder.
  void ClearParts(PartHolder aHolder);

  /// Sets the address of the part store; empty: it is not told of.
  void SetStore(const std::string& aAddress);

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

/// Hears the news of all engines.
///
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

  /// @param aPort  of the companions, the same on all machines
  /// @param aTake  called with each news
  /// @param aTakePart  called with what other relays tell of parts
  /// @param aTakeCrashes  called with what they tell of crashes
  /// @param aTakeRate  called with what companions tell of endpoints' rates
  /// @param aTakeEnd  called with the host of a companion whose connection was
  ///                  ended by its machine, and not given up in silence
  EngineNewsClient(transport::asio::io_context& aContext,
                   transport::ChannelIdentity aIdentity,
                   std::uint16_t aPort,
                   EventLog& aLog,
                   Handler aTake,
                   PartReadingHandler aTakePart,
                   CrashReportsHandler aTakeCrashes,
                   RateNewsHandler aTakeRate,
                   ConnectionEndHandler aTakeEnd);
  ~EngineNewsClient();
  EngineNewsClient(const EngineNewsClient&) = delete;
  EngineNewsClient& operator=(const EngineNewsClient&) = delete;

  /// Follows the engines among these endpoints, and no others.
  void Follow(const std::vector<state::EndpointInfo>& aEndpoints);

  /// Tells the other relays of a part that an engine reads; dropped while its
  /// companion cannot be reached.
  void SendPartReading(const std::string& aEndpointAddress,
                       const protocol::PartReading& aReading);

  /// Tells the other relays of crashes, by way of two companions: each of them
  /// reaches all relays, and tells those that come later.
  ///
  /// @param aEndpoint  names the endpoint that crashed; all relays choose the
  ///                   same companions for it, if they reach the same
  void SendCrashReports(std::uint64_t aEndpoint,
                        const protocol::CrashReports& aReports);

  /// Asks the companion of a host for a part of a limit; empty when it cannot
  /// be reached, or gives no answer soon.
  transport::Task<std::optional<state::ShareGrant>> RequestShare(
    std::string aHost,
    state::ShareAsk aAsk);

  /// Gives back to it what was not used; dropped while it cannot be reached.
  void ReturnShare(const std::string& aHost,
                   const protocol::LimitReturn& aBack);

  /// Asks the companion of a host for a place at an endpoint; empty when it
  /// cannot be reached, or gives no answer soon.
  transport::Task<std::optional<state::PlaceGrant>> RequestPermit(
    std::string aHost,
    state::PlaceAsk aAsk);

  /// Gives back a place; dropped while its keeper cannot be reached.
  void ReturnPermit(const std::string& aHost, state::LimitHash aEndpoint);

  /// Reports what an endpoint's answer said of its rate; dropped likewise.
  void ReportRate(const std::string& aHost, const state::RateReport& aReport);

  /// Sets what of this relay waits at an engine; its companion is told when it
  /// changed much.
  ///
  /// @param aPart  see protocol::RelayWaiting; told at once unless empty
  void SetWaiting(const std::string& aEndpointAddress,
                  const state::WaitingTokens& aWaiting,
                  const std::string& aPart);

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::coordination
