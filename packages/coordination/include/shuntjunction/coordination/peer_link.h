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

/// Shows what passed over a process's channels.
void
SetChannelGauges(Metrics& aMetrics,
                 const transport::ChannelCounters& aCounters);

/// The link broke: no more messages follow.
struct LinkDown
{
  std::string mText;
};

/// The caller went away.
struct ClientDisconnected
{};

/// What can happen to an attempt.
using AttemptEvent =
  std::variant<protocol::Message, LinkDown, ClientDisconnected>;

/// Where the events of an attempt go.
using AttemptMailbox = transport::Mailbox<AttemptEvent>;

/// What a link tells its router besides the attempts' messages.
class LinkListener
{
public:
  virtual ~LinkListener() = default;

  /// The companion opened the link or said which configuration it has.
  virtual void OnPeerVersion(const std::string& aEndpoint,
                             std::uint64_t aVersion) = 0;
  /// The companion takes no new work.
  virtual void OnPeerLeaving(const std::string& aEndpoint) = 0;
  /// The companion takes work: it has answered a new link.
  virtual void OnPeerOpen(const std::string& aEndpoint) = 0;
  /// The companion sent its configuration.
  virtual void OnPeerSnapshot(const std::string& aEndpoint,
                              protocol::SnapshotReply aReply) = 0;
  /// The configuration in force, for the companion that asks for it.
  virtual protocol::SnapshotReply Snapshot(
    const protocol::SnapshotRequest& aHave) = 0;
};

/// Connects on demand, carries many attempts, and closes when idle.
///
/// While attempts are open, a silent companion is probed; one that stays
/// silent is taken for dead and the link is closed.
/// Thread safety: none; lives on the traffic thread.
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

  /// Waits until the link is open.
  transport::Task<state::Result<void>> Ready();

  /// Opens an attempt; its messages go to a mailbox.
  protocol::StreamId Open(std::shared_ptr<AttemptMailbox> aMailbox);

  /// Closes an attempt; its late messages are dropped and counted.
  void Close(protocol::StreamId aId);

  /// Sends a message; nothing happens when the link is down.
  void Send(const protocol::Message& aMessage);

  /// A version to put into a message: zero when the companion was told it.
  std::uint64_t UnannouncedVersion(std::uint64_t aVersion);

  /// Whether it is open.
  bool IsOpen() const { return mChannel && mChannel->IsOpen(); }

  /// Closes a link that has been idle for long; called now and then.
  void Tick(state::TimePoint aNow);

  /// Messages that belonged to no open attempt.
  std::uint64_t Dropped() const { return mDropped; }

private:
  transport::Task<void> Connect();
  transport::Task<void> Read(std::shared_ptr<transport::FrameChannel> aChannel);
  void Dispatch(protocol::Message aMessage);
  void Down(std::string_view aWhy);

  boost::asio::io_context& mContext;
  std::string mEndpoint;
  state::Address mAddress;
  const state::Settings& mSettings;
  LinkListener& mListener;
  transport::ChannelCounters& mCounters;
  const state::Clock& mClock;
  std::shared_ptr<transport::FrameChannel> mChannel;
  std::vector<std::shared_ptr<transport::Mailbox<state::Result<void>>>>
    mWaiting;
  std::unordered_map<protocol::StreamId, std::shared_ptr<AttemptMailbox>>
    mAttempts;
  protocol::StreamId mNextId = 0;
  state::TimePoint mHeardAt;
  state::TimePoint mUsedAt;
  std::uint64_t mDropped = 0;
  bool mIsConnecting = false;
};

} // namespace shuntjunction::coordination
