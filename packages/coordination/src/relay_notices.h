#pragma once

// Private to coordination: what answers advertise of their endpoints.

#include <string_view>

#include "relay_endpoint.h"
#include "shuntjunction/coordination/relay.h"

namespace shuntjunction::coordination {

/// Applies what each answer advertises, whichever request it answers.
///
/// Thread safety: none; owned by the traffic thread.
class RelayNotices
{
public:
  /// @param aParts  outlive this
  explicit RelayNotices(const RelayDependencies& aParts);

  /// Takes that an answer reports a drain, or asks for a cooldown.
  ///
  /// @param aRequestId  of the request that got it, for the log
  void Take(RelayEndpoint& aEndpoint,
            const state::EndpointNotice& aNotice,
            std::string_view aRequestId);

  /// Counts a request that was not sent after its endpoint had been chosen.
  void CountWithheld(const RelayEndpoint& aEndpoint, state::Obstacle aObstacle);

  /// Counts a request that is refused since its whole service is unavailable.
  void CountRefused(const std::string& aService, state::Obstacle aObstacle);

private:
  const RelayDependencies& mParts;
};

} // namespace shuntjunction::coordination
