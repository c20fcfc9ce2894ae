#pragma once

// Private to transport: whether a response is final, by its head.

#include <cstdint>

#include <boost/beast/http/message.hpp>

namespace shuntjunction::transport {

/// Interim responses that may precede the final one.
inline constexpr int kMaxInterimResponses = 64;

enum class ResponseKind : std::uint8_t
{
  kFinal,
  kInterim, ///< another response to the same request follows
  kInvalid, ///< what follows on the connection is no response
};

/// Kind of a response to a request without Upgrade.
///
/// Invalid are a status below those of HTTP (RFC 9110, 15), a change of the
/// protocol that was not requested (7.8), and an interim response with a body
/// (RFC 9112, 6.1 and 6.2).
ResponseKind
ResponseKindOf(const boost::beast::http::response_header<>& aHead);

} // namespace shuntjunction::transport
