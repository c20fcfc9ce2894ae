#include "shuntjunction/transport/http_client.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "shuntjunction/transport/frame_channel.h"
#include "shuntjunction/transport/run_task.h"

// Tests calls to a server whose response has no end.

namespace shuntjunction::transport {
namespace {

using state::Millis;
using tcp = asio::ip::tcp;

/// More than the kernel's buffers hold.
constexpr std::size_t kMaxAccepted = 32UL * 1024 * 1024;

constexpr const char* kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A response's beginning and what follows again and again.
struct EndlessResponse
{
  const char* mName;
  std::string mBegin;
  std::string mPattern;
  Millis mPause{ 0 };
};

class GivenAServerThatSendsWithoutEnd : public ::testing::Test
{
protected:
  void Serve(EndlessResponse aResponse)
  {
    mAcceptor = *Listen(mContext, { "127.0.0.1", 0 });
    const auto serve = [](GivenAServerThatSendsWithoutEnd* aSelf,
                          EndlessResponse aText) -> Task<void> {
      auto [error, socket] = co_await aSelf->mAcceptor->async_accept(kAsTuple);
      std::string request;
      co_await asio::async_read_until(
        socket, asio::dynamic_buffer(request), "\r\n\r\n", kAsTuple);
      co_await asio::async_write(socket, asio::buffer(aText.mBegin), kAsTuple);
      while (aSelf->mSent < kMaxAccepted && aSelf->mPieces < kMaxPieces) {
        const auto [failure, bytes] = co_await asio::async_write(
          socket, asio::buffer(aText.mPattern), kAsTuple);
        aSelf->mSent += bytes;
        ++aSelf->mPieces;
        if (failure) {
          aSelf->mIsClosedByClient = true;
          co_return;
        }
        co_await Sleep(aText.mPause);
      }
    };
    Spawn(mContext, serve(this, std::move(aResponse)));
  }

  /// Sends a request; whether the call failed.
  bool FailsToSend()
  {
    HttpClient client(LocalAddress(*mAcceptor), 1 << 20);
    const HttpRequest request;
    const CallTimeouts timeouts{ Millis(5000), Millis(5000), Millis(20000) };
    return !RunTask(mContext, client.Send(request, timeouts));
  }

  /// Opens a stream and reads it to its end; whether that failed.
  bool FailsToRead()
  {
    const auto read = [](state::Address aAddress) -> Task<bool> {
      HttpClient client(aAddress, 1 << 20);
      const HttpRequest request;
      const auto stream =
        co_await client.Open(request, Millis(5000), Millis(1000), nullptr);
      if (!stream) {
        co_return true;
      }
      while (true) {
        const auto chunk = co_await (*stream)->Read(Millis(1000));
        if (!chunk || chunk->empty()) {
          co_return !chunk;
        }
      }
    };
    return RunTask(mContext, read(LocalAddress(*mAcceptor)));
  }

  void ExpectClosed()
  {
    // Runs the server until its write fails.
    const auto awaitClose = [](const bool* aIsClosed) -> Task<bool> {
      for (int i = 0; i < 1000 && !*aIsClosed; ++i) {
        co_await Sleep(Millis(1));
      }
      co_return *aIsClosed;
    };
    EXPECT_TRUE(RunTask(mContext, awaitClose(&mIsClosedByClient)));
    EXPECT_LT(mSent, kMaxAccepted);
  }

  static constexpr int kMaxPieces = 20000;

