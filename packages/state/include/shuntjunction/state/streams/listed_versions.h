#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/relay_config.h"

namespace shuntjunction::state {

/// The software versions of each service's endpoints, as one process has seen
/// them listed.
///
/// Thread safety: none; owned by one thread.
class ListedVersions
{
public:
  /// Applies a list of endpoints.
  void Update(const std::vector<EndpointInfo>& aEndpoints, TimePoint aNow);

  /// Notes that changes before a time may have been missed.
  void FollowSince(TimePoint aTime)
  {
    mFollowedSince = std::max(mFollowedSince.value_or(aTime), aTime);
  }

  /// The one version that a service's endpoints had for a time; empty if they
  /// had several, or if none is listed. This process may have run for less.
  ///
  /// @param aTime  until now
  std::optional<std::string> OnlyVersion(std::string_view aService,
                                         Millis aTime,
                                         TimePoint aNow) const;

  /// The versions that a service's endpoints have, or had within a time.
  ///
  /// @param aTime  until now
  std::set<std::string> Recent(std::string_view aService,
                               Millis aTime,
                               TimePoint aNow) const;

  /// Whether lists were applied for a time without a gap.
  ///
  /// @param aTime  until now
  bool HasFollowedFor(Millis aTime, TimePoint aNow) const
  {
    return mFollowedSince && aNow - *mFollowedSince >= aTime;
  }

private:
  struct Versions
  {
    std::set<std::string> mListed;
    std::map<std::string, TimePoint> mRemoved; ///< when each was last listed
  };

  std::map<std::string, Versions, std::less<>> mServices;
  std::optional<TimePoint> mFollowedSince;
};

} // namespace shuntjunction::state
