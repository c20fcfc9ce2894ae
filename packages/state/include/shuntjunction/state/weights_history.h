#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "shuntjunction/state/clock.h"

/// Versions of a model's weights, and how long ago each was superseded.
namespace shuntjunction::state {

/// Versions that are remembered of one model; older ones are out of use.
inline constexpr std::size_t kMaxWeightsVersions = 16;

/// Time since a version was last known to be the newest, as a process reports
/// it to others.
struct WeightsConfirmation
{
  std::uint64_t mVersion = 0;
  Millis mAge{ 0 };

  bool operator==(const WeightsConfirmation&) const = default;
};

/// A result of WeightsHistory::SupersededFor in milliseconds, for logs: 0 if it
/// is empty, -1 for Millis::max().
std::int64_t
LoggedMillis(std::optional<Millis> aSupersededFor);

/// Versions of one model's weights that were announced.
///
/// The platform does not report when a version was announced, and a process may
/// learn of it late: it may have just started, or been disconnected. So the
/// history records until when each version was confirmed to be the newest: the
/// version that superseded it was announced later than that. Without a
/// confirmation, it may have been announced any time ago.
/// Thread safety: none.
class WeightsHistory
{
public:
  /// Records a version that the platform lists; returns whether it is newer
  /// than all others.
  bool Learn(std::uint64_t aVersion, TimePoint aLearnedAt);

  /// Records that a version was still the newest at a time; an earlier time
  /// than the known one has no effect.
  void Confirm(std::uint64_t aVersion, TimePoint aAt);

  /// Adds the confirmations of another history of the same model.
  void Merge(const WeightsHistory& aOther);

  /// The newest version; 0 when none was announced.
  std::uint64_t Newest() const { return mNewest; }

  /// When this process learned of the newest version; the clock's epoch when
  /// none was announced.
  TimePoint NewestLearnedAt() const { return mNewestLearnedAt; }

  /// Longest time for which a version may have been superseded by a newer one.
  ///
  /// @return empty while it is the newest; Millis::max() if it was never
  ///         confirmed to be
  std::optional<Millis> SupersededFor(std::uint64_t aVersion,
                                      TimePoint aNow) const;

  /// Until when each version was confirmed, for other processes.
  std::vector<WeightsConfirmation> Confirmations(TimePoint aNow) const;

private:
  std::uint64_t mNewest = 0;
  TimePoint mNewestLearnedAt;
  std::map<std::uint64_t, TimePoint> mConfirmed; ///< by version
};

} // namespace shuntjunction::state
