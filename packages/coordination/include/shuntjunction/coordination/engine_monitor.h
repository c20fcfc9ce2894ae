#pragma once

#include <functional>

#include "shuntjunction/coordination/engine_control.h"
#include "shuntjunction/coordination/engine_news.h"

/// Monitors a companion's engine and notifies relays when it is down.
namespace shuntjunction::coordination {

/// Polls the engine's report a few times a second and passes it to a handler.
///
/// Thread safety: none; used on the thread of its context.
class EngineMonitor
{
public:
  using Handler = std::function<void(const EngineReport&)>;

  /// @param aEngine, aNews  outlive the monitor
  /// @param aOnReport  called with each report
  EngineMonitor(transport::asio::io_context& aContext,
                EngineControl& aEngine,
                EngineNewsServer& aNews,
                Handler aOnReport);

  /// Starts polling; runs until the context stops.
  void Start();

private:
  transport::Task<void> Run();

  transport::asio::io_context& mContext;
  EngineControl& mEngine;
  EngineNewsServer& mNews;
  Handler mOnReport;
};

} // namespace shuntjunction::coordination
