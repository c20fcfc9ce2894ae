#pragma once

// Private to coordination: what answers advertise of their endpoints.

#include <string_view>

#include "relay_endpoint.h"
#include "relay_rates.h"
#include "shuntjunction/coordination/relay.h"

namespace shuntjunction::coordination {

/// Applies what each answer advertises, whichever request it answers.
///
/// Thread safety: none; owned by the traffic thread.
class RelayNotices
{
public:
  /// @param aParts, aRates  outlive this
  RelayNotices(const RelayParts& aParts, RelayRates& aRates);

  /// Takes what an answer advertises.
  ///
  /// @param aRequestId  of the request that got it, for the log
  /// @param aPlace  with which the request was sent; null: with none
  void Take(RelayEndpoint& aEndpoint,
            const state::EndpointNotice& aNotice,
            std::string_view aRequestId,
            const HeldPlace* aPlace);

  /// Counts a request that is sent despite an obstacle.
  void CountSend(const RelayEndpoint& aEndpoint);

private:
  const RelayParts& mParts;
  RelayRates& mRates;
};

} // namespace shuntjunction::coordination
