#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "shuntjunction/state/endpoint_incarnation.h"
#include "shuntjunction/state/endpoint_rate.h"
#include "shuntjunction/state/share_ownership.h"
#include "shuntjunction/state/usage_limit.h"

/// Rate limits that overloaded endpoints advertise, enforced across all relays.
///
/// An endpoint advertises its rate in its responses, and each response reaches
/// only one relay. One companion, the owner, holds the rate: the companion on
/// the endpoint's host or, if there is none, the one chosen by rendezvous
/// hashing. Relays report advertised rates to the owner, which distributes them
/// to all relays. Each relay acquires a permit from the owner for each request
/// that it sends.
namespace shuntjunction::state {

/// Hash of one incarnation of an endpoint, since a rate does not outlive the
/// incarnation that advertised it.
/// Thread safety: pure.
LimitHash
HashOfIncarnation(std::string_view aEndpointId,
                  EndpointIncarnation aIncarnation);

/// The endpoint that a message is about.
struct LimitedEndpoint
{
  LimitHash mHash = 0;
  bool mIsOnSameHost = false; ///< the addressed companion runs on its host
};

/// A relay's request for a permit to send one request.
struct PlaceAsk
{
  LimitedEndpoint mEndpoint;
  double mPerSecond = 0; ///< as the relay knows it, for a restarted owner
  bool mIsUrgent = false;
};

/// The owner's reply to a PlaceAsk.
struct PlaceGrant
{
  bool mIsGranted = false;
  /// Version of the rate when the permit was granted; see RateReport.
  std::uint32_t mRateVersion = 0;
  Millis mRefill{ 0 }; ///< until a permit may be free; if denied
};

/// What an endpoint's response advertised, as reported by a relay.
struct RateReport
{
  LimitedEndpoint mEndpoint;
  EndpointRate mRate;
  /// Version from the permit of the answered request. A response without a rate
  /// ends the limit only if no response has advertised one since, because
  /// responses can overtake each other.
  std::uint32_t mRateVersion = 0;
};

/// What an owner sends to all relays.
struct RateNews
{
  LimitHash mEndpoint = 0;
  std::optional<double> mPerSecond; ///< empty: no rate is advertised any more
};

/// Permit requests under one rate since the last collection.
struct RateUsage
{
  LimitHash mEndpoint = 0;
  double mPerSecond = 0;
  std::uint64_t mGiven = 0;
  std::uint64_t mDenied = 0;
};

/// Settings of EndpointLimits.
struct EndpointLimitsSettings
{
  /// Minimum enforced rate in requests per second, whatever an endpoint
  /// advertises: if nothing were sent, the end of the limit would never be
  /// noticed.
  double mMinRate = 0.25;
  /// Maximum enforced rate in requests per second.
  double mMaxRate = 1e6;
  /// Burst size: this many seconds of the rate plus this many requests.
  double mBurstSeconds = 1.0;
  double mBurstRequests = 2.0;
  /// Permits reserved for urgent requests, so that they go first.
  double mUrgentReserve = 0.5;
  /// The owner drops a rate that was neither reported nor requested for this
  /// long.
  Millis mForgetAfter{ 60000 };
  std::size_t mMaxEndpoints = 4096;
  /// Delay after which a relay that asked a companion other than the owner asks
  /// again.
  Millis mNotOwnerRetryDelay{ 500 };
};

/// The advertised rates that one companion owns.
///
/// Over any period the permits granted for a rate never exceed the rate plus
/// one burst, whatever happens to the relays. A new owner starts with an empty
/// bucket.
///
/// Thread safety: none; owned by one thread.
class EndpointLimits
{
public:
  /// @param aOwnership  of shares among companions; outlives this
  /// @param aFirstVersion  random for each process
  EndpointLimits(const EndpointLimitsSettings& aSettings,
                 ShareOwnership& aOwnership,
                 std::uint32_t aFirstVersion);

  /// Handles a report; returns the update to send to all relays, if any.
  std::optional<RateNews> Note(const RateReport& aReport, TimePoint aNow);

  /// Grants a permit, or returns when one may be available.
  PlaceGrant Take(const PlaceAsk& aAsk, TimePoint aNow);

  /// Takes back a permit whose request was not sent.
  void GiveBack(LimitHash aEndpoint);

  /// Drops the rates that another companion owns according to the newest list.
  void ForgetUnowned();

  /// All current rates, for a relay that connects.
  std::vector<RateNews> Known() const;

  /// Permit requests per rate since the last call; rates without any are left
  /// out.
  std::vector<RateUsage> CollectUsage();

private:
  struct Limited
  {
    UsageBucket mBucket;
    std::uint32_t mRateVersion = 0;
    double mAdvertised = 0;
    bool mIsOnSameHost = false;
    TimePoint mLastUsedAt;
    std::uint64_t mGiven = 0; ///< since the last collection
    std::uint64_t mDenied = 0;
  };

  bool IsOwner(const LimitedEndpoint& aEndpoint, TimePoint aNow);
  UsageLimit LimitOf(double aPerSecond) const;
  Limited& Find(const LimitedEndpoint& aEndpoint,
                double aPerSecond,
                TimePoint aNow);
  void EvictIdle(TimePoint aNow);

  EndpointLimitsSettings mSettings;
  ShareOwnership& mOwnership;
  std::uint32_t mRateVersion;
  std::map<LimitHash, Limited> mLimited;
};

} // namespace shuntjunction::state
