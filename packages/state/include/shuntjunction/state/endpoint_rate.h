#pragma once

#include <cstdint>
#include <string_view>

#include "shuntjunction/state/enum_names.h"

/// Parses the rate limit that an overloaded endpoint advertises.
namespace shuntjunction::state {

/// Whether a response advertises a rate limit.
enum class RateNotice : std::uint8_t
{
  kAbsent,     ///< no rate given
  kAdvertised, ///< a rate is given
  kUnreadable, ///< invalid value: neither sets nor ends a limit
};

/// Names of RateNotice.
inline constexpr EnumNames<RateNotice, 3> kRateNoticeNames{
  { "absent", "named", "unreadable" }
};

/// A rate limit as advertised in a response.
struct EndpointRate
{
  RateNotice mNotice = RateNotice::kAbsent;
  double mPerSecond = 0; ///< requests, across all relays
};

/// Parses a decimal number of requests per second.
///
/// Empty, non-finite and negative values are unreadable.
/// Thread safety: pure.
EndpointRate
ReadEndpointRate(std::string_view aText);

} // namespace shuntjunction::state
