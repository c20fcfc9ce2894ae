#pragma once

// Private to coordination: queries for the runs of an engine.

#include "relay_core.h"

namespace shuntjunction::coordination {

/// Queries an endpoint for its runs on a new connection, unless that was done a
/// moment ago.
///
/// The reply is kept with the endpoint and wakes the requests that wait there.
/// One query serves all requests of this relay.
void
StartRunsQuery(const std::shared_ptr<Relay::Core>& aCore,
               const RelayEndpointPtr& aEndpoint);

} // namespace shuntjunction::coordination
