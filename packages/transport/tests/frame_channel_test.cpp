// Channels: both sides prove the secret, messages arrive in order, and a peer
// that violates the protocol affects only its own connection.

#include <fstream>

#include <unistd.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "shuntjunction/protocol/codec.h"
#include "shuntjunction/state/digest.h"

#include "shuntjunction/transport/run_task.h"
#include "shuntjunction/transport/frame_channel.h"
#include "shuntjunction/transport/mailbox.h"

namespace shuntjunction::transport {
namespace {

using protocol::Message;
using state::ErrorCode;
using state::Millis;
using tcp = asio::ip::tcp;

class GivenAnAcceptor : public ::testing::Test
{
protected:
  void SetUp() override
  {
    mAcceptor = *Listen(mContext, { "127.0.0.1", 0 });
    const auto accept = [](GivenAnAcceptor* aSelf) -> Task<void> {
      while (true) {
        auto [error, socket] =
          co_await aSelf->mAcceptor->async_accept(kAsTuple);
        if (error) {
          co_return;
        }
        Spawn(aSelf->mContext, Serve(aSelf, std::move(socket)));
      }
    };
    Spawn(mContext, accept(this));
  }

  /// Performs the handshake and echoes messages.
  static Task<void> Serve(GivenAnAcceptor* aSelf, tcp::socket aSocket)
  {
    const auto channel = std::make_shared<FrameChannel>(
      std::move(aSocket), "connector", aSelf->mCounters);
    const ChannelIdentity identity{ "acceptor", aSelf->kSecret, 5 };
    const auto handshakeResult =
      co_await channel->HandshakeAsAcceptor(identity);
    if (!handshakeResult) {
      aSelf->mRefused.push_back(handshakeResult.error());
      co_return;
    }
    while (true) {
      auto message = co_await channel->Receive();
      if (!message) {
        co_return;
      }
      channel->Send(*message);
    }
  }

  template<typename T>
  T Run(Task<T> aTask)
  {
    return RunTask(mContext, std::move(aTask));
  }

  auto Connect(const std::string& aSecret)
  {
    const ChannelIdentity identity{ "connector", aSecret, 3 };
    return ConnectChannel(
      LocalAddress(*mAcceptor), identity, Millis(5000), mCounters);
  }

  /// Sends raw bytes and waits until the acceptor closes the connection.
  Task<bool> SendRaw(std::string aBytes)
  {
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(mAcceptor->local_endpoint(), kAsTuple);
    co_await asio::async_write(socket, asio::buffer(aBytes), kAsTuple);
    std::array<char, 4096> in{};
    while (true) {
      const auto [error, bytes] =
        co_await socket.async_read_some(asio::buffer(in), kAsTuple);
      if (error) {
        co_return true;
      }
    }
  }

  static constexpr const char* kSecret = "a secret of sixteen";
  asio::io_context mContext{ 1 };
  ChannelCounters mCounters;
  std::shared_ptr<tcp::acceptor> mAcceptor;
  std::vector<state::Error> mRefused;
};

TEST_F(GivenAnAcceptor, MessagesArriveInOrderAfterTheHandshake)
{
  const auto channel = Run(Connect(kSecret));
  ASSERT_TRUE(channel.has_value()) << channel.error().Describe();
  EXPECT_EQ((*channel)->PeerNode(), "acceptor");
  EXPECT_EQ((*channel)->PeerConfigVersion(), 5U);
  const auto echo = [](std::shared_ptr<FrameChannel> aChannel) -> Task<int> {
    constexpr int kMessages = 500;
    for (std::uint32_t i = 0; i < kMessages; ++i) {
      protocol::Tokens tokens;
      tokens.mOffset = i;
      tokens.mText = std::string(i, 'x');
      aChannel->Send(tokens);
    }
    for (std::uint32_t i = 0; i < kMessages; ++i) {
      const auto message = co_await aChannel->Receive();
      const auto* tokens =
        message ? std::get_if<protocol::Tokens>(&*message) : nullptr;
      if (tokens == nullptr || tokens->mOffset != i ||
          tokens->mText.size() != i) {
        co_return static_cast<int>(i);
      }
    }
    co_return kMessages;
  };
  EXPECT_EQ(Run(echo(*channel)), 500);
}

TEST_F(GivenAnAcceptor, AWrongSecretIsRefusedByBothSides)
{
  const auto channel = Run(Connect("another secret!!"));
  EXPECT_FALSE(channel.has_value());
  ASSERT_EQ(mRefused.size(), 1U);
  EXPECT_EQ(mRefused[0].mCode, ErrorCode::kUnauthorized);
  EXPECT_EQ(mRefused[0].mStep, "handshake.accept");
  EXPECT_EQ(mRefused[0].mPeer, "connector");
  EXPECT_GE(mCounters.mBadFrames, 1U);
}

class WithAMisbehavingPeer : public GivenAnAcceptor
{
protected:
  void ExpectOnlyThatPeerClosed(std::string aBytes)
  {
    const auto good = Run(Connect(kSecret));
    ASSERT_TRUE(good.has_value());
    const std::uint64_t before = mCounters.mBadFrames;
    EXPECT_TRUE(Run(SendRaw(std::move(aBytes))));
    EXPECT_EQ(mCounters.mBadFrames, before + 1);
    EXPECT_TRUE((*good)->IsOpen());
    const auto echo = [](std::shared_ptr<FrameChannel> aChannel) -> Task<bool> {
      aChannel->Send(protocol::SnapshotRequest{ 9 });
      co_return (co_await aChannel->Receive()).has_value();
    };
    EXPECT_TRUE(Run(echo(*good)));
  }
};

TEST_F(WithAMisbehavingPeer, AFrameThatIsTooLongClosesOnlyThatPeer)
{
  ExpectOnlyThatPeerClosed("\xff\xff\xff\xff");
}

// Guards against memory for long frames of peers that have proved nothing.
TEST_F(WithAMisbehavingPeer, ALongFrameBeforeTheProofClosesOnlyThatPeer)
{
  ExpectOnlyThatPeerClosed(std::string("\x00\x00\x10\x00", 4));
}

class WithPeersThatAnnounceLongFrames : public GivenAnAcceptor
{
protected:
  using SocketPtr = std::shared_ptr<tcp::socket>;

