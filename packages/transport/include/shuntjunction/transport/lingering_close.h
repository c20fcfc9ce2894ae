#pragma once

#include <cstddef>
#include <memory>

#include "shuntjunction/transport/socket_reader.h"

/// Closing a connection whose peer may still be sending.
namespace shuntjunction::transport {

/// Limits of a lingering close.
struct LingerLimits
{
  /// Longest time for which input is discarded.
  state::Millis mTime{ 1000 };
  /// Maximum number of bytes that are discarded.
  std::size_t mBytes = 4UL * 1024 * 1024;
};

/// Ends the sending side of a connection, discards what the peer still sends
/// until it closes or a limit is reached, and closes the connection.
///
/// A connection that is closed with unread bytes is reset, and its peer may
/// lose the response that was written last (RFC 9112, 9.6).
///
/// @pre  no other coroutine waits on aReader
/// Thread safety: that of aReader.
Task<void>
CloseLingering(std::shared_ptr<SocketReader> aReader, LingerLimits aLimits);

} // namespace shuntjunction::transport
