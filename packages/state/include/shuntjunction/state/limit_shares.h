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

/// Enforces a limit across all relays, such as a team's, by splitting it into
/// shares, each owned by one companion.
///
/// Before a relay sends a request, it takes the required amount from the
/// companions that own the team's shares, one after the other. Granted amounts
/// are deducted from the share, whatever happens to the relay; a companion that
/// restarts never grants again what it has forgotten. So no process needs to
/// know what all relays admit, and a relay that reaches no companion admits
/// nothing. With several shares the loss of a companion costs a team only part
/// of its limit.
namespace shuntjunction::state {

/// Number of shares per limit. A team that uses at most three quarters of its
/// limit is not affected by the loss of one companion.
inline constexpr std::size_t kSharesPerLimit = 4;

/// Maximum amount of one request, in the limit's unit: no prompt and answer are
/// longer.
inline constexpr std::uint32_t kMaxUsage = 100'000'000;

/// Compact id of a team.
using TeamHash = LimitHash;

/// The hash of a team's name. Thread safety: pure.
TeamHash
HashOfTeam(std::string_view aTeam);

/// A relay's request for part of a share.
struct ShareRequest
{
  ShareKey mKey;
  UsageLimit mLimit;          ///< the whole limit, as known to the relay
  std::uint64_t mVersion = 0; ///< version of the configuration with this limit
  std::uint32_t mAmount = 0;  ///< requested amount
};

/// A companion's reply to a ShareRequest.
struct ShareGrant
{
  std::uint32_t mAmount = 0; ///< at most the requested amount
  Millis mRefill{ 0 };       ///< time until the rest would be available
};

/// Settings of LimitShares.
struct LimitSharesSettings
{
  ShareOwnershipSettings mOwnership;
  /// Number of buckets from which full ones are dropped; a full share needs no
  /// bucket.
  std::size_t mMaxBuckets = 16384;
};

/// The shares of the teams' limits that one companion owns.
///
/// Thread safety: none; owned by one thread.
class LimitShares
{
public:
  /// @param aOwnHost  host of this companion as it appears in lists
  LimitShares(const LimitSharesSettings& aSettings, std::string aOwnHost);

  /// Sets the listed companions; returns whether they changed.
  bool SetHosts(std::vector<std::string> aHosts, TimePoint aNow);

  /// Grants what is available of a share; nothing of a share that this
  /// companion does not own.
  ShareGrant Take(const ShareRequest& aAsk, TimePoint aNow);

  /// Returns a granted amount that was not used.
  void GiveBack(const ShareKey& aKey, std::uint32_t aAmount);

  /// Ownership of shares, also used for other kinds of limits.
  ShareOwnership& Ownership() { return mOwnership; }

  /// Number of shares with a bucket.
  std::size_t Buckets() const { return mBuckets.size(); }

private:
  struct Share
  {
    UsageBucket mBucket;
    std::uint64_t mVersion = 0;
  };

  UsageLimit LimitOfShare(const UsageLimit& aWhole) const;
  Share& ShareOf(const ShareRequest& aAsk, TimePoint aNow);
  void EvictFull(TimePoint aNow);

  LimitSharesSettings mSettings;
  ShareOwnership mOwnership;
  std::map<ShareKey, Share> mBuckets;
};

/// A share, and the companion to request it from.
struct ShareSource
{
  ShareKey mKey;
  std::string mHost;
};

/// The companion that owns an endpoint's rate.
struct RateOwner
{
  std::string mHost;
  bool mIsOnSameHost = false; ///< it runs on the endpoint's host
};

/// Why a relay skips a share.
enum class ShareState : std::uint8_t
{
  kOpen,
  kEmpty,  ///< its companion had nothing left
  kSilent, ///< its companion could not be asked or did not reply
};

/// Tells a relay where to request its teams' shares, and which shares to skip
/// for now.
///
/// Thread safety: none; owned by the traffic thread.
class ShareDirectory
{
public:
  /// @param aSeed  differs between relays, so that they start with different
  /// shares
  explicit ShareDirectory(std::uint64_t aSeed)
    : mSeed(aSeed)
  {
  }

  /// Sets the listed companions: zones by host.
  void SetHosts(std::map<std::string, std::string> aZoneByHost);

  /// Whether any companion is listed.
  bool HasHosts() const { return !mHosts.empty(); }

  /// The companions to ask for a team's shares, in order, those of aZone first.
  /// Empty while no companion is known.
  std::vector<ShareSource> SourcesOf(TeamHash aTeam, std::string_view aZone);

  /// The companion that owns an endpoint's rate: the one on its host if there
  /// is one, otherwise by rendezvous hashing. Empty while no companion is
  /// known.
  std::optional<RateOwner> OwnerOfEndpoint(const std::string& aEndpointHost,
                                           LimitHash aEndpoint) const;

  /// Skips a share for some time; otherwise each request of a team that is over
  /// its limit would cost messages to companions.
  void Exclude(const ShareKey& aKey, ShareState aReason, TimePoint aUntil);

  /// Whether a share is skipped, and why.
  ShareState StateOf(const ShareKey& aKey, TimePoint aNow) const;

private:
  std::uint64_t mSeed;
  std::vector<std::string> mHosts;
  std::map<std::string, std::string> mZoneByHost;
  std::unordered_map<TeamHash, std::array<std::size_t, kSharesPerLimit>>
    mOwners; ///< cached owners by team: indices into mHosts
  /// A share that is skipped.
  struct Excluded
  {
    ShareState mReason = ShareState::kOpen;
    TimePoint mUntil;
  };
  std::map<ShareKey, Excluded> mExcluded;
};

} // namespace shuntjunction::state
