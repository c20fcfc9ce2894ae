#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "shuntjunction/state/clock.h"

/// Which companion owns a share of a limit, and since when.
namespace shuntjunction::state {

/// Compact id of the team or endpoint that a limit applies to.
using LimitHash = std::uint64_t;

/// Identifies one share of a limit.
struct ShareKey
{
  LimitHash mLimit = 0;
  std::uint8_t mShare = 0; ///< less than the limit's number of shares

  auto operator<=>(const ShareKey&) const = default;
};

/// The companion that owns a share, by rendezvous hashing: every process with
/// the same list gets the same result, and a companion that joins or leaves
/// moves only its own shares.
///
/// @param aHosts  of the companions
/// @return index into aHosts
/// @pre  aHosts is not empty
/// Thread safety: pure.
std::size_t
OwnerOfShare(const std::vector<std::string>& aHosts, const ShareKey& aKey);

/// Settings of ShareOwnership.
struct ShareOwnershipSettings
{
  /// Delay before a share taken over from another companion may be granted
  /// from. Relays may use a list with the former owner for this long.
  Millis mHandover{ 5000 };
  /// Period after the first list in which list changes need no handover.
  /// Engines that start together are listed one after the other, and after a
  /// full restart all teams would otherwise wait for the last of them.
  Millis mStartupWindow{ 2000 };
  /// Maximum number of shares whose owner is cached for each list.
  std::size_t mMaxShares = 16384;
};

/// The lists of companions that relays may currently use, as known to one
/// companion.
///
/// Thread safety: none; owned by one thread.
class ShareOwnership
{
public:
  /// @param aOwnHost  host of this companion as it appears in lists
  ShareOwnership(const ShareOwnershipSettings& aSettings, std::string aOwnHost);

  /// Sets the listed companions; returns whether they changed.
  bool SetHosts(std::vector<std::string> aHosts, TimePoint aNow);

  /// Whether this companion has owned a share for so long that no relay asks
  /// another companion for it.
  bool IsOwner(const ShareKey& aKey, TimePoint aNow);

  /// Whether this companion owns a share according to the newest list.
  ///
  /// @pre  a list is known
  bool IsOwnerInNewest(const ShareKey& aKey);

  /// Earliest time from which this companion may grant from its own shares.
  ///
  /// @pre  IsOwner returned true for one of them
  TimePoint OwnedSince() const;

private:
  /// A list of companions, and since when it is in use.
  struct Listing
  {
    std::vector<std::string> mHosts;
    TimePoint mSince;
    std::map<ShareKey, bool> mIsOwn; ///< cached results of lookups
  };

  bool IsOwnIn(Listing& aListing, const ShareKey& aKey) const;

  ShareOwnershipSettings mSettings;
  std::string mOwnHost;
  std::deque<Listing> mListings; ///< newest last
  bool mIsFirstListing = true;   ///< the oldest listing is this process's first
};

} // namespace shuntjunction::state
