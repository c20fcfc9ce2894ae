#include "shuntjunction/coordination/snapshot_client.h"

#include "shuntjunction/state/settings.h"

namespace shuntjunction::coordination {

namespace asio = boost::asio;
using state::Millis;
using state::Result;
using transport::FrameChannel;
using transport::Task;

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
                              protocol::SnapshotRequest aHave)
{
  const auto opened = co_await Open(aAddress, aHave.mKnownVersion);
  if (!opened) {
    co_return tl::unexpected(opened.error());
  }
  const ChannelPtr& channel = *opened;
  channel->Send(aHave);
  transport::Timer timer(mContext, mTimeout);
  timer.async_wait([weak = std::weak_ptr(channel)](auto aError) {
    const auto open = weak.lock();
    if (!aError && open) {
      open->Close();
    }
  });
  while (true) {
    auto message = co_await channel->Receive();
    if (!message) {
      mChannels.erase(aAddress);
      co_return tl::unexpected(message.error());
    }
    // Ignore other messages; they are meant for routers.
    if (auto* reply = std::get_if<protocol::SnapshotReply>(&*message)) {
      co_return std::move(*reply);
    }
  }
}

} // namespace shuntjunction::coordination
