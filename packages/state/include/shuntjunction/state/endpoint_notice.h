#pragma once

#include "shuntjunction/state/endpoint_rate.h"
#include "shuntjunction/state/retry_after.h"

namespace shuntjunction::state {

/// What one answer advertises of the endpoint that gave it.
struct EndpointNotice
{
  bool mIsDraining = false; ///< it takes no new work
  RetryAfter mRetryAfter;   ///< of a refusal: it wants to be sent nothing
  EndpointRate mRate;       ///< that it takes from all relays together
};

} // namespace shuntjunction::state
