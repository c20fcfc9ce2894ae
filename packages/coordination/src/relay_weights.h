#pragma once

// Private to coordination: what a relay knows of the ages of weights.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "shuntjunction/coordination/relay.h"

namespace shuntjunction::coordination {

/// Determines how long ago weights were superseded.
///
/// The platform does not report it. A relay that has just started, or was
/// disconnected while new weights were announced, asks companions until when
/// each version was the newest; without an answer the older ones count as
/// superseded long ago.
/// Thread safety: none; owned by the traffic thread.
class RelayWeights
{
public:
  /// @param aDependencies  outlives this object
  /// @param aMargin  before the operator's deadline for older weights, from
  ///                 which no request is sent to them
  RelayWeights(const RelayDependencies& aDependencies, state::Millis aMargin);

  /// Applies the versions and endpoints of a view.
  ///
  /// @param aZoneByHost  of all companions
  void ApplyView(const RelayView& aView,
                 const std::map<std::string, std::string>& aZoneByHost);

  /// The versions of a model; null when none was announced.
  const state::WeightsHistory* Find(const std::string& aModel) const;

  /// Whether no request may begin on a version any more, because it may have
  /// been superseded for too long.
  bool IsOutdated(const state::WeightsHistory& aHistory,
                  std::uint64_t aVersion,
                  state::TimePoint aNow) const;

  /// Whether companions are being asked about a version for the first time.
  bool IsPending(const std::string& aModel) const;

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::coordination
