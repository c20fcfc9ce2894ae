#pragma once

// Private to coordination: a relay's part in roll-outs.

#include <map>
#include <memory>
#include <set>
#include <string>

#include "relay_endpoint.h"
#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/state/limit_shares.h"
#include "shuntjunction/state/rollout/rollout_exposure.h"

namespace shuntjunction::coordination {

/// Versions of a service's endpoints that a request may be sent to.
struct VersionFilter
{
  state::VersionChoice mChoice = state::VersionChoice::kAny;
  std::string mTarget; ///< the target version
  /// Endpoints of the target version that get requests; empty: all.
  std::set<std::string> mEndpoints;

  /// Whether an endpoint passes.
  bool Allows(const state::EndpointInfo& aEndpoint) const;
};

/// Chooses versions for requests while operators' orders exist, and reports
/// what becomes of them to the companions that decide the steps.
///
/// Thread safety: none; owned by the traffic thread.
class RelayRollouts
{
public:
  /// @param aDependencies, aOwners, aEndpoints  outlive this object
  RelayRollouts(const RelayDependencies& aDependencies,
                const ViewFreshness& aFreshness,
                const state::ShareDirectory& aOwners,
                const RelayEndpoints& aEndpoints);

  /// Applies the orders of a view.
  void ApplyView(const RelayView& aView);

  /// Applies a step that its decider sent.
  void ApplyNotice(const state::RolloutNotice& aNotice);

  /// Chooses the versions that a request may be sent to.
  ///
  /// @param aIsRepeat  it was sent before
  VersionFilter Choose(const std::string& aService,
                       bool aIsRepeat,
                       state::RandomSource& aRandom) const;

  /// The filter to use when no endpoint passes another; empty when there is
  /// none.
  std::optional<VersionFilter> Alternative(const std::string& aService,
                                           const VersionFilter& aFilter) const;

  /// Whether an endpoint may get any request now. An order may have changed
  /// since the filter of a request was made.
  bool MayUse(const state::EndpointInfo& aEndpoint) const;

  /// Counts a request that is being sent.
  void NoteSent(const state::EndpointInfo& aEndpoint);

  /// Counts the outcome of a request at the first byte of its answer: a stream
  /// may end much later.
  ///
  /// @param aRoute  name of the route
  /// @param aFirst  time from the send to the first byte; empty: it failed
  void NoteOutcome(const state::EndpointInfo& aEndpoint,
                   std::string_view aRoute,
                   std::optional<state::Millis> aFirst);

  /// Counts a request as failed that was counted as answered.
  void NoteLateFailure(const state::EndpointInfo& aEndpoint,
                       std::string_view aRoute,
                       state::Millis aFirst);

  /// Sends the reports of all running orders.
  void SendReports();

  /// Number of running orders.
  std::size_t Running() const;

private:
  struct Order;

  /// The row that counts a request; null if it is not counted.
  state::RolloutOutcomes* RowOf(const state::EndpointInfo& aEndpoint,
                                std::string_view aRoute);
  /// The running order of a service; null if there is none.
  Order* Find(std::string_view aService) const;
  bool HasListed(const std::string& aService,
                 const std::string& aVersion,
                 bool aIsVersion) const;
  std::uint32_t CountOldRunning(const state::RolloutOrder& aOrder) const;
  std::set<std::string> CanaryEndpoints(const state::Rollout& aRollout) const;
  /// Time since its decider confirmed the step of an order.
  state::Millis NoticeAge(const Order& aOrder) const;
  /// The same, or since the store confirmed it.
  state::Millis ConfirmedAge(const Order& aOrder) const;
  void SetGauges(const Order& aOrder) const;

  const RelayDependencies& mDependencies;
  const ViewFreshness& mFreshness; ///< of the view applied last
  const state::ShareDirectory& mOwners;
  const RelayEndpoints& mEndpoints;
  std::uint64_t mStart; ///< identifies this run of the process
  std::map<std::string, std::shared_ptr<Order>, std::less<>> mOrders;
};

} // namespace shuntjunction::coordination
