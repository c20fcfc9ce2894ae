#pragma once

#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "shuntjunction/state/error.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/task.h"

/// Addresses and connections, as every part with sockets opens them.
namespace shuntjunction::transport {

/// The endpoint of an address, for opening or connecting a socket.
///
/// Thread safety: pure.
/// @param aStep  names the step in the error
/// @return kInvalidArgument when the host is no IP number
state::Result<asio::ip::tcp::endpoint>
ToTcpEndpoint(const state::Address& aAddress, std::string_view aStep);

/// Bounds how long a peer that says nothing is taken to be there.
struct DeadPeerTimeouts
{
  state::Millis mUserTimeout{ 1500 }; ///< for bytes that were sent
  int mKeepAliveIdleSeconds = 1;      ///< until the first probe
  int mKeepAliveIntervalSeconds = 1;  ///< between probes
  int mKeepAliveProbes = 2;           ///< unanswered ones that end it
};

/// Sets no-delay and the limits on a connected socket.
///
/// Thread safety: none; as the socket.
void
SetDeadPeerTimeouts(asio::ip::tcp::socket& aSocket,
                    const DeadPeerTimeouts& aLimits);

/// A connected socket, or why there is none.
using ConnectResult =
  tl::expected<asio::ip::tcp::socket, boost::system::error_code>;

/// Connects within a time; timed_out when it has passed. The socket has the
/// usual DeadPeerTimeouts: a peer that is cut off is noticed though nothing is
/// sent.
Task<ConnectResult>
ConnectSocket(asio::ip::tcp::endpoint aEndpoint, state::Millis aTimeout);

} // namespace shuntjunction::transport
