#include "shuntjunction/coordination/throttled_engine_control.h"

#include <utility>

namespace shuntjunction::coordination {

using state::Millis;
using state::Result;
using transport::Task;

ThrottledEngineControl::ThrottledEngineControl(
  std::unique_ptr<EngineControl> aEngine,
  const state::Clock& aClock,
  EventLog& aLog)
  : mEngine(std::move(aEngine))
  , mClock(aClock)
  , mLog(aLog)
{
  mEngine->SetNoticeHandler(
    [this](const auto& aNotice) { HandleNotice(aNotice); });
}

void
ThrottledEngineControl::SetNoticeHandler(NoticeHandler aHandler)
{
  mNoticeHandler = std::move(aHandler);
}

void
ThrottledEngineControl::HandleNotice(const state::EndpointNotice& aNotice)
{
  const auto change =
    mAvailability.Take(aNotice, mClock.Now(), mClock.WallMillis());
  if (change.mCooldown > Millis(0)) {
    mLog.Write(EventLine("engine", "cooldown")
                 .Add("cooldown_ms", change.mCooldown.count()));
  }
  if (mNoticeHandler) {
    mNoticeHandler(aNotice);
  }
}

Task<void>
ThrottledEngineControl::AwaitCooldownEnd()
{
  // Another call may have been refused, which extends the cooldown, while this
  // one waited.
  auto left = mAvailability.RequestedCooldownEnd() - mClock.Now();
  while (left.count() > 0) {
    co_await transport::Sleep(std::chrono::ceil<Millis>(left));
    left = mAvailability.RequestedCooldownEnd() - mClock.Now();
  }
}

Task<Result<EngineReport>>
ThrottledEngineControl::Report()
{
  co_await AwaitCooldownEnd();
  co_return co_await mEngine->Report();
}

Task<Result<PartChanges>>
ThrottledEngineControl::Changes(std::uint64_t aSince, Millis aWait)
{
  co_await AwaitCooldownEnd();
  co_return co_await mEngine->Changes(aSince, aWait);
}

Task<Result<OrderOutcome>>
ThrottledEngineControl::Order(LoadOrder aOrder)
{
  co_await AwaitCooldownEnd();
  co_return co_await mEngine->Order(std::move(aOrder));
}

} // namespace shuntjunction::coordination
