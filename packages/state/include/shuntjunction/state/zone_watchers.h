#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/relay_config.h"

/// Which processes of an availability zone watch the platform's store for it.
namespace shuntjunction::state {

/// Settings of the selection of zone watchers.
struct ZoneWatcherSettings
{
  std::size_t mPerZone = 2; ///< engines whose companions watch: one may fail
  /// In a fleet of fewer engines each process watches the store itself: the
  /// calls of all of them cost less than the delay after the loss of a zone's
  /// watcher.
  std::size_t mAllBelow = 24;
};

/// Addresses of the engines whose companions watch the store for a zone, in the
/// order in which they are to be queried.
///
/// Depends only on the list: processes with the same list select the same
/// engines, without an election. When an engine leaves, the next one takes its
/// place.
/// @return none in a small fleet, or where the zone has no engine
/// Thread safety: pure.
std::vector<std::string>
SelectZoneWatchers(const std::vector<EndpointInfo>& aEndpoints,
                   std::string_view aZone,
                   const ZoneWatcherSettings& aSettings);

/// The order in which a process queries its zone's watchers.
///
/// While engines register, each longer list may select other watchers, and a
/// process that follows each selection at once needs the whole mirror from each
/// of them. So the watcher that serves is kept until the selection has settled.
/// Thread safety: none.
class WatcherOrder
{
public:
  /// @param aSettleTime  for which a selection must not change before a process
  ///                     leaves the watcher that serves it
  explicit WatcherOrder(Millis aSettleTime)
    : mSettleTime(aSettleTime)
  {
  }

  /// Sets the selected watchers, in the order of the selection.
  void Select(std::vector<std::string> aSelected, TimePoint aNow);

  /// Notes that a watcher serves this process.
  void NoteServing(const std::string& aWatcher) { mServing = aWatcher; }

  /// Notes that a watcher does not serve it any more.
  void NoteFailure(const std::string& aWatcher);

  /// The watchers to query, in order. One that serves but is no longer selected
  /// comes last, until another serves.
  std::vector<std::string> At(TimePoint aNow) const;

  /// Whether the selection has not changed for the settle time, or no watcher
  /// serves.
  bool IsSettled(TimePoint aNow) const
  {
    return !mServing || aNow - mSelectedAt >= mSettleTime;
  }

  /// The selected watchers.
  const std::vector<std::string>& Selected() const { return mSelected; }

private:
  Millis mSettleTime;
  std::vector<std::string> mSelected;
  TimePoint mSelectedAt; ///< when the selection changed last
  std::optional<std::string> mServing;
};

} // namespace shuntjunction::state
