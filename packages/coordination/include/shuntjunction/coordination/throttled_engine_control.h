#pragma once

#include <memory>

#include "shuntjunction/coordination/engine_control.h"
#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/state/endpoint_availability.h"

namespace shuntjunction::coordination {

/// Decorator that delays control calls during cooldowns requested by the
/// engine.
///
/// A call made during a cooldown waits until it ends. Calls are not delayed
/// while the engine drains: reports and orders continue until it has stopped.
/// Thread safety: none; used on one thread.
class ThrottledEngineControl final : public EngineControl
{
public:
  /// @param aClock, aLog  outlive this
  ThrottledEngineControl(std::unique_ptr<EngineControl> aEngine,
                         const state::Clock& aClock,
                         EventLog& aLog);

  void SetNoticeHandler(NoticeHandler aHandler) override;
  transport::Task<state::Result<EngineReport>> Report() override;
  transport::Task<state::Result<PartChanges>> Changes(
    std::uint64_t aSince,
    state::Millis aWait) override;
  transport::Task<state::Result<OrderOutcome>> Order(LoadOrder aOrder) override;

private:
  void HandleNotice(const state::EndpointNotice& aNotice);
  transport::Task<void> AwaitCooldownEnd();

  std::unique_ptr<EngineControl> mEngine;
  const state::Clock& mClock;
  EventLog& mLog;
  state::EndpointAvailability mAvailability;
  NoticeHandler mNoticeHandler;
};

} // namespace shuntjunction::coordination
