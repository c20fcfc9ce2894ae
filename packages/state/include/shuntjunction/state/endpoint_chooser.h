#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "shuntjunction/state/demand_tracker.h"
#include "shuntjunction/state/endpoint_table.h"
#include "shuntjunction/state/rendezvous.h"

/// Which endpoints a request is offered to.
namespace shuntjunction::state {

/// Most endpoints that one choice names.
inline constexpr std::size_t kMaxCandidates = 8;

/// Endpoints of a team's or prefix's group, at least.
inline constexpr std::size_t kMinGroupWidth = 2;

/// Placement key of a team's use of a model or service.
std::uint64_t
TeamPlacementKey(std::string_view aTeam, std::string_view aServes);

/// The order in which a prefix nobody asks for is offered: the team's group,
/// then the order of each prompt level within it.
///
/// Thread safety: pure.
std::vector<RendezvousMember>
NestedOrder(std::span<const RendezvousMember> aMembers,
            std::uint64_t aTeamKey,
            std::span<const PrefixLevel> aLevels,
            std::size_t aWidth);

/// The ways to choose; all but the first are baselines to measure against.
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

/// A request as a choice sees it.
struct ChoiceQuery
{
  std::string mTeam;
  std::string mServes; ///< model or service
  std::span<const PrefixLevel> mLevels;
  std::uint32_t mBlocks = 0; ///< blocks of the whole prompt
};

/// Settings of a chooser.
struct ChooserSettings
{
  ChoicePolicy mPolicy = ChoicePolicy::kNestedGroups;
  std::size_t mProbes = 2; ///< endpoints asked for their cost
  /// Endpoints of a group, at least. More than mProbes makes each request ask
  /// a random part of its group, so that a prefix is computed in all of it.
  std::size_t mMinWidth = kMinGroupWidth;
  double mTargetLoad = 0.5;     ///< share of an endpoint's time planned for
  std::uint32_t mMinBlocks = 4; ///< shorter prompts are placed by load alone
  std::string mZone;            ///< of this router, preferred on near ties
  std::int64_t mZoneCostMicros = 2000; ///< charged to another zone's endpoint
  DemandSettings mDemand;
};

/// Names endpoints for a request and learns from what is sent.
///
/// Thread safety: none; owned by one traffic thread.
class EndpointChooser
{
public:
  virtual ~EndpointChooser() = default;

  /// Endpoints in order of preference, at most aLimit.
  ///
  /// @param aUsable  from EndpointTable::Usable
  /// @return empty when aUsable is empty
  virtual std::vector<EndpointHandle> Candidates(
    const ChoiceQuery& aQuery,
    std::span<const EndpointHandle> aUsable,
    std::size_t aLimit,
    TimePoint aNow) = 0;

  /// Whether the candidates are to be asked for their cost before one is
  /// taken; otherwise the first is taken.
  virtual bool ProbesFirst(const ChoiceQuery& aQuery) const = 0;

  /// Notes that a request of some engine time was sent.
  virtual void NoteSent(const ChoiceQuery& aQuery,
                        double aEngineSeconds,
                        TimePoint aNow);
};

/// Makes the chooser of a policy.
///
/// @param aTable    outlives the chooser
/// @param aRouters  outlives the chooser; routers that share the traffic
/// @param aRandom   outlives the chooser
std::unique_ptr<EndpointChooser>
MakeChooser(const ChooserSettings& aSettings,
            const EndpointTable& aTable,
            const std::size_t& aRouters,
            RandomSource& aRandom);

/// Engine time until the first token if an endpoint took a request, as far as
/// is known without asking it.
std::int64_t
EstimatedWaitMicros(const EndpointEntry& aEntry, TimePoint aNow);

} // namespace shuntjunction::state
