#pragma once

#include <functional>
#include <memory>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/transport/frame_channel.h"

/// Serves snapshots to processes that query this one instead of the platform.
namespace shuntjunction::coordination {

/// Accepts channels and responds to each request on them.
///
/// Thread safety: none; used on the thread of its context.
class SnapshotServer
{
public:
  using RequestHandler =
    std::function<protocol::SnapshotReply(const protocol::SnapshotRequest&)>;

  /// @param aLog  outlives the server
  SnapshotServer(transport::asio::io_context& aContext,
                 transport::ChannelIdentity aIdentity,
                 EventLog& aLog,
                 RequestHandler aHandler);

  /// Starts accepting; returns the address with the port that was assigned.
  state::Result<state::Address> Start(const state::Address& aAddress);

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::coordination
