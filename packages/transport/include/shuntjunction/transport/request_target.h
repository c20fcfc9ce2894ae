#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/error.h"

/// Encoding of request targets whose parts are any text.
namespace shuntjunction::transport {

/// Encodes a text as one segment of a path (RFC 3986, 3.3).
///
/// Thread safety: may be called from any thread.
/// @return kInvalidArgument for the texts that no segment can carry: an empty
///         one, "." and "..", which clients and servers remove from paths
///         (RFC 3986, 5.2.4)
state::Result<std::string>
EncodePathSegment(std::string_view aText);

/// Encodes a text as the value of a query parameter, also for servers that
/// decode queries as forms, with "+" for a space.
///
/// Thread safety: may be called from any thread.
std::string
EncodeQueryValue(std::string_view aText);

/// Parts of a request's target, decoded.
struct RequestTarget
{
  std::vector<std::string> mSegments; ///< of the path
  /// Of parameters with one name, the first.
  std::map<std::string, std::string, std::less<>> mQuery;
};

/// Parses a target in origin form (RFC 9112, 3.2.1). A fragment is dropped, and
/// the query is decoded as a form.
///
/// Thread safety: may be called from any thread.
/// @return empty if it has characters or escapes that are not allowed
std::optional<RequestTarget>
ParseRequestTarget(std::string_view aTarget);

/// Whether a text can be sent as a request's target: it does not end the
/// request line or a part of it.
///
/// Thread safety: may be called from any thread.
bool
IsSendableTarget(std::string_view aTarget);

} // namespace shuntjunction::transport
