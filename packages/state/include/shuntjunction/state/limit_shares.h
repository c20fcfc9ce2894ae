#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "shuntjunction/state/share_ownership.h"
#include "shuntjunction/state/usage_limit.h"

/// A team's limit over all relays: cut into shares, each kept by one companion.
///
/// A relay takes what a request needs from the companions that keep its team's
/// shares, one after the other, before it sends the request. What a companion
/// gave is gone from its share, whatever becomes of the relay; what it forgets
/// by a restart it never gives again. So nobody has to know what all relays
/// let through, and a relay that reaches no companion lets nothing through.
/// Several shares instead of one, so that the loss of a companion takes a part
/// of the limit from a team, and not all of it.
namespace shuntjunction::state {

/// Shares of each limit. A team that uses up to three quarters of its limit
/// notices the loss of one companion in nothing.
inline constexpr std::size_t kSharesPerLimit = 4;

/// Most that one request counts, in a limit's unit: no prompt and answer are
/// longer.
inline constexpr std::uint32_t kMaxUsage = 100'000'000;

/// Names a team where bytes are scarce.
using TeamHash = LimitHash;

/// The hash of a team's name. Thread safety: pure.
TeamHash
HashOfTeam(std::string_view aTeam);

/// A relay's question for a part of a limit.
struct ShareAsk
{
  ShareKey mKey;
  UsageLimit mLimit;          ///< the team's whole, as the relay knows it
  std::uint64_t mVersion = 0; ///< of the configuration that says so
  std::uint32_t mAmount = 0;  ///< that is wanted
};

/// What a companion gives.
struct ShareGrant
{
  std::uint32_t mAmount = 0; ///< at most what was wanted
  Millis mRefill{ 0 };       ///< until the rest could be given
};

/// Settings of a LimitShares.
struct LimitSharesSettings
{
  ShareOwnershipSettings mOwnership;
  /// Added to a limit's burst: half of what the operator tolerates beyond it.
  /// The other half is for the time between a grant and a request's arrival.
  double mBurstTolerance = 0;
  /// Buckets that are remembered; a share that is full needs none.
  std::size_t mMaxBuckets = 16384;
};

/// A companion's shares of the teams' limits.
///
/// Thread safety: none; owned by one thread.
class LimitShares
{
public:
  /// @param aOwnHost  of this companion, as lists name it
  LimitShares(const LimitSharesSettings& aSettings, std::string aOwnHost);

  /// Takes the companions that are listed now; whether that is news.
  bool SetHosts(std::vector<std::string> aHosts, TimePoint aNow);

  /// Gives what it has of a share; nothing of one that it doesn't keep.
  ShareGrant Take(const ShareAsk& aAsk, TimePoint aNow);

  /// Takes back what was given and not used.
  void GiveBack(const ShareKey& aKey, std::uint32_t aAmount);

  /// The lists of companions, which other keepers of limits share.
  ShareOwnership& Ownership() { return mOwnership; }

  /// Shares that were asked for lately.
  std::size_t Buckets() const { return mBuckets.size(); }

private:
  struct Share
  {
    UsageBucket mBucket;
    std::uint64_t mVersion = 0;
  };

  UsageLimit LimitOfShare(const UsageLimit& aWhole) const;
  Share& ShareOf(const ShareAsk& aAsk, TimePoint aNow);
  void ForgetFull(TimePoint aNow);

  LimitSharesSettings mSettings;
  ShareOwnership mOwnership;
  std::map<ShareKey, Share> mBuckets;
};

/// A companion that a relay may ask for a share.
struct ShareSource
{
  ShareKey mKey;
  std::string mHost;
};

/// The companion that keeps an endpoint's rate.
struct RateOwner
{
  std::string mHost;
  bool mIsOnSameHost = false; ///< it stands beside the endpoint
};

/// Why a relay leaves a share out.
enum class ShareState : std::uint8_t
{
  kOpen,
  kEmpty,  ///< its companion had nothing left
  kSilent, ///< its companion could not be asked
};

/// Where a relay asks for its teams' shares, and which it leaves out for now.
///
/// Thread safety: none; owned by the traffic thread.
class ShareDirectory
{
public:
  /// @param aSeed  of this relay: relays begin with different shares
  explicit ShareDirectory(std::uint64_t aSeed)
    : mSeed(aSeed)
  {
  }

  /// Takes the companions that are listed now, by host, with their zones.
  void SetHosts(std::map<std::string, std::string> aZoneByHost);

  /// Whom to ask for a team's shares, in this order: companions of the own zone
  /// first. Empty while no companion is known.
  std::vector<ShareSource> SourcesOf(TeamHash aTeam, std::string_view aZone);

  /// The companion that keeps the rate of an endpoint: the one on its host, if
  /// there is one. Empty while no companion is known.
  std::optional<RateOwner> OwnerOfEndpoint(const std::string& aEndpointHost,
                                           LimitHash aEndpoint) const;

  /// Leaves a share out for some time: a team that is over its limit would
  /// otherwise cost questions for each of its requests.
  void Exclude(const ShareKey& aKey, ShareState aWhy, TimePoint aUntil);

  /// Whether a share is left out, and why.
  ShareState StateOf(const ShareKey& aKey, TimePoint aNow) const;

private:
  std::uint64_t mSeed;
  std::vector<std::string> mHosts;
  std::map<std::string, std::string> mZoneByHost;
  std::unordered_map<TeamHash, std::array<std::size_t, kSharesPerLimit>>
    mKeepers; ///< indices of mHosts; of the teams that were looked up
  /// A share that is left out.
  struct Closed
  {
    ShareState mWhy = ShareState::kOpen;
    TimePoint mUntil;
  };
  std::map<ShareKey, Closed> mClosed;
};

} // namespace shuntjunction::state
