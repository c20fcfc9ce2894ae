#include "shuntjunction/coordination/engine_monitor.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Between two reports: asking is free on the engine's own machine.
constexpr Millis kInterval{ 300 };

/// After a report that failed.
constexpr Millis kRetryInterval{ 50 };

/// Silent reports in a row after which the engine counts as down; a refused
/// connection says so at once.
constexpr int kSilentReports = 3;

} // namespace

EngineMonitor::EngineMonitor(transport::asio::io_context& aContext,
                             EngineControl& aEngine,
                             EngineNewsServer& aNews,
                             Handler aTake)
  : mContext(aContext)
  , mEngine(aEngine)
  , mNews(aNews)
  , mTake(std::move(aTake))
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
      mNews.SetLife(report->mEndpointIncarnation);
      mTake(*report);
      mNews.SetLoad(static_cast<std::uint32_t>(report->mActive),
                    static_cast<std::uint32_t>(report->mQueued));
      mNews.SetDown(false);
      co_await transport::Sleep(kInterval);
      continue;
    }
    if (++failures >= kSilentReports) {
      mNews.SetDown(true);
    }
    co_await transport::Sleep(kRetryInterval);
  }
}

} // namespace shuntjunction::coordination
