#pragma once

// Private to coordination: the rates that endpoints name, and a relay's places.

#include <map>
#include <string>

#include "relay_endpoint.h"
#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/state/limit_shares.h"
#include "shuntjunction/state/retry_schedule.h"

namespace shuntjunction::coordination {

/// Leave to send one request to an endpoint that names a rate.
struct HeldPermit
{
  RelayEndpointPtr mEndpoint;
  std::string mKeeper; ///< host of the companion that gave it
  state::LimitedEndpoint mName;
  std::uint32_t mRateVersion = 0; ///< see state::RateReport
};

/// What one relay knows of endpoints' rates, and its way to their keepers.
///
/// Thread safety: none; owned by the traffic thread.
class RelayRates
{
public:
  /// @param aParts, aKeepers  outlive this
  RelayRates(const RelayDependencies& aParts,
             const state::ShareDirectory& aKeepers);

  /// Takes what an endpoint's answer says, and reports it to the rate's keeper.
  ///
  /// @param aPlace  with which the request was sent; null: with none
  void Note(RelayEndpoint& aEndpoint,
            const state::EndpointRate& aRate,
            const HeldPermit* aPlace);

  /// Takes what a keeper tells of an endpoint's rate.
  void ApplyNews(RelayEndpoint& aEndpoint, const state::RateNews& aNews);

  /// Asks for a place at an endpoint that names a rate; empty: there is none
  /// now, or nobody who could give one.
  transport::Task<std::optional<HeldPermit>> Ask(RelayEndpointPtr aEndpoint,
                                                 bool aIsUrgent);

  /// Gives back a place whose request was not sent.
  void Return(const HeldPermit& aPlace);

  /// When a caller may come back that found no place at any endpoint.
  ///
  /// @param aPerSecond  that all endpoints of the service take together
  /// @param aRelays  that refuse alike
  state::Millis ReturnAfter(const std::string& aService,
                            double aPerSecond,
                            double aRelays);

  /// Writes what became of requests for an endpoint since the last line.
  void LogUse(RelayEndpoint& aEndpoint, std::string_view aWhat);

private:
  struct Keeper
  {
    std::string mHost;
    state::LimitedEndpoint mName;
  };

  std::optional<Keeper> KeeperOf(const RelayEndpoint& aEndpoint) const;
  void Set(RelayEndpoint& aEndpoint, std::optional<double> aPerSecond);

  const RelayDependencies& mParts;
  const state::ShareDirectory& mKeepers;
  std::map<std::string, state::RetrySchedule> mReturnSchedules; ///< by service
};

} // namespace shuntjunction::coordination
