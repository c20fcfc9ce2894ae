#include "shuntjunction/transport/http_client.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "shuntjunction/transport/frame_channel.h"
#include "shuntjunction/transport/run_task.h"
#include "shuntjunction/transport/socket_reader.h"

// Tests responses that come with others, have an invalid status, or are broken
// off.

namespace shuntjunction::transport {
namespace {

using state::Millis;
using state::Result;
using tcp = asio::ip::tcp;

constexpr const char* kWhole =
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

class GivenAServerWithScriptedResponses : public ::testing::Test
{
protected:
  GivenAServerWithScriptedResponses()
    : mAcceptor(*Listen(mContext, { "127.0.0.1", 0 }))
    , mClient(LocalAddress(*mAcceptor), 1 << 20)
  {
    const auto accept = [](auto* aSelf) -> Task<void> {
      while (true) {
        auto [error, socket] =
          co_await aSelf->mAcceptor->async_accept(kAsTuple);
        ++aSelf->mConnections;
        Spawn(aSelf->mContext, aSelf->Serve(std::move(socket)));
      }
    };
    Spawn(mContext, accept(this));
  }

  /// Sends the next response to each request of a connection.
  Task<void> Serve(tcp::socket aSocket)
  {
    std::string buffer;
    while (mNext < mResponses.size()) {
      const auto [error, size] = co_await asio::async_read_until(
        aSocket, asio::dynamic_buffer(buffer), "\r\n\r\n", kAsTuple);
      if (error) {
        co_return;
      }
      buffer.erase(0, size);
      const std::string text = mResponses[mNext++];
      co_await asio::async_write(aSocket, asio::buffer(text), kAsTuple);
      if (mResetsAfterResponse) {
        co_await Sleep(Millis(50));
        SetResetOnClose(aSocket);
        co_return;
      }
    }
    co_await Sleep(std::chrono::seconds(60));
  }

  Result<HttpResponse> Call(const std::string& aBody = "")
  {
    HttpRequest request;
    request.mBody = aBody;
    return RunTask(mContext, mClient.Send(request, Millis(10000)));
  }

  /// Status of a stream, and its whole body.
  Result<HttpResponse> ReadStream(const std::string& aBody = "")
  {
    const auto read = [](HttpClient* aClient,
                         std::string aText) -> Task<Result<HttpResponse>> {
      HttpRequest request;
      request.mBody = std::move(aText);
      const auto stream =
        co_await aClient->Open(request, Millis(5000), Millis(10000), nullptr);
      if (!stream) {
        co_return tl::unexpected(stream.error());
      }
      HttpResponse response;
      response.mStatus = (*stream)->Status();
      while (true) {
        const auto chunk = co_await (*stream)->Read(Millis(10000));
        if (!chunk) {
          co_return tl::unexpected(chunk.error());
        }
        if (chunk->empty()) {
          co_return response;
        }
        response.mBody += *chunk;
      }
    };
    return RunTask(mContext, read(&mClient, aBody));
  }

  asio::io_context mContext{ 1 };
  std::shared_ptr<tcp::acceptor> mAcceptor;
  HttpClient mClient;
  std::vector<std::string> mResponses;
  std::size_t mNext = 0;
  int mConnections = 0;
  bool mResetsAfterResponse = false;
};

class AfterInterimResponses : public GivenAServerWithScriptedResponses
{
protected:
  AfterInterimResponses()
  {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n"
                                "\r\nHTTP/1.1 100 Continue\r\n\r\n";
    mResponses.assign(2, interim + kWhole);
  }
};

// Guards against an interim response taken for the final one, so that the next
// call on the connection would get the final one of this.
TEST_F(AfterInterimResponses, ACallReturnsTheFinalOne)
{
  for (int i = 0; i < 2; ++i) {
    SCOPED_TRACE(i);
    const auto response = Call();
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->mStatus, 200U);
    EXPECT_EQ(response->mBody, "whole");
  }
  EXPECT_EQ(mConnections, 1);
}

TEST_F(AfterInterimResponses, AStreamReturnsTheFinalOne)
{
  const auto response = ReadStream();
  ASSERT_TRUE(response.has_value());
  EXPECT_EQ(response->mStatus, 200U);
  EXPECT_EQ(response->mBody, "whole");
}

TEST_F(GivenAServerWithScriptedResponses, InterimOnesWithoutEndAreAnError)
{
  std::string interim;
  for (int i = 0; i < 1000; ++i) {
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  mResponses.assign(2, interim + kWhole);
  EXPECT_FALSE(Call().has_value());
  EXPECT_FALSE(ReadStream().has_value());
}

class WithAnInvalidStatus
  : public GivenAServerWithScriptedResponses
  , public ::testing::WithParamInterface<const char*>
{
protected:
  WithAnInvalidStatus()
  {
    mResponses = { GetParam() + std::string(kWhole), kWhole };
  }
};

// Guards against bytes after an invalid response taken for another one.
TEST_P(WithAnInvalidStatus, ACallFailsAndItsConnectionIsNotUsedAgain)
{
  EXPECT_FALSE(Call().has_value());
  const auto next = Call();
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->mBody, "whole");
  EXPECT_EQ(mConnections, 2);
}

TEST_P(WithAnInvalidStatus, AStreamFails)
{
  EXPECT_FALSE(ReadStream().has_value());
}

INSTANTIATE_TEST_SUITE_P(
  Heads,
  WithAnInvalidStatus,
  ::testing::Values("HTTP/1.1 000 None\r\n\r\n",
                    "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 099 None\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "HTTP/1.1 101 Switching Protocols\r\n\r\n",
                    "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n",
                    "HTTP/1.1 100 Continue\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"));

// Guards against surplus bytes that the next call takes for its response.
TEST_F(GivenAServerWithScriptedResponses, AConnectionWithSurplusIsNotUsedAgain)
{
  mResponses = { std::string(kWhole) + "HTTP/1.1 200 OK\r\n"
                                       "Content-Length: 4\r\n\r\nlate",
                 kWhole };
  EXPECT_EQ(Call()->mBody, "whole");
  EXPECT_EQ(Call()->mBody, "whole");
  EXPECT_EQ(mConnections, 2);
}

class WithAResetDuringTheUpload : public GivenAServerWithScriptedResponses
{
protected:
  WithAResetDuringTheUpload()
  {
    mResponses.assign(2, "HTTP/1.1 200 OK\r\n\r\npart");
    mResetsAfterResponse = true;
  }

  /// More than the buffers of both sockets hold.
  const std::string mUpload = std::string(32UL * 1024 * 1024, 'u');
};

TEST_F(WithAResetDuringTheUpload, ACallFails)
{
  EXPECT_FALSE(Call(mUpload).has_value());
}

TEST_F(WithAResetDuringTheUpload, AStreamFails)
{
  EXPECT_FALSE(ReadStream(mUpload).has_value());
}

} // namespace
} // namespace shuntjunction::transport
