#include "shuntjunction/coordination/peer_link.h"

namespace shuntjunction::coordination {

namespace asio = boost::asio;
using protocol::Message;
using state::Millis;
using state::Result;
using state::TimePoint;
using transport::FrameChannel;
using transport::Task;

namespace {

/// Silence after which a link is probed, and after which it is considered dead.
constexpr Millis kProbeAfter{ 500 };
constexpr Millis kDeadAfter{ 2000 };

/// Stream id of heartbeat probes; attempts never use it.
constexpr protocol::StreamId kHeartbeatId = 0;

/// Stream id of the attempt that a message belongs to; kHeartbeatId if none.
protocol::StreamId
StreamOf(const Message& aMessage)
{
  return std::visit(
    [](const auto& aTyped) -> protocol::StreamId {
      if constexpr (requires { aTyped.mId; }) {
        return aTyped.mId;
      } else {
        return kHeartbeatId;
      }
    },
    aMessage);
}

std::uint64_t
VersionOf(const Message& aMessage)
{
  return std::visit(
    [](const auto& aTyped) -> std::uint64_t {
      if constexpr (requires { aTyped.mConfigVersion; }) {
        return aTyped.mConfigVersion;
      } else {
        return 0;
      }
    },
    aMessage);
}

} // namespace

void
SetChannelGauges(Metrics& aMetrics, const transport::ChannelCounters& aCounters)
{
  aMetrics.Set("shuntjunction_frame_bytes_in",
               static_cast<double>(aCounters.mBytesIn));
  aMetrics.Set("shuntjunction_frame_bytes_out",
               static_cast<double>(aCounters.mBytesOut));
  aMetrics.Set("shuntjunction_frames_bad",
               static_cast<double>(aCounters.mBadFrames));
}

PeerLink::PeerLink(asio::io_context& aContext,
                   std::string aEndpoint,
                   state::Address aAddress,
                   const state::Settings& aSettings,
                   LinkListener& aListener,
                   transport::ChannelCounters& aCounters,
                   const state::Clock& aClock)
  : mContext(aContext)
  , mEndpoint(std::move(aEndpoint))
  , mAddress(std::move(aAddress))
  , mSettings(aSettings)
  , mListener(aListener)
  , mCounters(aCounters)
  , mClock(aClock)
  , mLastReceivedAt(aClock.Now())
  , mLastUsedAt(aClock.Now())
{
}

Task<Result<void>>
PeerLink::Ready()
{
  const auto self = shared_from_this();
  mLastUsedAt = mClock.Now();
  if (IsOpen()) {
    co_return Result<void>{};
  }
  auto waiting = std::make_shared<transport::Mailbox<Result<void>>>(
    co_await asio::this_coro::executor);
  mWaiters.push_back(waiting);
  if (!mIsConnecting) {
    mIsConnecting = true;
    transport::Spawn(mContext, Connect());
  }
  auto outcome = co_await waiting->Receive(TimePoint::max());
  co_return outcome.value_or(Result<void>{});
}

Task<void>
PeerLink::Connect()
{
  const auto self = shared_from_this();
  const transport::ChannelIdentity identity{
    mSettings.mName,
    mSettings.mSecret,
    mListener.Snapshot({ UINT64_MAX, UINT64_MAX }).mVersion
  };
  auto channel = co_await transport::ConnectChannel(
    mAddress, identity, mSettings.mRouter.mConnectTimeout, mCounters);
  mIsConnecting = false;
  Result<void> outcome;
  if (channel) {
    mChannel = *channel;
    mLastReceivedAt = mClock.Now();
    mListener.OnPeerOpen(mEndpoint);
    mListener.OnPeerVersion(mEndpoint, mChannel->PeerConfigVersion());
    transport::Spawn(mContext, Read(mChannel));
  } else {
    outcome = tl::unexpected(channel.error());
  }
  const auto waiting = std::exchange(mWaiters, {});
  for (const auto& mailbox : waiting) {
    mailbox->Push(outcome);
  }
}

Task<void>
PeerLink::Read(std::shared_ptr<FrameChannel> aChannel)
{
  const auto self = shared_from_this();
  while (true) {
    auto message = co_await aChannel->Receive();
    if (!message) {
      if (mChannel == aChannel) {
        Disconnect(message.error().mText);
      }
      co_return;
    }
    mLastReceivedAt = mClock.Now();
    Dispatch(std::move(*message));
  }
}

void
PeerLink::Dispatch(Message aMessage)
{
  if (const std::uint64_t version = VersionOf(aMessage); version != 0) {
    mListener.OnPeerVersion(mEndpoint, version);
  }
  if (std::holds_alternative<protocol::Leaving>(aMessage)) {
    mListener.OnPeerLeaving(mEndpoint);
    return;
  }
  if (const auto* request = std::get_if<protocol::SnapshotRequest>(&aMessage)) {
    Send(mListener.Snapshot(*request));
    return;
  }
  if (auto* reply = std::get_if<protocol::SnapshotReply>(&aMessage)) {
    mListener.OnPeerSnapshot(mEndpoint, std::move(*reply));
    return;
  }
  const protocol::StreamId id = StreamOf(aMessage);
  const auto attempt = mAttempts.find(id);
  if (attempt != mAttempts.end()) {
    attempt->second->Push(AttemptEvent(std::move(aMessage)));
  } else if (id != kHeartbeatId) {
    ++mDropped;
  }
}

protocol::StreamId
PeerLink::Open(std::shared_ptr<AttemptMailbox> aMailbox)
{
  if (mAttempts.empty()) {
    mLastReceivedAt = mClock.Now(); // Measure silence from now on.
  }
  const protocol::StreamId id = ++mNextId;
  mAttempts.emplace(id, std::move(aMailbox));
  mLastUsedAt = mClock.Now();
  return id;
}

void
PeerLink::Close(protocol::StreamId aId)
{
  mAttempts.erase(aId);
  mLastUsedAt = mClock.Now();
}

void
PeerLink::Send(const Message& aMessage)
{
  if (mChannel) {
    mChannel->Send(aMessage);
  }
}

std::uint64_t
PeerLink::UnannouncedVersion(std::uint64_t aVersion)
{
  return mChannel ? mChannel->UnannouncedVersion(aVersion) : 0;
}

void
PeerLink::Disconnect(std::string_view aReason)
{
  const auto channel = std::exchange(mChannel, nullptr);
  channel->Close();
  const auto attempts = std::exchange(mAttempts, {});
  for (const auto& [id, mailbox] : attempts) {
    mailbox->Push(AttemptEvent(LinkDown{ std::string(aReason) }));
  }
}

void
PeerLink::Tick(TimePoint aNow)
{
  if (!IsOpen()) {
    return;
  }
  if (mAttempts.empty()) {
    if (aNow - mLastUsedAt > mSettings.mRouter.mIdlePeerTimeout) {
      Disconnect("idle");
    }
    return;
  }
  if (aNow - mLastReceivedAt > kDeadAfter) {
    Disconnect("the companion is silent");
  } else if (aNow - mLastReceivedAt > kProbeAfter) {
    Send(protocol::Probe{ kHeartbeatId });
  }
}

} // namespace shuntjunction::coordination
