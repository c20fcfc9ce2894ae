#include "shuntjunction/coordination/engine_monitor.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Interval between reports; polling is cheap, as the engine is on the same
/// machine.
constexpr Millis kPollInterval{ 300 };

/// Delay after a failed report.
constexpr Millis kRetryInterval{ 50 };

/// Consecutive reports without a response after which the engine counts as
/// down. A refused connection fails at once, so that this takes little time.
constexpr int kFailuresUntilDown = 3;

/// Whether a call failed though the engine responded.
bool
HasResponded(const state::Error& aError)
{
  return aError.mCode != state::ErrorCode::kUnavailable &&
         aError.mCode != state::ErrorCode::kTimeout;
}

} // namespace

EngineMonitor::EngineMonitor(transport::asio::io_context& aContext,
                             EngineControl& aEngine,
                             EngineNewsServer& aNews,
                             Handler aOnReport)
  : mContext(aContext)
  , mEngine(aEngine)
  , mNews(aNews)
  , mOnReport(std::move(aOnReport))
{
}

void
EngineMonitor::Start()
{
  transport::Spawn(mContext, Run());
}

Task<void>
EngineMonitor::Run()
{
  int failures = 0;
  while (true) {
    const auto report = co_await mEngine.Report();
    if (report) {
      failures = 0;
      mNews.SetIncarnation(report->mEndpointIncarnation);
      mOnReport(*report);
      mNews.SetLoad(static_cast<std::uint32_t>(report->mActive),
                    static_cast<std::uint32_t>(report->mQueued));
      mNews.SetDown(false);
      co_await transport::Sleep(kPollInterval);
      continue;
    }
    // One that fails its reports may still be running requests.
    failures = HasResponded(report.error()) ? 0 : failures + 1;
    if (failures == 0 || failures >= kFailuresUntilDown) {
      mNews.SetDown(failures != 0);
    }
    co_await transport::Sleep(kRetryInterval);
  }
}

} // namespace shuntjunction::coordination
