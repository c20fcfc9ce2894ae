#pragma once

// Private to coordination: drains and cooldowns that answers advertise.

#include <string_view>

#include "relay_endpoint.h"
#include "shuntjunction/coordination/relay.h"

namespace shuntjunction::coordination {

/// Applies what each answer advertises of its endpoint, whichever request it
/// answers.
///
/// Thread safety: none; owned by the traffic thread.
class RelayNotices
{
public:
  /// @param aDependencies  outlive this object
  explicit RelayNotices(const RelayDependencies& aDependencies);

  /// Applies an answer's report of a drain or request for a cooldown.
  ///
  /// @param aRequestId  of the request that was answered, for the log
  void Apply(RelayEndpoint& aEndpoint,
             const state::EndpointNotice& aNotice,
             std::string_view aRequestId);

  /// Counts a request that was not sent after its endpoint had been chosen.
  void CountWithheld(const RelayEndpoint& aEndpoint, state::Obstacle aObstacle);

  /// Counts a request that is refused because its whole service is unavailable.
  void CountRefused(const std::string& aService, state::Obstacle aObstacle);

private:
  void Count(const std::string& aMetric,
             const std::string& aService,
             state::Obstacle aObstacle);

  const RelayDependencies& mDependencies;
};

} // namespace shuntjunction::coordination
