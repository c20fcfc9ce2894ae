#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/transport/frame_channel.h"

/// Requests newer configuration snapshots from peers.
namespace shuntjunction::coordination {

/// Maximum number of connections that are kept open between requests.
inline constexpr std::size_t kMaxOpenChannels = 8;

/// Requests snapshots from peers over persistent connections.
///
/// Thread safety: none; used on the control thread.
class SnapshotClient
{
public:
  /// @param aTimeout  for connecting, for each response to begin, and between
  ///                  two parts of it
  SnapshotClient(boost::asio::io_context& aContext,
                 std::string aName,
                 std::string aSecret,
                 state::Millis aTimeout = state::Millis(1000));

  /// Requests a newer snapshot from a peer.
  ///
  /// @param aAddress  "host:port" of the peer's frame protocol
  /// @param aMaxTime  for a response that keeps arriving; at least the timeout.
  ///                  Longer where nothing that this process uses ages
  ///                  meanwhile
  /// @return a reply without text if the peer has nothing newer; an error if it
  ///         cannot be reached or does not respond
  transport::Task<state::Result<protocol::SnapshotReply>> QuerySnapshot(
    std::string aAddress,
    protocol::SnapshotRequest aHave,
    state::Millis aMaxTime);

  /// Traffic counters of all connections.
  const transport::ChannelCounters& Counters() const { return mCounters; }

private:
  using ChannelPtr = std::shared_ptr<transport::FrameChannel>;

  struct PendingReply;

  /// Closes the channel if it is silent for the timeout, or if the reply is not
  /// complete after aMaxTime.
  static transport::Task<void> LimitWait(std::shared_ptr<PendingReply> aReply,
                                         state::Millis aTimeout,
                                         state::Millis aMaxTime);
  transport::Task<state::Result<ChannelPtr>> Open(std::string aAddress,
                                                  std::uint64_t aVersion);

  boost::asio::io_context& mContext;
  std::string mName;
  std::string mSecret;
  state::Millis mTimeout;
  transport::ChannelCounters mCounters;
  std::unordered_map<std::string, ChannelPtr> mChannels;
};

} // namespace shuntjunction::coordination
