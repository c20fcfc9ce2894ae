#include "shuntjunction/transport/socket_reader.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "shuntjunction/transport/frame_channel.h"
#include "shuntjunction/transport/run_task.h"

// Tests how a connection is seen to end while both sides write.

namespace shuntjunction::transport {
namespace {

using state::Millis;
using tcp = asio::ip::tcp;

class GivenAConnection : public ::testing::Test
{
protected:
  GivenAConnection()
    : mPeer(mContext)
  {
    const auto acceptor = *Listen(mContext, { "127.0.0.1", 0 });
    acceptor->set_option(asio::socket_base::receive_buffer_size(16 * 1024));
    tcp::socket socket(mContext);
    socket.connect(acceptor->local_endpoint());
    acceptor->accept(mPeer);
    mReader = std::make_shared<SocketReader>(std::move(socket), 64UL * 1024);
    mReader->Start();
  }

  ~GivenAConnection() override
  {
    mReader->Close(true);
    mContext.restart();
    mContext.run();
  }

  /// Begins to write, and runs until neither socket takes more of it.
  void BeginWriting(std::size_t aBytes)
  {
    const auto write = [](std::shared_ptr<SocketReader> aReader,
                          std::string aText,
                          std::optional<bool>* aIsWritten) -> Task<void> {
      const SocketReader::WriteBuffers buffers{ asio::buffer(aText) };
      *aIsWritten = co_await aReader->Write(buffers);
    };
    Spawn(mContext, write(mReader, std::string(aBytes, 'w'), &mIsWritten));
    mContext.run_for(Millis(20));
  }

  void ResetByPeer()
  {
    SetResetOnClose(mPeer);
    mPeer.close();
  }

  /// Runs until the end of the connection is known.
  void AwaitEnd()
  {
    const auto until = std::chrono::steady_clock::now() + Millis(30000);
    mContext.restart();
    while (!mReader->IsClosed() && std::chrono::steady_clock::now() < until) {
      mContext.run_one_for(Millis(100));
    }
    EXPECT_TRUE(mReader->IsClosed());
  }

  asio::io_context mContext{ 1 };
  tcp::socket mPeer;
  std::shared_ptr<SocketReader> mReader;
  std::optional<bool> mIsWritten;
};

class ThatIsWritten : public GivenAConnection
{
protected:
  ThatIsWritten()
  {
    BeginWriting(32UL * 1024 * 1024);
    EXPECT_FALSE(mIsWritten.has_value());
    asio::write(mPeer, asio::buffer("part", 4));
  }
};

// Guards against a reset that the write consumes, so that reads end in order.
TEST_F(ThatIsWritten, AResetIsNoOrderlyEnd)
{
  ResetByPeer();
  AwaitEnd();
  EXPECT_EQ(mReader->Buffered(), "part");
  EXPECT_FALSE(mReader->HasReachedEof());
}

TEST_F(ThatIsWritten, ACloseWithUnreadBytesIsNoOrderlyEnd)
{
  mPeer.close();
  AwaitEnd();
  EXPECT_FALSE(mReader->HasReachedEof());
}

TEST_F(ThatIsWritten, AnEndOfSendingIsOrderly)
{
  mPeer.shutdown(tcp::socket::shutdown_send);
  AwaitEnd();
  EXPECT_TRUE(mReader->HasReachedEof());
}

TEST_F(ThatIsWritten, AnEndOfSendingIsOrderlyAlsoIfAResetFollows)
{
  mPeer.shutdown(tcp::socket::shutdown_send);
  ResetByPeer();
  AwaitEnd();
  EXPECT_EQ(mReader->Buffered(), "part");
  EXPECT_TRUE(mReader->HasReachedEof());
}

TEST_F(GivenAConnection, AllPartsOfAWriteArriveInOrder)
{
  const std::string head = "head";
  const std::string body(1024UL * 1024, 'b');
  const auto write = [](std::shared_ptr<SocketReader> aReader,
                        SocketReader::WriteBuffers aBuffers,
                        std::optional<bool>* aIsWritten) -> Task<void> {
    *aIsWritten = co_await aReader->Write(aBuffers);
  };
  Spawn(
    mContext,
    write(mReader, { asio::buffer(head), asio::buffer(body) }, &mIsWritten));
  const auto read = [](tcp::socket* aPeer,
                       std::size_t aBytes) -> Task<std::string> {
    std::string text(aBytes, '\0');
    co_await asio::async_read(*aPeer, asio::buffer(text), kAsTuple);
    co_return text;
  };
  EXPECT_EQ(RunTask(mContext, read(&mPeer, head.size() + body.size())),
            head + body);
  EXPECT_EQ(mIsWritten, true);
}

} // namespace
} // namespace shuntjunction::transport
