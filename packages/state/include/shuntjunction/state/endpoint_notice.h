#pragma once

#include "shuntjunction/state/endpoint_rate.h"
#include "shuntjunction/state/retry_after.h"

namespace shuntjunction::state {

/// What a response advertises about the endpoint that sent it.
struct EndpointNotice
{
  bool mIsDraining = false; ///< accepts no new work
  RetryAfter mRetryAfter;   ///< with a refusal: how long to send nothing
  EndpointRate mRate;       ///< limit across all relays
};

} // namespace shuntjunction::state
