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

/// Rates that endpoints in need take from all relays together.
///
/// An endpoint names its rate in its answers, and each answer reaches one relay
/// only. One companion keeps the rate: the one beside the endpoint, or, of an
/// endpoint that has none, the one that rendezvous names. Relays report to it
/// what answers say, it tells all of them, and each takes a place from it for
/// each request that it sends there.
namespace shuntjunction::state {

/// The hash of one life of an endpoint: another life has named nothing yet.
/// Thread safety: pure.
LimitHash
HashOfIncarnation(std::string_view aEndpointId, EndpointIncarnation aLife);

/// Which endpoint a message is about, and whether its companion is asked.
struct LimitedEndpoint
{
  LimitHash mHash = 0;
  bool mIsOnSameHost = false; ///< the companion that is asked stands beside it
};

/// A relay's question for a place: leave to send one request.
struct PlaceAsk
{
  LimitedEndpoint mEndpoint;
  double mPerSecond = 0; ///< as the relay knows it, for a keeper that restarted
  bool mIsUrgent = false;
};

/// A keeper's answer.
struct PlaceGrant
{
  bool mIsGiven = false;
  /// What the keeper knew of the rate when it gave the place; see RateReport.
  std::uint32_t mRateVersion = 0;
  Millis mRefill{ 0 }; ///< until there could be one, if none was given
};

/// What an endpoint's answer said, as a relay reports it.
struct RateReport
{
  LimitedEndpoint mEndpoint;
  EndpointRate mRate;
  /// Of the place with which the answered request was sent. That a rate is
  /// absent ends it only if no answer named one since: answers pass each other.
  std::uint32_t mRateVersion = 0;
};

/// What a keeper tells all relays.
struct RateNews
{
  LimitHash mEndpoint = 0;
  std::optional<double> mPerSecond; ///< empty: none is named any more
};

/// What was asked of one rate since that was last told.
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
  /// The rate by which an endpoint is asked at least, whatever it names: nobody
  /// would hear of the end of a rate at which nothing is sent. Requests a
  /// second.
  double mMinRate = 0.25;
  /// A rate above is taken for this one, in requests a second.
  double mMaxRate = 1e6;
  /// What may be sent at once: so many seconds of the rate, and requests.
  double mBurstSeconds = 1.0;
  double mBurstRequests = 2.0;
  /// Places that only urgent requests take: they go first that way.
  double mUrgentReserve = 0.5;
  /// A rate of which nothing is heard for so long is forgotten by its keeper.
  Millis mForgetAfter{ 60000 };
  std::size_t mMaxEndpoints = 4096;
  /// A relay that asked a companion that is not the keeper asks again then.
  Millis mNotOwnerRetryDelay{ 500 };
};

/// The rates that one companion keeps.
///
/// Whatever becomes of relays, what is given of a rate in any time is at most
/// the rate and one burst. A keeper begins with nothing to give.
///
/// Thread safety: none; owned by one thread.
class EndpointLimits
{
public:
  /// @param aListings  of companions; outlives this
  /// @param aFirstEdition  drawn anew for each process
  EndpointLimits(const EndpointLimitsSettings& aSettings,
                 ShareOwnership& aListings,
                 std::uint32_t aFirstEdition);

  /// Takes what an endpoint's answer said; what all relays shall hear of it.
  std::optional<RateNews> Note(const RateReport& aReport, TimePoint aNow);

  /// Gives a place, or says when there could be one.
  PlaceGrant Take(const PlaceAsk& aAsk, TimePoint aNow);

  /// Takes back a place whose request was not sent.
  void GiveBack(LimitHash aEndpoint);

  /// Forgets rates that another companion keeps by the newest list.
  void ForgetUnowned();

  /// What is known, for a relay that connects.
  std::vector<RateNews> Known() const;

  /// What was asked of each rate since the last call, if anything was.
  std::vector<RateUsage> CollectUsage();

private:
  struct Limited
  {
    UsageBucket mBucket;
    std::uint32_t mRateVersion = 0;
    double mNamed = 0;
    bool mIsOnSameHost = false;
    TimePoint mHeardAt;
    std::uint64_t mGiven = 0; ///< since that was last told
    std::uint64_t mDenied = 0;
  };

  bool IsOwner(const LimitedEndpoint& aEndpoint, TimePoint aNow);
  UsageLimit LimitOf(double aPerSecond) const;
  Limited& Find(const LimitedEndpoint& aEndpoint,
                double aPerSecond,
                TimePoint aNow);
  void ForgetSilent(TimePoint aNow);

  EndpointLimitsSettings mSettings;
  ShareOwnership& mOwnership;
  std::uint32_t mRateVersion;
  std::map<LimitHash, Limited> mLimited;
};

} // namespace shuntjunction::state
