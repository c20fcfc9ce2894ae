#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "shuntjunction/state/demand_tracker.h"
#include "shuntjunction/state/endpoint_table.h"
#include "shuntjunction/state/rendezvous.h"

/// Selection of the endpoints that a request is offered to.
namespace shuntjunction::state {

/// Upper limit of the candidates of one choice.
inline constexpr std::size_t kMaxCandidates = 8;

/// Minimum width of a team's or prefix's group, its number of endpoints.
inline constexpr std::size_t kMinGroupWidth = 2;

/// Rendezvous key of a team and the model or service it uses.
std::uint64_t
TeamPlacementKey(std::string_view aTeam, std::string_view aServedName);

/// Order in which endpoints are offered a prefix without recorded demand:
/// picks the team's group of aWidth endpoints, then orders it by each prompt
/// level in turn.
///
/// Thread safety: pure.
std::vector<RendezvousMember>
NestedOrder(std::span<const RendezvousMember> aMembers,
            std::uint64_t aTeamKey,
            std::span<const PrefixLevel> aLevels,
            std::size_t aWidth);

/// Selection policies; all but the first are baselines for comparison.
enum class ChoicePolicy : std::uint8_t
{
  kNestedGroups,
  kRendezvous,
  kPowerOfTwo,
  kLeastLoad,
  kRandom,
};

/// Names of ChoicePolicy.
inline constexpr EnumNames<ChoicePolicy, 5> kChoicePolicyNames{
  { "nested-groups", "rendezvous", "power-of-two", "least-load", "random" }
};

/// Properties of a request that a choice depends on.
struct ChoiceQuery
{
  std::string mTeam;
  std::string mServedName; ///< model or service
  std::span<const PrefixLevel> mLevels;
  std::uint32_t mBlocks = 0; ///< of the whole prompt
};

/// Settings of a chooser.
struct ChooserSettings
{
  ChoicePolicy mPolicy = ChoicePolicy::kNestedGroups;
  std::size_t mProbes = 2; ///< endpoints probed for their cost
  /// Minimum width of a group. If it exceeds mProbes, each request probes a
  /// random subset of its group, so that a prefix ends up computed on all of
  /// its endpoints.
  std::size_t mMinWidth = kMinGroupWidth;
  double mTargetLoad = 0.5;     ///< utilization of an endpoint to plan for
  std::uint32_t mMinBlocks = 4; ///< shorter prompts are placed without probing
  std::string mZone;            ///< this router's, preferred on near ties
  std::int64_t mZoneCostMicros = 2000; ///< penalty of another zone
  DemandSettings mDemand;
};

/// Selects endpoints for a request; may adapt to the requests sent before.
///
/// Thread safety: none; owned by one traffic thread.
class EndpointChooser
{
public:
  virtual ~EndpointChooser() = default;

  /// Endpoints in order of preference, at most aLimit.
  ///
  /// @param aUsable  result of EndpointTable::Usable
  /// @return empty when aUsable is empty
  virtual std::vector<EndpointHandle> Candidates(
    const ChoiceQuery& aQuery,
    std::span<const EndpointHandle> aUsable,
    std::size_t aLimit,
    TimePoint aNow) = 0;

  /// Whether to probe the candidates for their cost and take the cheapest;
  /// otherwise the first is taken.
  virtual bool ProbesFirst(const ChoiceQuery& aQuery) const = 0;

  /// Records that a request was sent that takes some engine time.
  virtual void NoteSent(const ChoiceQuery& aQuery,
                        double aEngineSeconds,
                        TimePoint aNow);
};

/// Creates the chooser of a policy.
///
/// @param aTable    must outlive the chooser
/// @param aRouters  must outlive the chooser; number of routers that share the
///                  traffic
/// @param aRandom   must outlive the chooser
std::unique_ptr<EndpointChooser>
MakeChooser(const ChooserSettings& aSettings,
            const EndpointTable& aTable,
            const std::size_t& aRouters,
            RandomSource& aRandom);

/// Estimated engine time until the first token of a new request at an endpoint,
/// from its last reported wait and what was sent to it since.
std::int64_t
EstimatedWaitMicros(const EndpointEntry& aEntry, TimePoint aNow);

} // namespace shuntjunction::state