  static Task<std::optional<Message>> ReadFrame(SocketPtr aSocket)
  {
    std::array<std::uint8_t, protocol::kLengthBytes> prefix{};
    co_await asio::async_read(*aSocket, asio::buffer(prefix), kAsTuple);
    const auto length = protocol::DecodeLength(prefix, "acceptor");
    if (!length) {
      co_return std::nullopt;
    }
    std::vector<std::uint8_t> frame(prefix.begin(), prefix.end());
    frame.resize(prefix.size() + *length);
    co_await asio::async_read(
      *aSocket, asio::buffer(frame) + prefix.size(), kAsTuple);
    auto message = protocol::Decode(frame, "acceptor");
    if (!message) {
      co_return std::nullopt;
    }
    co_return std::move(*message);
  }

  /// Performs the handshake, then announces a frame and sends nothing of it.
  Task<SocketPtr> Announce(std::string aPrefix)
  {
    const auto socket =
      std::make_shared<tcp::socket>(co_await asio::this_coro::executor);
    co_await socket->async_connect(mAcceptor->local_endpoint(), kAsTuple);
    const auto challenge = co_await ReadFrame(socket);
    protocol::Hello hello;
    hello.mVersion = protocol::kProtocolVersion;
    hello.mNode = "connector";
    hello.mNonce = state::RandomNonce();
    hello.mProof = protocol::ConnectorProof(
      kSecret, std::get<protocol::Challenge>(challenge.value()), hello);
    const auto frame = protocol::Encode(hello);
    co_await asio::async_write(*socket, asio::buffer(frame), kAsTuple);
    co_await ReadFrame(socket);
    co_await asio::async_write(*socket, asio::buffer(aPrefix), kAsTuple);
    co_return socket;
  }

  /// Memory of this process that is in use, in bytes.
  static std::size_t ResidentBytes()
  {
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }
};

// Guards against memory for frames of which nothing has arrived.
TEST_F(WithPeersThatAnnounceLongFrames, TheyTakeNoMemoryBeforeTheyArrive)
{
  constexpr int kPeers = 16;
  constexpr std::size_t kMaxBytes = 64UL * 1024 * 1024;
  const std::string longest("\x00\x00\x00\x01", 4); // kMaxFrameBytes
  const auto before = ResidentBytes();
  std::vector<SocketPtr> sockets;
  sockets.reserve(kPeers);
  for (int i = 0; i < kPeers; ++i) {
    sockets.push_back(Run(Announce(longest)));
  }
  // Its answer shows that the announcements before it were read.
  const auto channel = Run(Connect(kSecret));
  ASSERT_TRUE(channel.has_value());
  EXPECT_LT(ResidentBytes() - before, kMaxBytes);
}

class WithAPeerThatTrickles : public GivenAnAcceptor
{
protected:
  /// Sends a frame byte by byte until the acceptor closes the connection;
  /// returns whether it did before the frame's end.
  Task<bool> Trickle()
  {
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(mAcceptor->local_endpoint(), kAsTuple);
    const std::string prefix("\x00\xf0\x00\x00", 4);
    co_await asio::async_write(socket, asio::buffer(prefix), kAsTuple);
    constexpr int kFrameBytes = 0xf000;
    for (int i = 0; i < kFrameBytes; ++i) {
      const auto [error, bytes] =
        co_await asio::async_write(socket, asio::buffer("x", 1), kAsTuple);
      if (error) {
        co_return true;
      }
      co_await Sleep(Millis(1));
    }
    co_return false;
  }
};

TEST_F(WithAPeerThatTrickles, AHandshakeWithoutEndIsClosed)
{
  EXPECT_TRUE(Run(Trickle()));
  ASSERT_EQ(mRefused.size(), 1U);
}

TEST_F(WithAMisbehavingPeer, RandomBytesCloseOnlyThatPeer)
{
  ExpectOnlyThatPeerClosed(std::string("\x08\0\0\0noise...", 12));
}

TEST_F(WithAMisbehavingPeer, AClosedPortFailsInTime)
{
  mAcceptor->close();
  const auto channel = Run(Connect(kSecret));
  ASSERT_FALSE(channel.has_value());
  EXPECT_EQ(channel.error().mCode, ErrorCode::kUnavailable);
  EXPECT_EQ(channel.error().mStep, "channel.connect");
}

} // namespace
} // namespace shuntjunction::transport
