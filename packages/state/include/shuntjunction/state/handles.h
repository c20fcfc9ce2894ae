#pragma once

#include <cstdint>
#include <limits>

/// Small typed handles with an invalid value.
namespace shuntjunction::state {

/// Names an endpoint within one process; never sent to another.
struct EndpointHandle
{
  static constexpr std::uint32_t kInvalid =
    std::numeric_limits<std::uint32_t>::max();

  std::uint32_t mIndex = kInvalid;

  /// Whether the handle names an endpoint.
  constexpr bool IsValid() const { return mIndex != kInvalid; }

  constexpr bool operator==(const EndpointHandle&) const = default;
};

} // namespace shuntjunction::state
