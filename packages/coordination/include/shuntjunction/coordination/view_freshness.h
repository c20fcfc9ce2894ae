#pragma once

#include <cstdint>
#include <optional>

#include "shuntjunction/state/clock.h"

/// As of when a process's view of the platform's objects is known to be
/// current.
namespace shuntjunction::coordination {

/// Time of the request whose answer last confirmed some objects; empty: none
/// has.
using ConfirmedAt = std::optional<state::TimePoint>;

/// Time since a confirmation; Millis::max() if there was none.
inline state::Millis
AgeOf(ConfirmedAt aConfirmed, state::TimePoint aNow)
{
  return aConfirmed
           ? std::chrono::duration_cast<state::Millis>(aNow - *aConfirmed)
           : state::Millis::max();
}

/// Confirmations of the objects of a view.
///
/// They hold for the view with which they were delivered, or for the one
/// delivered last before them. A confirmation that reached a thread ahead of
/// its view would make it accept what the store no longer holds.
struct ViewFreshness
{
  ConfirmedAt mConfig;
  ConfirmedAt mEndpoints;
  ConfirmedAt mRollouts;
  /// Since when no change of the endpoints was missed, neither in an outage of
  /// the store nor because its history was gone; empty: none was read.
  ConfirmedAt mEndpointsSince;
  std::uint64_t mEndpointsRevision = 0; ///< up to which endpoints are known
  std::uint64_t mStoreRevision = 0;     ///< highest known of the store
};

} // namespace shuntjunction::coordination
