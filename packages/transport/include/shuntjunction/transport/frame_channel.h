#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/error.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/task.h"

/// Connections between shuntjunction's own processes.
namespace shuntjunction::transport {

/// Bytes that may wait to be sent before a channel is closed as stuck.
inline constexpr std::size_t kMaxPendingBytes = 64UL * 1024 * 1024;

/// Time in which both sides must prove the shared secret.
inline constexpr state::Millis kHandshakeTimeout{ 2000 };

/// What a side says of itself in the handshake.
struct ChannelIdentity
{
  std::string mNode;
  std::string mSecret;
  std::uint64_t mConfigVersion = 0;
};

/// Bytes and frames that passed over all channels of a process.
struct ChannelCounters
{
  std::uint64_t mBytesIn = 0;
  std::uint64_t mBytesOut = 0;
  std::uint64_t mFramesIn = 0;
  std::uint64_t mFramesOut = 0;
  std::uint64_t mBadFrames = 0; ///< malformed, over-long, unknown, unproved
};

/// An open connection that carries messages both ways.
///
/// Both sides have proved the shared secret when it is handed out. A frame
/// that cannot be read closes this channel alone.
/// Thread safety: none; used on the thread of its executor.
class FrameChannel : public std::enable_shared_from_this<FrameChannel>
{
public:
  /// @param aCounters  outlives the channel
  FrameChannel(asio::ip::tcp::socket aSocket,
               std::string aPeer,
               ChannelCounters& aCounters);

  /// Sends a message; nothing happens when the channel is closed.
  void Send(const protocol::Message& aMessage);

  /// Receives the next message; an error when the channel is closed.
  ///
  /// @pre  no other coroutine receives
  Task<state::Result<protocol::Message>> Receive();

  /// Closes the channel; both sides' receives end.
  void Close();

  /// Whether it can still carry messages.
  bool IsOpen() const { return mSocket.is_open(); }

  /// Whether the peer's machine ended the channel; false while it is open, and
  /// when it was given up here or because nothing came any more.
  bool IsClosedByPeer() const { return mIsClosedByPeer; }

  /// Address of the other side.
  const std::string& Peer() const { return mPeer; }

  /// Name that the other side gave.
  const std::string& PeerNode() const { return mPeerNode; }

  /// Configuration version that the other side had at the handshake.
  std::uint64_t PeerConfigVersion() const { return mPeerConfigVersion; }

  /// A version to put into a message: zero when the peer was told it before.
  std::uint64_t UnannouncedVersion(std::uint64_t aVersion);

  /// Proves the secret as the side that connected.
  Task<state::Result<void>> HandshakeAsConnector(
    const ChannelIdentity& aIdentity);

  /// Proves the secret as the side that accepted.
  Task<state::Result<void>> HandshakeAsAcceptor(
    const ChannelIdentity& aIdentity);

private:
  template<typename T>
  Task<state::Result<T>> Expect(std::string_view aStep);
  Task<void> WriteQueued();

  asio::ip::tcp::socket mSocket;
  std::string mPeer;
  std::string mPeerNode;
  std::uint64_t mPeerConfigVersion = 0;
  std::uint64_t mToldVersion = 0;
  ChannelCounters& mCounters;
  bool mIsClosedByPeer = false;
  std::deque<std::vector<std::uint8_t>> mQueue;
  std::size_t mPendingBytes = 0;
  bool mIsWriting = false;
};

/// Connects to an address and proves the secret.
Task<state::Result<std::shared_ptr<FrameChannel>>>
ConnectChannel(state::Address aAddress,
               ChannelIdentity aIdentity,
               state::Millis aTimeout,
               ChannelCounters& aCounters);

/// Opens a listening socket.
state::Result<std::shared_ptr<asio::ip::tcp::acceptor>>
Listen(asio::io_context& aContext, const state::Address& aAddress);

/// Accepts connections until the acceptor is closed, and hands each on; rests
/// after a failure, which would come again at once.
Task<void>
AcceptLoop(std::shared_ptr<asio::ip::tcp::acceptor> aAcceptor,
           std::function<void(asio::ip::tcp::socket)> aTake);

/// Address that a socket listens on, with the port that the kernel gave.
state::Address
LocalAddress(const asio::ip::tcp::acceptor& aAcceptor);

} // namespace shuntjunction::transport
