#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "shuntjunction/state/clock.h"

/// Which companion keeps a share of a limit, and since when.
namespace shuntjunction::state {

/// Names what a limit is on, a team or an endpoint, where bytes are scarce.
using LimitHash = std::uint64_t;

/// A share of a limit.
struct ShareKey
{
  LimitHash mLimit = 0;
  std::uint8_t mShare = 0; ///< below the limit's number of shares

  auto operator<=>(const ShareKey&) const = default;
};

/// Which of some companions keeps a share, by rendezvous: each process computes
/// the same of the same list, and a companion that comes or goes moves only its
/// own shares.
///
/// @param aHosts  of the companions
/// @return index of aHosts
/// @pre  aHosts is not empty
/// Thread safety: pure.
std::size_t
OwnerOfShare(const std::vector<std::string>& aHosts, const ShareKey& aKey);

/// Settings of ShareOwnership.
struct ShareOwnershipSettings
{
  /// Before a share that came from another companion is given from: so long may
  /// relays believe in a list in which the other still keeps it.
  Millis mHandover{ 5000 };
  /// After its first list, in which a companion takes what changes there
  /// without a handover: engines that started with it are listed one after the
  /// other, and after a return of everything all teams would wait for the last
  /// of them.
  Millis mStartupWindow{ 2000 };
  /// Shares whose keeper is remembered for each list.
  std::size_t mMaxShares = 16384;
};

/// The lists of companions that relays may believe in, as one companion knows
/// them.
///
/// Thread safety: none; owned by one thread.
class ShareOwnership
{
public:
  /// @param aOwnHost  of this companion, as lists name it
  ShareOwnership(const ShareOwnershipSettings& aSettings, std::string aOwnHost);

  /// Takes the companions that are listed now; whether that is news.
  bool SetHosts(std::vector<std::string> aHosts, TimePoint aNow);

  /// Whether this companion has kept a share for so long that nobody asks
  /// another for it.
  bool IsOwner(const ShareKey& aKey, TimePoint aNow);

  /// Whether it keeps a share by the newest list.
  ///
  /// @pre  a list is known
  bool IsOwnerInNewest(const ShareKey& aKey);

  /// Since when it may have kept the shares that are its own.
  ///
  /// @pre  IsOwner was true of one of them
  TimePoint OwnedSince() const;

private:
  /// Companions that were listed, and since when.
  struct Listing
  {
    std::vector<std::string> mHosts;
    TimePoint mSince;
    std::map<ShareKey, bool> mIsOwn; ///< of the shares that were looked up
  };

  bool IsOwnIn(Listing& aListing, const ShareKey& aKey) const;

  ShareOwnershipSettings mSettings;
  std::string mOwnHost;
  std::deque<Listing> mListings; ///< the newest last
  bool mIsFirstListing = true;   ///< the oldest of them is this process's first
};

} // namespace shuntjunction::state
