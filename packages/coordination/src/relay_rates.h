#pragma once

// Private to coordination: the rates that endpoints advertise, and a relay's
// permits.

#include <map>
#include <string>

#include "relay_endpoint.h"
#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/state/limit_shares.h"
#include "shuntjunction/state/retry_schedule.h"

namespace shuntjunction::coordination {

/// Permit to send one request to an endpoint that advertises a rate.
struct HeldPermit
{
  RelayEndpointPtr mEndpoint;
  std::string mOwner; ///< host of the companion that granted it
  state::LimitedEndpoint mName;
  std::uint32_t mRateVersion = 0; ///< see state::RateReport
};

/// A relay's knowledge of endpoints' rates, and its access to their owners: the
/// companions that grant the permits.
///
/// Thread safety: none; owned by the traffic thread.
class RelayRates
{
public:
  /// @param aDependencies, aOwners  outlive this object
  RelayRates(const RelayDependencies& aDependencies,
             const state::ShareDirectory& aOwners);

  /// Applies the rate in an endpoint's answer, and reports it to the rate's
  /// owner.
  ///
  /// @param aPermit  with which the request was sent; null: with none
  void NoteRate(RelayEndpoint& aEndpoint,
                const state::EndpointRate& aRate,
                const HeldPermit* aPermit);

  /// Applies an owner's report of an endpoint's rate.
  void ApplyNews(RelayEndpoint& aEndpoint, const state::RateNews& aNews);

  /// Requests a permit for an endpoint that advertises a rate; empty when there
  /// is none now, or no owner that could grant one.
  transport::Task<std::optional<HeldPermit>> Request(RelayEndpointPtr aEndpoint,
                                                     bool aIsUrgent);

  /// Returns a permit whose request was not sent.
  void Return(const HeldPermit& aPermit);

  /// When a caller may retry that found no permit at any endpoint.
  ///
  /// @param aPerSecond  accepted by all endpoints of the service together
  /// @param aRelays  number of relays that refuse in the same way
  state::Millis RetryAfter(const std::string& aService,
                           double aPerSecond,
                           double aRelays);

  /// Logs what became of requests for an endpoint since the last line.
  void LogUse(RelayEndpoint& aEndpoint, std::string_view aWhat);

private:
  struct Owner
  {
    std::string mHost;
    state::LimitedEndpoint mName;
  };

  std::optional<Owner> OwnerOf(const RelayEndpoint& aEndpoint) const;
  void SetRate(RelayEndpoint& aEndpoint, std::optional<double> aPerSecond);

  const RelayDependencies& mDependencies;
  const state::ShareDirectory& mOwners;
  std::map<std::string, state::RetrySchedule> mRetrySchedules; ///< by service
};

} // namespace shuntjunction::coordination
