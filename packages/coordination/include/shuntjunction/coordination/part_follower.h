#pragma once

#include <functional>
#include <memory>

#include "shuntjunction/coordination/engine_control.h"
#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/state/part_index.h"

/// Follows what an engine or a part store keeps.
namespace shuntjunction::coordination {

/// Hears changes of kept parts and passes them on in groups.
///
/// What it says is a hint: changes come late, and a few never.
/// Thread safety: none; used on the thread of its context.
class PartFollower
{
public:
  /// Takes the names of parts that are kept now, and of those that are not, in
  /// a life of their holder.
  using Handler = std::function<void(state::EndpointIncarnation aLife,
                                     const std::vector<std::string>& aGained,
                                     const std::vector<std::string>& aLost)>;

  /// @param aSource  outlives the follower, as does the log
  /// @param aTake    called with each group of changes
  /// @param aOnClear   called when nothing is kept any more
  PartFollower(transport::asio::io_context& aContext,
               EngineControl& aSource,
               EventLog& aLog,
               Handler aTake,
               std::function<void()> aOnClear);

  /// Begins to follow.
  void Start();

private:
  transport::Task<void> Run();
  void Take(const PartChanges& aChanges);

  transport::asio::io_context& mContext;
  EngineControl& mSource;
  EventLog& mLog;
  Handler mTake;
  std::function<void()> mOnClear;
  std::uint64_t mEpoch = 0;
  std::uint64_t mNext = 0;
};

} // namespace shuntjunction::coordination
