#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/frame_channel.h"
#include "shuntjunction/transport/mailbox.h"

/// A router's connection to one companion.
namespace shuntjunction::coordination {

/// Sets the gauges for the traffic of a process's channels.
void
SetChannelGauges(Metrics& aMetrics,
                 const transport::ChannelCounters& aCounters);

/// The link was closed; no more messages follow.
struct LinkDown
{
  std::string mText;
};

/// The caller closed its connection.
struct ClientDisconnected
{};

/// An event of an attempt.
using AttemptEvent =
  std::variant<protocol::Message, LinkDown, ClientDisconnected>;

/// Receives the events of an attempt.
using AttemptMailbox = transport::Mailbox<AttemptEvent>;

/// Receives the events of a link that belong to no attempt.
class LinkListener
{
public:
  virtual ~LinkListener() = default;

  /// The companion announced its configuration version, in the handshake or in
  /// a message.
  virtual void OnPeerVersion(const std::string& aEndpoint,
                             std::uint64_t aVersion) = 0;
  /// The companion accepts no new requests.
  virtual void OnPeerLeaving(const std::string& aEndpoint) = 0;
  /// A new link to the companion is open, so it accepts requests.
  virtual void OnPeerOpen(const std::string& aEndpoint) = 0;
  /// The companion sent its configuration.
  virtual void OnPeerSnapshot(const std::string& aEndpoint,
                              protocol::SnapshotReply aReply) = 0;
  /// The current configuration, for a companion that requests it.
  virtual protocol::SnapshotReply Snapshot(
    const protocol::SnapshotRequest& aHave) = 0;
};

/// Connects on demand, multiplexes attempts, and closes when idle.
///
/// While attempts are open, a silent companion is probed. If it stays silent,
/// it is considered dead and the link is closed.
/// Thread safety: none; used on the traffic thread.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  /// @param aListener, aCounters, aClock  outlive the link
  PeerLink(boost::asio::io_context& aContext,
           std::string aEndpoint,
           state::Address aAddress,
           const state::Settings& aSettings,
           LinkListener& aListener,
           transport::ChannelCounters& aCounters,
           const state::Clock& aClock);

  /// Waits until the link is open; connects if necessary.
  transport::Task<state::Result<void>> Ready();

  /// Opens an attempt; its messages are delivered to the mailbox.
  protocol::StreamId Open(std::shared_ptr<AttemptMailbox> aMailbox);

  /// Closes an attempt; later messages for it are dropped and counted.
  void Close(protocol::StreamId aId);

  /// Sends a message; does nothing if the link is down.
  void Send(const protocol::Message& aMessage);

  /// The version to send with a message; zero if the companion already knows
  /// it.
  std::uint64_t UnannouncedVersion(std::uint64_t aVersion);

  /// Whether the link is open.
  bool IsOpen() const { return mChannel && mChannel->IsOpen(); }

  /// Sends heartbeats and closes a dead or idle link; called periodically.
  void Tick(state::TimePoint aNow);

  /// Number of dropped messages that belonged to no open attempt.
  std::uint64_t Dropped() const { return mDropped; }

private:
  transport::Task<void> Connect();
  transport::Task<void> Read(std::shared_ptr<transport::FrameChannel> aChannel);
  void Dispatch(protocol::Message aMessage);
  void Disconnect(std::string_view aReason);

  boost::asio::io_context& mContext;
  std::string mEndpoint;
  state::Address mAddress;
  const state::Settings& mSettings;
  LinkListener& mListener;
  transport::ChannelCounters& mCounters;
  const state::Clock& mClock;
  std::shared_ptr<transport::FrameChannel> mChannel;
  std::vector<std::shared_ptr<transport::Mailbox<state::Result<void>>>>
    mWaiters;
  std::unordered_map<protocol::StreamId, std::shared_ptr<AttemptMailbox>>
    mAttempts;
  protocol::StreamId mNextId = 0;
  state::TimePoint mLastReceivedAt;
  state::TimePoint mLastUsedAt;
  std::uint64_t mDropped = 0;
  bool mIsConnecting = false;
};

} // namespace shuntjunction::coordination
