#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "shuntjunction/state/handles.h"

/// Rendezvous (highest random weight) order of endpoints for a key.
namespace shuntjunction::state {

/// An endpoint to be ordered.
struct RendezvousMember
{
  EndpointHandle mHandle;
  std::uint64_t mNameHash = 0; ///< PlacementHash of its name
  double mWeight = 1.0;        ///< relative capacity, above zero
};

/// The first aCount members in the order of a key.
///
/// The order depends on the key and the members only, so it is the same in
/// every process. Removing a member moves only the keys that it came first for,
/// and adding one moves only the keys that it takes over.
/// Thread safety: pure.
std::vector<RendezvousMember>
RendezvousOrder(std::span<const RendezvousMember> aMembers,
                std::uint64_t aKey,
                std::size_t aCount);

} // namespace shuntjunction::state
