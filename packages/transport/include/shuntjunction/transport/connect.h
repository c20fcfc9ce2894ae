#pragma once

#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "shuntjunction/state/error.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/task.h"

/// TCP addresses and outgoing connections, with the common socket options.
namespace shuntjunction::transport {

/// Converts an address to the TCP endpoint to listen on or connect to.
///
/// Thread safety: pure.
/// @param aStep  step that the error names
/// @return kInvalidArgument when the host is not a numeric IP address
state::Result<asio::ip::tcp::endpoint>
ToTcpEndpoint(const state::Address& aAddress, std::string_view aStep);

/// Limits how long an unresponsive peer is considered alive.
struct DeadPeerTimeouts
{
  /// For unacknowledged data. The kernel also counts a peer whose receive
  /// window is full, so that it exceeds the pause of a peer that works.
  state::Millis mUserTimeout{ 3000 };
  int mKeepAliveIdleSeconds = 1;     ///< until the first probe
  int mKeepAliveIntervalSeconds = 1; ///< between probes
  int mKeepAliveProbes = 2;          ///< unanswered ones until failure
};

/// Enables TCP_NODELAY, keep-alive and the timeouts on a connected socket.
///
/// Thread safety: that of the socket.
void
SetDeadPeerTimeouts(asio::ip::tcp::socket& aSocket,
                    const DeadPeerTimeouts& aLimits);

/// A connected socket or the error of the attempt.
using ConnectResult =
  tl::expected<asio::ip::tcp::socket, boost::system::error_code>;

/// Connects to an endpoint; the error is timed_out after aTimeout. The socket
/// gets the default DeadPeerTimeouts, so that an unreachable peer is detected
/// even while nothing is sent.
Task<ConnectResult>
ConnectSocket(asio::ip::tcp::endpoint aEndpoint, state::Millis aTimeout);

} // namespace shuntjunction::transport
