#include "shuntjunction/transport/frame_channel.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "shuntjunction/protocol/codec.h"
#include "shuntjunction/state/digest.h"
#include "shuntjunction/transport/connect.h"

namespace shuntjunction::transport {

using protocol::Message;
using state::ErrorCode;
using state::Fail;
using state::Result;
using tcp = asio::ip::tcp;

namespace {

/// Bytes of a frame for which memory is taken at once; the rest follows as they
/// arrive.
constexpr std::size_t kFrameStepBytes = 64UL * 1024;

/// Pause after a failed accept.
constexpr state::Millis kAcceptPause{ 100 };

/// Closes a channel after a timeout, unless the watchdog is destroyed before.
class Watchdog
{
public:
  Watchdog(const std::shared_ptr<FrameChannel>& aChannel,
           const asio::any_io_executor& aExecutor,
           state::Millis aLimit)
    : mTimer(aExecutor, aLimit)
  {
    mTimer.async_wait([weak = std::weak_ptr(aChannel)](auto aError) {
      const auto channel = weak.lock();
      if (!aError && channel) {
        channel->Close();
      }
    });
  }

private:
  Timer mTimer;
};

} // namespace

FrameChannel::FrameChannel(tcp::socket aSocket,
                           std::string aPeer,
                           ChannelCounters& aCounters)
  : mSocket(std::move(aSocket))
  , mPeer(std::move(aPeer))
  , mCounters(aCounters)
{
  SetDeadPeerTimeouts(mSocket, DeadPeerTimeouts{});
}

void
FrameChannel::Send(const Message& aMessage)
{
  if (!IsOpen()) {
    return;
  }
  mQueue.push_back(protocol::Encode(aMessage));
  mPendingBytes += mQueue.back().size();
  if (mPendingBytes > kMaxPendingBytes) {
    Close();
    return;
  }
  if (!mIsWriting) {
    mIsWriting = true;
    auto executor = mSocket.get_executor();
    Spawn(executor, WriteQueued());
  }
}

Task<void>
FrameChannel::WriteQueued()
{
  const auto self = shared_from_this();
  while (!mQueue.empty() && IsOpen()) {
    // All queued frames go out in one write.
    std::deque<std::vector<std::uint8_t>> batch;
    batch.swap(mQueue);
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(batch.size());
    for (const auto& frame : batch) {
      buffers.emplace_back(frame.data(), frame.size());
    }
    const auto [error, written] =
      co_await asio::async_write(mSocket, buffers, kAsTuple);
    if (error) {
      Close();
      break;
    }
    mPendingBytes -= written;
    mCounters.mBytesOut += written;
    mCounters.mFramesOut += batch.size();
  }
  mIsWriting = false;
}

Task<Result<Message>>
FrameChannel::Receive()
{
  const auto self = shared_from_this();
  std::array<std::uint8_t, protocol::kLengthBytes> prefix{};
  const auto prefixError = co_await ReadFull(asio::buffer(prefix));
  if (prefixError) {
    mIsClosedByPeer = prefixError == asio::error::eof ||
                      prefixError == asio::error::connection_reset;
    Close();
    co_return Fail(
      ErrorCode::kUnavailable, "frame.receive", mPeer, prefixError.message());
  }
  const auto length = protocol::DecodeLength(prefix, mPeer);
  if (!length) {
    ++mCounters.mBadFrames;
    Close();
    co_return tl::unexpected(length.error());
  }
  if (*length > mMaxFrameBytes) {
    ++mCounters.mBadFrames;
    Close();
    co_return Fail(ErrorCode::kTooLarge,
                   "frame.receive",
                   mPeer,
                   "too long before the handshake's end");
  }
  std::vector<std::uint8_t> frame(prefix.begin(), prefix.end());
  const auto frameError = co_await ReadRest(frame, *length);
  if (frameError) {
    mIsClosedByPeer = frameError == asio::error::eof ||
                      frameError == asio::error::connection_reset;
    Close();
    co_return Fail(ErrorCode::kUnavailable,
                   "frame.receive",
                   mPeer,
                   "connection lost within a frame: " + frameError.message());
  }
  mCounters.mBytesIn += frame.size();
  ++mCounters.mFramesIn;
  auto message = protocol::Decode(frame, mPeer);
  if (!message) {
    ++mCounters.mBadFrames;
    Close();
  }
  co_return message;
}

Task<boost::system::error_code>
FrameChannel::ReadRest(std::vector<std::uint8_t>& aFrame, std::size_t aBytes)
{
  while (aBytes > 0) {
    const auto before = aFrame.size();
    const auto step = std::min(aBytes, kFrameStepBytes);
    aFrame.resize(before + step);
    const auto error = co_await ReadFull(asio::buffer(aFrame) + before);
    if (error) {
      co_return error;
    }
    aBytes -= step;
  }
  co_return boost::system::error_code();
}

Task<boost::system::error_code>
FrameChannel::ReadFull(asio::mutable_buffer aBuffer)
{
  while (aBuffer.size() > 0) {
    const auto [error, bytes] =
      co_await mSocket.async_read_some(aBuffer, kAsTuple);
    if (error) {
      co_return error;
    }
    mReceivedBytes += bytes;
    aBuffer += bytes;
  }
  co_return boost::system::error_code();
}

void
FrameChannel::Close()
{
  boost::system::error_code ignored;
  mSocket.shutdown(tcp::socket::shutdown_both, ignored);
  mSocket.close(ignored);
  mQueue.clear();
}

std::uint64_t
FrameChannel::UnannouncedVersion(std::uint64_t aVersion)
{
  return std::exchange(mAnnouncedVersion, aVersion) == aVersion ? 0 : aVersion;
}

template<typename T>
Task<Result<T>>
FrameChannel::Expect(std::string_view aStep)
{
  auto message = co_await Receive();
  if (!message) {
    state::Error error = message.error();
    error.mStep = aStep;
    co_return tl::unexpected(std::move(error));
  }
  T* typed = std::get_if<T>(&*message);
  if (typed == nullptr) {
    ++mCounters.mBadFrames;
    const std::string found(protocol::MessageName(*message));
    Close();
    co_return Fail(
      ErrorCode::kProtocol, aStep, mPeer, "unexpected message " + found);
  }
  co_return std::move(*typed);
}

Task<Result<void>>
FrameChannel::HandshakeAsConnector(const ChannelIdentity& aIdentity)
{
  constexpr std::string_view kStep = "handshake.connect";
  const Watchdog watchdog(
    shared_from_this(), mSocket.get_executor(), kHandshakeTimeout);
  const auto challenge = co_await Expect<protocol::Challenge>(kStep);
  if (!challenge) {
    co_return tl::unexpected(challenge.error());
  }
  if (challenge->mVersion < protocol::kMinProtocolVersion) {
    Close();
    co_return Fail(
      ErrorCode::kProtocol, kStep, mPeer, "the peer's protocol is too old");
  }
  protocol::Hello hello;
  hello.mVersion = std::min(protocol::kProtocolVersion, challenge->mVersion);
  hello.mNode = aIdentity.mNode;
  hello.mNonce = state::RandomNonce();
  hello.mConfigVersion = aIdentity.mConfigVersion;
  mAnnouncedVersion = aIdentity.mConfigVersion;
  hello.mProof = protocol::ConnectorProof(aIdentity.mSecret, *challenge, hello);
  Send(hello);
  const auto welcome = co_await Expect<protocol::Welcome>(kStep);
  if (!welcome) {
    co_return tl::unexpected(welcome.error());
  }
  const std::string proof =
    protocol::AcceptorProof(aIdentity.mSecret, *challenge, hello);
  if (!state::EqualDigests(proof, welcome->mProof)) {
    ++mCounters.mBadFrames;
    Close();
    co_return Fail(
      ErrorCode::kUnauthorized, kStep, mPeer, "the peer's proof is wrong");
  }
  mProtocolVersion = hello.mVersion;
  mMaxFrameBytes = protocol::kMaxFrameBytes;
  mPeerNode = welcome->mNode;
  mPeerConfigVersion = welcome->mConfigVersion;
  co_return Result<void>{};
}

Task<Result<void>>
FrameChannel::HandshakeAsAcceptor(const ChannelIdentity& aIdentity)
{
  constexpr std::string_view kStep = "handshake.accept";
  const Watchdog watchdog(
    shared_from_this(), mSocket.get_executor(), kHandshakeTimeout);
  protocol::Challenge challenge;
  challenge.mNonce = state::RandomNonce();
  Send(challenge);
  const auto hello = co_await Expect<protocol::Hello>(kStep);
  if (!hello) {
    co_return tl::unexpected(hello.error());
  }
  const std::string proof =
    protocol::ConnectorProof(aIdentity.mSecret, challenge, *hello);
  const bool isProved = state::EqualDigests(proof, hello->mProof);
  if (!isProved || hello->mVersion < protocol::kMinProtocolVersion) {
    ++mCounters.mBadFrames;
    Close();
    co_return Fail(ErrorCode::kUnauthorized,
                   kStep,
                   mPeer,
                   isProved ? "the peer's protocol is too old"
                            : "the peer's proof is wrong");
  }
  protocol::Welcome welcome;
  welcome.mNode = aIdentity.mNode;
  welcome.mConfigVersion = aIdentity.mConfigVersion;
  mAnnouncedVersion = aIdentity.mConfigVersion;
  welcome.mProof =
    protocol::AcceptorProof(aIdentity.mSecret, challenge, *hello);
  Send(welcome);
  mProtocolVersion = std::min(protocol::kProtocolVersion, hello->mVersion);
  mMaxFrameBytes = protocol::kMaxFrameBytes;
  mPeerNode = hello->mNode;
  mPeerConfigVersion = hello->mConfigVersion;
  co_return Result<void>{};
}

Task<Result<std::shared_ptr<FrameChannel>>>
ConnectChannel(state::Address aAddress,
               ChannelIdentity aIdentity,
               state::Millis aTimeout,
               ChannelCounters& aCounters)
{
  constexpr std::string_view kStep = "channel.connect";
  const auto endpoint = ToTcpEndpoint(aAddress, kStep);
  if (!endpoint) {
    co_return tl::unexpected(endpoint.error());
  }
  auto socket = co_await ConnectSocket(*endpoint, aTimeout);
  if (!socket) {
    co_return Fail(ErrorCode::kUnavailable,
                   kStep,
                   aAddress.Text(),
                   socket.error().message());
  }
  const auto channel = std::make_shared<FrameChannel>(
    std::move(*socket), aAddress.Text(), aCounters);
  const auto handshakeResult =
    co_await channel->HandshakeAsConnector(aIdentity);
  if (!handshakeResult) {
    co_return tl::unexpected(handshakeResult.error());
  }
  co_return channel;
}

Result<std::shared_ptr<tcp::acceptor>>
Listen(asio::io_context& aContext, const state::Address& aAddress, int aBacklog)
{
  const auto endpoint = ToTcpEndpoint(aAddress, "listen");
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  boost::system::error_code error;
  const auto acceptor = std::make_shared<tcp::acceptor>(aContext);
  acceptor->open(endpoint->protocol(), error);
  if (!error) {
    acceptor->set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor->bind(*endpoint, error);
  }
  if (!error) {
    acceptor->listen(aBacklog, error);
  }
  if (error) {
    return Fail(
      ErrorCode::kUnavailable, "listen", aAddress.Text(), error.message());
  }
  return acceptor;
}

Task<void>
AcceptLoop(std::shared_ptr<tcp::acceptor> aAcceptor,
           std::function<void(tcp::socket)> aHandler)
{
  while (aAcceptor->is_open()) {
    auto [error, socket] = co_await aAcceptor->async_accept(kAsTuple);
    if (error) {
      co_await Sleep(kAcceptPause);
      continue;
    }
    aHandler(std::move(socket));
  }
}

state::Address
LocalAddress(const tcp::acceptor& aAcceptor)
{
  boost::system::error_code ignored;
  const auto endpoint = aAcceptor.local_endpoint(ignored);
  return { endpoint.address().to_string(), endpoint.port() };
}

} // namespace shuntjunction::transport
