// Snapshots that arrive over a slow link, and over one that stalls.

#include <algorithm>
#include <array>
#include <limits>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "shuntjunction/coordination/snapshot_client.h"
#include "shuntjunction/coordination/snapshot_server.h"
#include "shuntjunction/transport/connect.h"
#include "shuntjunction/transport/run_task.h"

namespace shuntjunction::coordination {

namespace {

namespace asio = transport::asio;
using asio::ip::tcp;
using state::Millis;
using transport::Task;

constexpr const char* kSecret = "secret of this test";
constexpr std::size_t kReplyBytes = 64UL * 1024;
constexpr Millis kTimeout{ 200 };

/// What the link passes on at once, and the pause after it. A reply takes more
/// than twice the timeout.
constexpr std::size_t kPartBytes = 4096;
constexpr Millis kPause{ 30 };

using SocketPtr = std::shared_ptr<tcp::socket>;

/// Forwards all bytes in parts, up to a number of bytes.
Task<void>
Forward(SocketPtr aFrom, SocketPtr aTo, Millis aPause, std::size_t aMaxBytes)
{
  std::array<char, kPartBytes> part{};
  std::size_t left = aMaxBytes;
  while (left > 0) {
    const auto [readError, size] = co_await aFrom->async_read_some(
      asio::buffer(part, std::min(left, part.size())), transport::kAsTuple);
    if (readError) {
      break;
    }
    left -= size;
    co_await transport::Sleep(aPause);
    const auto [writeError, written] = co_await asio::async_write(
      *aTo, asio::buffer(part, size), transport::kAsTuple);
    if (writeError) {
      break;
    }
  }
}

} // namespace

class GivenAPeerBehindASlowLink : public ::testing::Test
{
protected:
  GivenAPeerBehindASlowLink()
  {
    const auto server = mServer.Start({ "127.0.0.1", 0 });
    auto acceptor = transport::Listen(mContext, { "127.0.0.1", 0 });
    mLink = transport::LocalAddress(**acceptor);
    transport::Spawn(
      mContext, transport::AcceptLoop(*acceptor, [this, server](auto aSocket) {
        transport::Spawn(
          mContext,
          Connect(std::make_shared<tcp::socket>(std::move(aSocket)), *server));
      }));
  }

  Task<void> Connect(SocketPtr aClient, state::Address aServer)
  {
    const auto endpoint = transport::ToTcpEndpoint(aServer, "test.connect");
    auto socket = co_await transport::ConnectSocket(*endpoint, Millis(1000));
    const auto server = std::make_shared<tcp::socket>(std::move(*socket));
    transport::Spawn(
      mContext,
      Forward(
        aClient, server, Millis(0), std::numeric_limits<std::size_t>::max()));
    co_await Forward(server, aClient, kPause, mMaxBytes);
  }

  /// Size of the snapshot that arrives; 0 if none does.
  std::size_t Query(Millis aMaxTime)
  {
    SnapshotClient client(mContext, "client", kSecret, kTimeout);
    const auto reply = transport::RunTask(
      mContext, client.QuerySnapshot(mLink.Text(), {}, aMaxTime));
    return reply ? reply->mText.size() : 0;
  }

  asio::io_context mContext{ 1 };
  state::SystemClock mClock;
  EventLog mLog{ EventLogSettings{}, mClock };
  SnapshotServer mServer{
    mContext,
    { "server", kSecret, 0 },
    mLog,
    [](auto&) {
      return protocol::SnapshotReply{ 1, std::string(kReplyBytes, 'x'), {} };
    }
  };
  state::Address mLink;
  std::size_t mMaxBytes = std::numeric_limits<std::size_t>::max();
};

// A process that restarts with all others of its zone abandoned the watcher's
// whole mirror at the timeout of an update, and requested it anew.
TEST_F(GivenAPeerBehindASlowLink, ASnapshotThatKeepsArrivingIsReceived)
{
  EXPECT_EQ(Query(Millis(10000)), kReplyBytes);
}

TEST_F(GivenAPeerBehindASlowLink, ItIsAbandonedWhereOtherStateWouldAge)
{
  EXPECT_EQ(Query(Millis(0)), 0U);
}

TEST_F(GivenAPeerBehindASlowLink, OneThatStopsArrivingIsAbandoned)
{
  mMaxBytes = kReplyBytes / 2;
  EXPECT_EQ(Query(Millis(10000)), 0U);
}

} // namespace shuntjunction::coordination
