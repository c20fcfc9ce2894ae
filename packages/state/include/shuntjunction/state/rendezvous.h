#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "shuntjunction/state/handles.h"

/// Rendezvous (highest random weight) order of endpoints for a key.
namespace shuntjunction::state {

/// One endpoint as rendezvous hashing sees it.
struct RendezvousMember
{
  EndpointHandle mHandle;
  std::uint64_t mNameHash = 0; ///< PlacementHash of its name
  double mWeight = 1.0;        ///< relative capacity, above zero
};

/// The first aCount members for a key, best first.
///
/// Every process that knows the same members gets the same order; a member
/// that goes or comes moves only the keys that it held or takes.
/// Thread safety: pure.
std::vector<RendezvousMember>
RendezvousOrder(std::span<const RendezvousMember> aMembers,
                std::uint64_t aKey,
                std::size_t aCount);

} // namespace shuntjunction::state
