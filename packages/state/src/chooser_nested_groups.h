#pragma once

// Internal to the state package.

#include "shuntjunction/state/endpoint_chooser.h"

namespace shuntjunction::state {

/// Chooses from nested rendezvous groups: the team's group, then within it that
/// of each prompt level. The width of each group follows its demand.
class NestedGroupsChooser final : public EndpointChooser
{
public:
  NestedGroupsChooser(const ChooserSettings& aSettings,
                      const EndpointTable& aTable,
                      const std::size_t& aRouters,
                      RandomSource& aRandom);

  std::vector<EndpointHandle> Candidates(
    const ChoiceQuery& aQuery,
    std::span<const EndpointHandle> aUsable,
    std::size_t aLimit,
    TimePoint aNow) override;
  bool ProbesFirst(const ChoiceQuery& aQuery) const override;
  void NoteSent(const ChoiceQuery& aQuery,
                double aEngineSeconds,
                TimePoint aNow) override;

private:
  /// Width of a key's group, its number of endpoints.
  std::size_t Width(std::uint64_t aKey, TimePoint aNow) const;
  std::vector<RendezvousMember> Members(
    std::span<const EndpointHandle> aUsable) const;

  ChooserSettings mSettings;
  const EndpointTable& mTable;
  const std::size_t& mRouters;
  RandomSource& mRandom;
  DemandTracker mDemand;
};

} // namespace shuntjunction::state
