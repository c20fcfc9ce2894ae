#pragma once

#include <functional>
#include <memory>

#include "shuntjunction/coordination/engine_control.h"
#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/state/part_index.h"

/// Follows which prompt parts an engine or a part store caches.
namespace shuntjunction::coordination {

/// Polls for changes of cached parts and delivers them in batches.
///
/// The result is a hint: changes arrive late, and a few never do.
/// Thread safety: none; used on the thread of its context.
class PartFollower
{
public:
  /// Receives the names of parts that are cached now, and of those that no
  /// longer are, in one incarnation of their holder.
  using Handler = std::function<void(state::EndpointIncarnation aIncarnation,
                                     const std::vector<std::string>& aGained,
                                     const std::vector<std::string>& aLost)>;

  /// @param aSource     outlives the follower, as does the log
  /// @param aOnChanges  called with each batch of changes
  /// @param aOnClear    called when nothing is cached any more
  PartFollower(transport::asio::io_context& aContext,
               EngineControl& aSource,
               EventLog& aLog,
               Handler aOnChanges,
               std::function<void()> aOnClear);

  /// Starts following.
  void Start();

private:
  transport::Task<void> Run();
  void Deliver(const PartChanges& aChanges);

  transport::asio::io_context& mContext;
  EngineControl& mSource;
  EventLog& mLog;
  Handler mOnChanges;
  std::function<void()> mOnClear;
  std::uint64_t mEpoch = 0;
  std::uint64_t mNext = 0;
};

} // namespace shuntjunction::coordination
