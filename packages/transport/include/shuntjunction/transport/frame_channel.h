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

/// Message connections between shuntjunction's own processes.
namespace shuntjunction::transport {

/// Most bytes queued for sending; beyond it a channel is closed as stalled.
inline constexpr std::size_t kMaxPendingBytes = 64UL * 1024 * 1024;

/// Longest frame that a peer may send before it has proved the shared secret.
inline constexpr std::size_t kMaxHandshakeFrameBytes = 64UL * 1024;

/// Time limit for both sides to prove the shared secret.
inline constexpr state::Millis kHandshakeTimeout{ 2000 };

/// What a side presents of itself in the handshake, and its secret.
struct ChannelIdentity
{
  std::string mNode;
  std::string mSecret;
  std::uint64_t mConfigVersion = 0;
};

/// Bytes and frames of all channels of a process.
struct ChannelCounters
{
  std::uint64_t mBytesIn = 0;
  std::uint64_t mBytesOut = 0;
  std::uint64_t mFramesIn = 0;
  std::uint64_t mFramesOut = 0;
  /// Malformed, too long, of an unknown or unexpected type, or with a wrong
  /// proof.
  std::uint64_t mBadFrames = 0;
};

/// An open connection that carries messages both ways.
///
/// Both sides must prove the shared secret in a handshake before other messages
/// pass. A frame that cannot be decoded closes only this channel.
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

  /// Closes the channel; pending receives on both sides fail.
  void Close();

  /// Whether the channel can still carry messages.
  bool IsOpen() const { return mSocket.is_open(); }

  /// Whether the peer's host closed or reset the connection; false while it is
  /// open, and when it was closed locally or because the peer was unresponsive.
  bool IsClosedByPeer() const { return mIsClosedByPeer; }

  /// Bytes received so far, those of an incomplete frame included.
  std::uint64_t ReceivedBytes() const { return mReceivedBytes; }

  /// Address of the other side.
  const std::string& Peer() const { return mPeer; }

  /// Node name that the other side presented in the handshake.
  const std::string& PeerNode() const { return mPeerNode; }

  /// Configuration version of the other side at the handshake.
  std::uint64_t PeerConfigVersion() const { return mPeerConfigVersion; }

  /// Protocol version that both sides speak, as agreed in the handshake.
  std::uint16_t ProtocolVersion() const { return mProtocolVersion; }

  /// Version to put into a message: zero when it is the last one announced to
  /// the peer.
  std::uint64_t UnannouncedVersion(std::uint64_t aVersion);

  /// Performs the handshake as the connecting side.
  Task<state::Result<void>> HandshakeAsConnector(
    const ChannelIdentity& aIdentity);

  /// Performs the handshake as the accepting side.
  Task<state::Result<void>> HandshakeAsAcceptor(
    const ChannelIdentity& aIdentity);

private:
  template<typename T>
  Task<state::Result<T>> Expect(std::string_view aStep);
  Task<void> WriteQueued();
  /// Reads the rest of a frame; its memory grows with the bytes that arrive.
  Task<boost::system::error_code> ReadRest(std::vector<std::uint8_t>& aFrame,
                                           std::size_t aBytes);
  /// Reads until a buffer is full; counts the bytes as they come.
  Task<boost::system::error_code> ReadFull(asio::mutable_buffer aBuffer);

  asio::ip::tcp::socket mSocket;
  std::string mPeer;
  std::string mPeerNode;
  std::uint64_t mPeerConfigVersion = 0;
  std::uint64_t mAnnouncedVersion = 0;
  std::uint16_t mProtocolVersion = 0;
  ChannelCounters& mCounters;
  std::uint64_t mReceivedBytes = 0;
  std::size_t mMaxFrameBytes = kMaxHandshakeFrameBytes;
  bool mIsClosedByPeer = false;
  std::deque<std::vector<std::uint8_t>> mQueue;
  std::size_t mPendingBytes = 0;
  bool mIsWriting = false;
};

/// Connects to an address and performs the handshake.
Task<state::Result<std::shared_ptr<FrameChannel>>>
ConnectChannel(state::Address aAddress,
               ChannelIdentity aIdentity,
               state::Millis aTimeout,
               ChannelCounters& aCounters);

/// Opens a listening socket.
///
/// @param aBacklog  connections that may wait to be accepted
state::Result<std::shared_ptr<asio::ip::tcp::acceptor>>
Listen(asio::io_context& aContext,
       const state::Address& aAddress,
       int aBacklog = asio::socket_base::max_listen_connections);

/// Accepts connections until the acceptor is closed and passes each to
/// aHandler. Pauses after a failure, which would otherwise repeat at once.
Task<void>
AcceptLoop(std::shared_ptr<asio::ip::tcp::acceptor> aAcceptor,
           std::function<void(asio::ip::tcp::socket)> aHandler);

/// Address that a socket listens on, with the port that the kernel assigned.
state::Address
LocalAddress(const asio::ip::tcp::acceptor& aAcceptor);

} // namespace shuntjunction::transport
