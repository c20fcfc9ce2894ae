#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/transport/frame_channel.h"

/// Asks peers for newer configuration.
namespace shuntjunction::coordination {

/// Connections that are kept between two questions, at most.
inline constexpr std::size_t kMaxKeptPeers = 8;

/// Asks companions for their snapshots, over connections that stay open.
///
/// Thread safety: none; lives on the control thread.
class SnapshotClient
{
public:
  /// @param aTimeout  of connecting, and of an answer
  SnapshotClient(boost::asio::io_context& aContext,
                 std::string aName,
                 std::string aSecret,
                 state::Millis aTimeout = state::Millis(1000));

  /// Asks one peer for what is newer.
  ///
  /// @param aAddress  "host:port" of its frames
  /// @return without text when the peer has nothing newer; an error when it
  ///         cannot be reached or is silent
  transport::Task<state::Result<protocol::SnapshotReply>> Ask(
    std::string aAddress,
    protocol::SnapshotRequest aHave);

  /// Bytes that went over its connections.
  const transport::ChannelCounters& Counters() const { return mCounters; }

private:
  using ChannelPtr = std::shared_ptr<transport::FrameChannel>;

  transport::Task<state::Result<ChannelPtr>> Open(std::string aAddress,
                                                  std::uint64_t aVersion);

  boost::asio::io_context& mContext;
  std::string mName;
  std::string mSecret;
  state::Millis mTimeout;
  transport::ChannelCounters mCounters;
  std::unordered_map<std::string, ChannelPtr> mKept;
};

} // namespace shuntjunction::coordination
