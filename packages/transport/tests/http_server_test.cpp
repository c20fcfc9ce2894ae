// The story of callers' connections: kept alive, limited, cut, and refused
// with a status that says why.

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "shuntjunction/transport/run_task.h"
#include "shuntjunction/transport/http_client.h"
#include "shuntjunction/transport/http_server.h"
#include "shuntjunction/transport/mailbox.h"

namespace shuntjunction::transport {
namespace {

using state::Millis;
using tcp = asio::ip::tcp;

/// Echoes, streams, or waits for the caller to go, by path.
class TestHandler final : public HttpHandler
{
public:
  explicit TestHandler(asio::io_context& aContext)
    : mGone(aContext.get_executor())
  {
  }

  Task<void> Handle(HttpExchange& aExchange) override
  {
    ++mHandled;
    const auto path = aExchange.Request().Path();
    HttpResponse header;
    if (path == "/wait") {
      aExchange.OnGone([this] { mGone.Push(true); });
      co_await mGone.Receive(state::TimePoint::max());
      aExchange.Abort();
    } else if (path == "/cut") {
      co_await aExchange.BeginStream(header);
      co_await aExchange.Write("half of it");
      aExchange.Abort();
    } else if (path == "/stream") {
      co_await aExchange.BeginStream(header);
      co_await aExchange.Write("first,");
      co_await aExchange.Write("second");
      co_await aExchange.EndStream();
    } else {
      HttpResponse response;
      response.mBody = aExchange.Request().mBody;
      co_await aExchange.Respond(std::move(response));
    }
  }

  HttpResponse Refusal(unsigned aStatus, std::string_view aText) override
  {
    HttpResponse response;
    response.mStatus = aStatus;
    response.mBody = aText;
    return response;
  }

  Mailbox<bool> mGone;
  int mHandled = 0;
};

class GivenAServer : public ::testing::Test
{
protected:
  GivenAServer()
  {
    mLimits.mMaxHeaderBytes = 1024;
    mLimits.mMaxBodyBytes = 1000;
    mLimits.mHeaderTimeout = Millis(100);
  }

  void SetUp() override
  {
    mServer = std::make_unique<HttpServer>(mContext, mLimits, mHandler);
    const auto address = mServer->Start({ "127.0.0.1", 0 });
    ASSERT_TRUE(address.has_value());
    mAddress = *address;
  }

  /// Runs a coroutine to its end beside the server.
  template<typename T>
  T Run(Task<T> aTask)
  {
    return RunTask(mContext, std::move(aTask));
  }

  /// Sends bytes as they are and reads until the server closes or falls quiet.
  std::string Exchange(std::string aBytes)
  {
    const auto exchange = [](state::Address aAddress,
                             std::string aOut) -> Task<std::string> {
      tcp::socket socket(co_await asio::this_coro::executor);
      co_await socket.async_connect(
        { asio::ip::make_address(aAddress.mHost), aAddress.mPort }, kAsTuple);
      co_await asio::async_write(socket, asio::buffer(aOut), kAsTuple);
      std::string in(64UL * 1024, '\0');
      const auto [error, bytes] =
        co_await asio::async_read(socket, asio::buffer(in), kAsTuple);
      in.resize(bytes);
      co_return in;
    };
    return Run(exchange(mAddress, std::move(aBytes)));
  }

  static bool HasStatus(const std::string& aAnswer, int aStatus)
  {
    return aAnswer.starts_with("HTTP/1.1 " + std::to_string(aStatus));
  }