  asio::io_context mContext{ 1 };
  std::shared_ptr<tcp::acceptor> mAcceptor;
  std::size_t mSent = 0;
  int mPieces = 0;
  bool mIsClosedByClient = false;
};

class WhateverIsEndless
  : public GivenAServerThatSendsWithoutEnd
  , public ::testing::WithParamInterface<EndlessResponse>
{};

TEST_P(WhateverIsEndless, ACallFailsAndClosesItsConnection)
{
  Serve(GetParam());
  EXPECT_TRUE(FailsToSend());
  ExpectClosed();
}

TEST_P(WhateverIsEndless, AStreamFailsAndClosesItsConnection)
{
  Serve(GetParam());
  EXPECT_TRUE(FailsToRead());
  ExpectClosed();
}

std::vector<EndlessResponse>
EndlessResponses()
{
  const std::string piece(4096, 'x');
  const std::string head = kChunkedHead;
  return {
    { "Reason", "HTTP/1.1 200 ", piece },
    { "FieldValue", "HTTP/1.1 200 OK\r\nX: ", piece },
    { "ChunkSize", head, std::string(4096, '0') },
    { "ChunkExtension", head + "5;a=", piece },
    { "TrailerField", head + "0\r\nX: ", piece },
  };
}

INSTANTIATE_TEST_SUITE_P(Parser,
                         WhateverIsEndless,
                         ::testing::ValuesIn(EndlessResponses()),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

// Guards against a time limit that each byte of framing extends.
TEST_F(GivenAServerThatSendsWithoutEnd, AChunkExtensionThatTricklesEndsAStream)
{
  Serve({ "", std::string(kChunkedHead) + "5;a=", "x", Millis(1) });
  EXPECT_TRUE(FailsToRead());
  ExpectClosed();
}

// Guards against a response that is too large taken for none.
TEST_F(GivenAServerThatSendsWithoutEnd, AResponseBeyondTheLimitIsTooLarge)
{
  for (const auto& head : { std::string("HTTP/1.1 200 OK\r\n"
                                        "Content-Length: 1048577\r\n\r\n"),
                            kChunkedHead + std::string("100001\r\n") }) {
    SCOPED_TRACE(head);
    mSent = 0;
    Serve({ "", head, std::string(4096, 'x') });
    HttpClient client(LocalAddress(*mAcceptor), 1 << 20);
    const HttpRequest request;
    const auto response = RunTask(mContext, client.Send(request, Millis(5000)));
    ASSERT_FALSE(response.has_value());
    EXPECT_EQ(response.error().mCode, state::ErrorCode::kTooLarge);
  }
}

/// A server that closes within the head of its response.
class GivenAServerThatStopsInTheHead : public GivenAServerThatSendsWithoutEnd
{
protected:
  /// Calls a function for each beginning of a head that is sent and followed by
  /// an orderly close.
  void ForEachBeginning(const std::function<void()>& aExchange)
  {
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n"
                             "Content-Length: 0\r\n\r\n";
    for (std::size_t at = 0; at < head.size(); ++at) {
      SCOPED_TRACE("cut at " + std::to_string(at));
      mAcceptor = *Listen(mContext, { "127.0.0.1", 0 });
      const auto serve = [](GivenAServerThatStopsInTheHead* aSelf,
                            std::string aText) -> Task<void> {
        auto [error, socket] =
          co_await aSelf->mAcceptor->async_accept(kAsTuple);
        std::string request;
        co_await asio::async_read_until(
          socket, asio::dynamic_buffer(request), "\r\n\r\n", kAsTuple);
        co_await asio::async_write(socket, asio::buffer(aText), kAsTuple);
      };
      Spawn(mContext, serve(this, head.substr(0, at)));
      aExchange();
    }
  }
};

TEST_F(GivenAServerThatStopsInTheHead, ACallFails)
{
  ForEachBeginning([this] { EXPECT_TRUE(FailsToSend()); });
}

TEST_F(GivenAServerThatStopsInTheHead, AStreamFails)
{
  ForEachBeginning([this] { EXPECT_TRUE(FailsToRead()); });
}

} // namespace
/// A request whose head another writer's text would end.
struct InvalidHead
{
  const char* mName;
  HttpRequest mRequest;
};

class GivenARequestThatNoHeadCarries
  : public ::testing::TestWithParam<InvalidHead>
{};

TEST_P(GivenARequestThatNoHeadCarries, ItIsNotSent)
{
  asio::io_context context;
  const auto acceptor = *Listen(context, { "127.0.0.1", 0 });
  HttpClient client(LocalAddress(*acceptor), 1 << 20);
  const auto response =
    RunTask(context, client.Send(GetParam().mRequest, Millis(5000)));
  ASSERT_FALSE(response.has_value());
  EXPECT_EQ(response.error().mCode, state::ErrorCode::kInvalidArgument);
  const auto stream = RunTask(
    context,
    client.Open(GetParam().mRequest, Millis(5000), Millis(5000), nullptr));
  ASSERT_FALSE(stream.has_value());
  EXPECT_EQ(stream.error().mCode, state::ErrorCode::kInvalidArgument);
}

INSTANTIATE_TEST_SUITE_P(
  Heads,
  GivenARequestThatNoHeadCarries,
  ::testing::Values(
    InvalidHead{ "Blank", { "GET", "/a b" } },
    InvalidHead{ "EndOfTheLine", { "GET", "/a HTTP/1.1\r\nx: y\r\n" } },
    InvalidHead{ "Field", { "GET", "/", { { "x", "a\r\ny: z" } } } },
    InvalidHead{ "ContentType", { "PUT", "/", {}, "a\r\ny: z" } }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace shuntjunction::transport
