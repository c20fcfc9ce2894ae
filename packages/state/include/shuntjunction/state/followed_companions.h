#pragma once

#include <cstddef>
#include <limits>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Which companions a relay keeps a connection to.
namespace shuntjunction::state {

/// Settings of FollowedCompanions.
struct FollowSettings
{
  /// Companions that are followed at once. Each sends a status per second. At
  /// 2.5 requests per second these are the companions of the last 25 s, longer
  /// than a stream takes.
  std::size_t mMax = 64;
  /// Companions that are followed at once besides the pinned ones.
  std::size_t mMaxUnpinned = std::numeric_limits<std::size_t>::max();
};

/// Companions of other regions that a relay follows in any case, so that it
/// knows engines that may take requests which its own region can't.
inline constexpr std::size_t kPinnedElsewhere = 6;

/// Others that it follows at once while it uses them: as many as watch the
/// store for four availability zones, through which it reports crashes.
inline constexpr std::size_t kUsedElsewhere = 8;

/// Selects the companions that a relay follows.
///
/// In a fleet of up to mMax companions, of which at most mMaxUnpinned are not
/// pinned, that is all of them. In a larger one those that are pinned, and
/// those that were used last: of engines to which requests were sent, or owners
/// of shares. If each relay followed each companion, the connections and
/// messages of a fleet would grow with its square. Thread safety: none.
class FollowedCompanions
{
public:
  explicit FollowedCompanions(const FollowSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Sets the listed companions, and those among them that are followed in any
  /// case.
  ///
  /// @return those that are no longer followed
  std::vector<std::string> SetListed(std::set<std::string> aListed,
                                     const std::vector<std::string>& aPinned);

  /// Notes that a companion is used; a listed one is followed from now on.
  ///
  /// @return the one that is no longer followed instead
  std::optional<std::string> Use(const std::string& aHost);

  /// Whether a companion is listed.
  bool IsListed(const std::string& aHost) const
  {
    return mListed.contains(aHost);
  }

  /// Whether all listed companions are followed.
  bool FollowsAll() const
  {
    return mListed.size() <= mSettings.mMax &&
           mListed.size() - mPinned.size() <= mSettings.mMaxUnpinned;
  }

  /// All that are followed.
  std::set<std::string> Followed() const;

private:
  /// Whether more are followed than the settings allow.
  bool HasTooMany() const
  {
    return mRecent.size() + mPinned.size() > mSettings.mMax ||
           mRecent.size() > mSettings.mMaxUnpinned;
  }

  FollowSettings mSettings;
  std::set<std::string> mListed;
  std::set<std::string> mPinned;
  std::list<std::string> mRecent; ///< the last used first; none is pinned
};

} // namespace shuntjunction::state