  state::LimitSettings mLimits;
  asio::io_context mContext{ 1 };
  TestHandler mHandler{ mContext };
  std::unique_ptr<HttpServer> mServer;
  state::Address mAddress;
};

TEST_F(GivenAServer, AClientKeepsItsConnection)
{
  HttpClient client(mAddress, 1 << 20);
  const auto twice = [](HttpClient* aClient,
                        HttpServer* aServer) -> Task<std::size_t> {
    for (int i = 0; i < 2; ++i) {
      HttpRequest request;
      request.mMethod = "POST";
      request.mBody = "echo";
      const auto answer = co_await aClient->Send(request, Millis(5000));
      EXPECT_TRUE(answer.has_value());
      EXPECT_EQ(answer->mBody, "echo");
    }
    co_return aServer->Connections();
  };
  EXPECT_EQ(Run(twice(&client, mServer.get())), 1U);
  EXPECT_EQ(mHandler.mHandled, 2);
}

TEST_F(GivenAServer, WhatIsNotHttpIsABadRequest)
{
  EXPECT_TRUE(HasStatus(Exchange("hello there\r\n\r\n"), 400));
  EXPECT_EQ(mHandler.mHandled, 0);
}

TEST_F(GivenAServer, OverlongHeadersAndBodiesAreRefused)
{
  const std::string header = "GET / HTTP/1.1\r\nX: ";
  EXPECT_TRUE(
    HasStatus(Exchange(header + std::string(3000, 'x') + "\r\n\r\n"), 431));
  EXPECT_TRUE(HasStatus(
    Exchange("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"), 413));
  EXPECT_EQ(mHandler.mHandled, 0);
}

TEST_F(GivenAServer, ARequestThatDoesNotArriveInTimeIsToldSo)
{
  EXPECT_TRUE(HasStatus(
    Exchange("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf"), 408));
}

class WithFewConnections : public GivenAServer
{
protected:
  WithFewConnections() { mLimits.mMaxConnections = 1; }
};

TEST_F(WithFewConnections, OneTooManyIsRefused)
{
  asio::io_context other;
  tcp::socket first(other);
  first.connect({ asio::ip::make_address(mAddress.mHost), mAddress.mPort });
  EXPECT_TRUE(HasStatus(Exchange("GET / HTTP/1.1\r\n\r\n"), 503));
}

class ThatStreams : public GivenAServer
{
protected:
  Task<std::pair<std::string, bool>> Read(std::string aTarget)
  {
    HttpClient client(mAddress, 1 << 20);
    HttpRequest request;
    request.mTarget = std::move(aTarget);
    auto stream =
      co_await client.Open(request, Millis(5000), Millis(5000), nullptr);
    std::string text;
    while (true) {
      const auto piece = co_await (*stream)->Read(Millis(5000));
      if (!piece || piece->empty()) {
        co_return std::pair(text, piece.has_value());
      }
      text += *piece;
    }
  }
};

TEST_F(ThatStreams, AWholeStreamLooksWhole)
{
  const auto [text, isWhole] = Run(Read("/stream"));
  EXPECT_EQ(text, "first,second");
  EXPECT_TRUE(isWhole);
}

TEST_F(ThatStreams, ACutStreamDoesNot)
{
  const auto [text, isWhole] = Run(Read("/cut"));
  EXPECT_FALSE(isWhole);
}

TEST_F(ThatStreams, ACallerThatGoesAwayIsNoticed)
{
  const auto leave = [](state::Address aAddress,
                        TestHandler* aHandler) -> Task<bool> {
    {
      tcp::socket socket(co_await asio::this_coro::executor);
      co_await socket.async_connect(
        { asio::ip::make_address(aAddress.mHost), aAddress.mPort }, kAsTuple);
      const std::string request = "GET /wait HTTP/1.1\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(request), kAsTuple);
      while (aHandler->mHandled == 0) {
        co_await Sleep(Millis(1));
      }
    }
    // The handler's own wait ends only when the caller is seen to be gone.
    while (aHandler->mGone.Size() > 0) {
      co_await Sleep(Millis(1));
    }
    co_return true;
  };
  EXPECT_TRUE(Run(leave(mAddress, &mHandler)));
}

TEST_F(ThatStreams, ACancelledAnswerEndsInAnError)
{
  const auto cancel = [](state::Address aAddress) -> Task<bool> {
    HttpClient client(aAddress, 1 << 20);
    const auto handle = std::make_shared<CancelHandle>();
    HttpRequest request;
    request.mTarget = "/wait";
    asio::steady_timer timer(co_await asio::this_coro::executor, Millis(20));
    timer.async_wait([handle](auto) { handle->Cancel(); });
    const auto stream =
      co_await client.Open(request, Millis(5000), Millis(5000), handle);
    co_return stream.has_value();
  };
  EXPECT_FALSE(Run(cancel(mAddress)));
}

TEST_F(GivenAServer, AStopClosesWhatIsIdleAndAcceptsNoMore)
{
  mServer->Stop();
  HttpClient client(mAddress, 1 << 20);
  const auto send = [](HttpClient* aClient) -> Task<state::ErrorCode> {
    const HttpRequest request;
    const auto answer = co_await aClient->Send(request, Millis(1000));
    co_return answer ? state::ErrorCode::kInternal : answer.error().mCode;
  };
  EXPECT_EQ(Run(send(&client)), state::ErrorCode::kUnavailable);
}

} // namespace
} // namespace shuntjunction::transport
