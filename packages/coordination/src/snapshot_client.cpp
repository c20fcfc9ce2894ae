#include "shuntjunction/coordination/snapshot_client.h"

#include <algorithm>

#include "shuntjunction/state/settings.h"

namespace shuntjunction::coordination {

namespace asio = boost::asio;
using state::Millis;
using state::Result;
using transport::FrameChannel;
using transport::Task;

struct SnapshotClient::PendingReply
{
  ChannelPtr mChannel;
  transport::Timer mTimer;
  bool mIsDone = false; ///< complete, or the channel is closed
};

SnapshotClient::SnapshotClient(asio::io_context& aContext,
                               std::string aName,
                               std::string aSecret,
                               Millis aTimeout)
  : mContext(aContext)
  , mName(std::move(aName))
  , mSecret(std::move(aSecret))
  , mTimeout(aTimeout)
{
}

Task<Result<SnapshotClient::ChannelPtr>>
SnapshotClient::Open(std::string aAddress, std::uint64_t aVersion)
{
  const auto existing = mChannels.find(aAddress);
  if (existing != mChannels.end() && existing->second->IsOpen()) {
    co_return existing->second;
  }
  const auto address = state::ParseAddress(aAddress);
  if (!address) {
    co_return tl::unexpected(address.error());
  }
  const transport::ChannelIdentity identity{ mName, mSecret, aVersion };
  auto channel =
    co_await transport::ConnectChannel(*address, identity, mTimeout, mCounters);
  if (!channel) {
    co_return tl::unexpected(channel.error());
  }
  if (mChannels.size() >= kMaxOpenChannels) {
    mChannels.begin()->second->Close();
    mChannels.erase(mChannels.begin());
  }
  mChannels[aAddress] = *channel;
  co_return *channel;
}

Task<Result<protocol::SnapshotReply>>
SnapshotClient::QuerySnapshot(std::string aAddress,
                              protocol::SnapshotRequest aHave,
                              Millis aMaxTime)
{
  const auto opened = co_await Open(aAddress, aHave.mKnownVersion);
  if (!opened) {
    co_return tl::unexpected(opened.error());
  }
  const ChannelPtr& channel = *opened;
  channel->Send(aHave);
  const auto pending =
    std::make_shared<PendingReply>(channel, transport::Timer(mContext));
  transport::Spawn(mContext, LimitWait(pending, mTimeout, aMaxTime));
  auto message = co_await channel->Receive();
  // Other messages are ignored; they are meant for routers.
  while (message &&
         !std::holds_alternative<protocol::SnapshotReply>(*message)) {
    message = co_await channel->Receive();
  }
  pending->mIsDone = true;
  pending->mTimer.cancel();
  if (!message) {
    mChannels.erase(aAddress);
    co_return tl::unexpected(message.error());
  }
  co_return std::move(std::get<protocol::SnapshotReply>(*message));
}

Task<void>
SnapshotClient::LimitWait(std::shared_ptr<PendingReply> aReply,
                          Millis aTimeout,
                          Millis aMaxTime)
{
  const auto until = state::BootClock::now() + std::max(aTimeout, aMaxTime);
  while (!aReply->mIsDone) {
    const auto received = aReply->mChannel->ReceivedBytes();
    aReply->mTimer.expires_at(
      std::min(until, state::BootClock::now() + aTimeout));
    co_await aReply->mTimer.async_wait(transport::kAsTuple);
    const bool isSilent = received == aReply->mChannel->ReceivedBytes();
    const bool isOver = isSilent || state::BootClock::now() >= until;
    if (!aReply->mIsDone && isOver) {
      aReply->mChannel->Close();
      break;
    }
  }
}

} // namespace shuntjunction::coordination
