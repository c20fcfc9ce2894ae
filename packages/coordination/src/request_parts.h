#pragma once

// Private to coordination: the shared parts of a request's prompt.

#include <cstdint>
#include <string_view>
#include <vector>

#include "shuntjunction/coordination/relay_codec.h"
#include "shuntjunction/state/request_digest.h"

namespace shuntjunction::coordination {

/// The shared parts of a request, as crash reports name them.
struct RequestParts
{
  std::vector<state::RequestDigest> mParts; ///< outermost first
  /// The same for the request's team alone.
  std::vector<state::RequestDigest> mPartsOfTeam;
  std::uint64_t mTeam = 0; ///< hash of the team's name; 0: none
};

/// The shared parts of a request; none for a plain service.
///
/// @param aIsIsolated  the team shares no parts with others
RequestParts
SharedPartsOf(const CallInfo& aCall, std::string_view aTeam, bool aIsIsolated);

} // namespace shuntjunction::coordination
