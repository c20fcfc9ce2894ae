#pragma once

#include <cstdint>
#include <string_view>

#include "shuntjunction/state/enum_names.h"

/// The rate that an endpoint in need says it takes.
namespace shuntjunction::state {

/// What an endpoint's answer says of the requests that it takes.
enum class RateNotice : std::uint8_t
{
  kAbsent,     ///< it names no rate
  kNamed,      ///< it names one
  kUnreadable, ///< what it names is no rate: neither a limit nor its end
};

/// Names of RateNotice.
inline constexpr EnumNames<RateNotice, 3> kRateNoticeNames{
  { "absent", "named", "unreadable" }
};

/// A rate as an endpoint's answer names it.
struct EndpointRate
{
  RateNotice mNotice = RateNotice::kAbsent;
  double mPerSecond = 0; ///< requests, from all relays together
};

/// Reads a decimal number of requests a second.
///
/// Unreadable are an empty text, one that is no finite number, and a negative
/// one. Thread safety: pure.
EndpointRate
ReadEndpointRate(std::string_view aText);

} // namespace shuntjunction::state
