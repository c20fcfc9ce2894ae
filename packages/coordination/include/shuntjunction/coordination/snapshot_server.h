#pragma once

#include <functional>
#include <memory>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/transport/frame_channel.h"

/// Answers processes that ask this one instead of the platform.
namespace shuntjunction::coordination {

/// Accepts channels and answers each question on them.
///
/// Thread safety: none; used on the thread of its context.
class SnapshotServer
{
public:
  using Answerer =
    std::function<protocol::SnapshotReply(const protocol::SnapshotRequest&)>;

  /// @param aLog  outlives the server
  SnapshotServer(transport::asio::io_context& aContext,
                 transport::ChannelIdentity aIdentity,
                 EventLog& aLog,
                 Answerer aAnswer);

  /// Begins to accept; returns the address with the kernel's port.
  state::Result<state::Address> Start(const state::Address& aAddress);

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::coordination
