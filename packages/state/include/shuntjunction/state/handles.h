#pragma once

#include <cstdint>
#include <limits>

/// Typed handles with an invalid value.
namespace shuntjunction::state {

/// Identifies an endpoint within one process; never sent to another.
struct EndpointHandle
{
  static constexpr std::uint32_t kInvalid =
    std::numeric_limits<std::uint32_t>::max();

  std::uint32_t mIndex = kInvalid;

  /// Whether the handle refers to an endpoint.
  constexpr bool IsValid() const { return mIndex != kInvalid; }

  constexpr bool operator==(const EndpointHandle&) const = default;
};

} // namespace shuntjunction::state
