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
EndpointOf(const state::Address& aAddress, std::string_view aStep);

/// A connected socket, or why there is none.
using ConnectResult =
  tl::expected<asio::ip::tcp::socket, boost::system::error_code>;

/// Connects within a time; timed_out when it has passed.
Task<ConnectResult>
ConnectSocket(asio::ip::tcp::endpoint aEndpoint, state::Millis aTimeout);

} // namespace shuntjunction::transport
