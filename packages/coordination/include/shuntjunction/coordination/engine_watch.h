#pragma once

#include "shuntjunction/coordination/engine_control.h"
#include "shuntjunction/coordination/engine_news.h"

/// Watches the engine beside a companion and tells relays when it is down.
namespace shuntjunction::coordination {

/// Asks the engine for its report a few times a second.
///
/// Thread safety: none; used on the thread of its context.
class EngineWatch
{
public:
  /// The engine and the news outlive the watch.
  EngineWatch(transport::asio::io_context& aContext,
              EngineControl& aEngine,
              EngineNewsServer& aNews);

  /// Begins to watch.
  void Start();

private:
  transport::Task<void> Run();

  transport::asio::io_context& mContext;
  EngineControl& mEngine;
  EngineNewsServer& mNews;
};

} // namespace shuntjunction::coordination
