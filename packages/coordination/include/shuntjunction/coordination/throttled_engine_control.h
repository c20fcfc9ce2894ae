#pragma once

#include <memory>

#include "shuntjunction/coordination/engine_control.h"
#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/state/endpoint_availability.h"

namespace shuntjunction::coordination {

/// Control calls that keep to the cooldowns which their engine asks for.
///
/// A call that comes during one waits for its end. A drain does not hold calls
/// back: reports and orders go on until the engine has ended.
/// Thread safety: none; used on one thread.
class ThrottledEngineControl final : public EngineControl
{
public:
  /// @param aClock, aLog  outlive this
  ThrottledEngineControl(std::unique_ptr<EngineControl> aEngine,
                         const state::Clock& aClock,
                         EventLog& aLog);

  void SetNoticeHandler(NoticeHandler aTake) override;
  transport::Task<state::Result<EngineReport>> Report() override;
  transport::Task<state::Result<PartChanges>> Changes(
    std::uint64_t aSince,
    state::Millis aWait) override;
  transport::Task<state::Result<OrderOutcome>> Order(LoadOrder aOrder) override;

private:
  void Take(const state::EndpointNotice& aNotice);
  transport::Task<void> AwaitCooldownEnd();

  std::unique_ptr<EngineControl> mEngine;
  const state::Clock& mClock;
  EventLog& mLog;
  state::EndpointAvailability mAvailability;
  NoticeHandler mTake;
};

} // namespace shuntjunction::coordination
