#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/relay_codec.h"
#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/coordination/relay_settings.h"
#include "shuntjunction/state/list_freshness.h"
#include "shuntjunction/state/rollout/rollout_comparison.h"
#include "shuntjunction/state/share_ownership.h"

/// Decides the steps of roll-outs and writes them to the store.
namespace shuntjunction::coordination {

/// Dependencies of a RolloutController; all of them outlive it.
struct RolloutControllerDependencies
{
  transport::asio::io_context& mContext;
  const FleetSettings& mSettings;
  Platform& mPlatform;
  const StoreCodec& mCodec;
  const state::Clock& mClock;
  EventLog& mLog;
  state::ShareOwnership& mOwnership;
  const state::ListFreshness& mRolloutList;
  /// Sends a step to all connected relays.
  std::function<void(const state::RolloutNotice&)> mPublish;
};

/// Decides the steps of those roll-outs whose services this companion owns.
///
/// A step is a conditional write of the order's status on the revision that was
/// decided upon. Relays are informed after the write, except of a halt, which
/// is sent first and written as soon as the store allows.
/// Thread safety: none; used on the thread of its context.
class RolloutController
{
public:
  explicit RolloutController(
    const RolloutControllerDependencies& aDependencies);
  ~RolloutController();
  RolloutController(const RolloutController&) = delete;
  RolloutController& operator=(const RolloutController&) = delete;

  /// Starts deciding.
  void Start();

  /// Sets a newer view of the platform's objects.
  void ApplyView(std::shared_ptr<const RelayView> aView);

  /// Applies a relay's report.
  void ApplyReport(const state::RolloutReport& aReport);

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::coordination
