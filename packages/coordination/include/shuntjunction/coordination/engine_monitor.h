#pragma once

#include <functional>

#include "shuntjunction/coordination/engine_control.h"
#include "shuntjunction/coordination/engine_news.h"

/// Watches the engine beside a companion and tells relays when it is down.
namespace shuntjunction::coordination {

/// Asks the engine for its report a few times a second, and hands it on.
///
/// Thread safety: none; used on the thread of its context.
class EngineMonitor
{
public:
  using Handler = std::function<void(const EngineReport&)>;

  /// The engine and the news outlive the watch.
  /// @param aTake  called with each report
  EngineMonitor(transport::asio::io_context& aContext,
                EngineControl& aEngine,
                EngineNewsServer& aNews,
                Handler aTake);

  /// Begins to watch.
  void Start();

private:
  transport::Task<void> Run();

  transport::asio::io_context& mContext;
  EngineControl& mEngine;
  EngineNewsServer& mNews;
  Handler mTake;
};

} // namespace shuntjunction::coordination
