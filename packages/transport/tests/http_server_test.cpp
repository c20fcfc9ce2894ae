// The story of callers' connections: kept alive, limited, cut, and refused
// with a status that says why.

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "shuntjunction/transport/connect.h"
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
      aExchange.OnDisconnect([this] { mGone.Push(true); });
      co_await mGone.Receive(state::TimePoint::max());
      aExchange.Abort();
    } else if (path == "/watched") {
      int gone = 0;
      aExchange.OnDisconnect([&gone] { ++gone; });
      // Other work of this thread goes on meanwhile.
      co_await Sleep(std::chrono::microseconds(100));
      HttpResponse response;
      response.mBody = gone == 0 ? "there" : "gone";
      co_await aExchange.Respond(std::move(response));
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

TEST_F(GivenAServer, WatchingACallerNeverHoldsUpTheThread)
{
  // The requests are there before their connections are accepted. They are read
  // before the reactor tells of their bytes, and what it tells afterwards wakes
  // the watches of the callers although nothing is there.
  constexpr int kCallers = 200;
  const auto ask = [&]() -> Task<int> {
    std::vector<tcp::socket> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back(co_await asio::this_coro::executor);
      callers.back().connect(
        { asio::ip::make_address(mAddress.mHost), mAddress.mPort });
      asio::write(
        callers.back(),
        asio::buffer(std::string("GET /watched HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    int answered = 0;
    for (auto& caller : callers) {
      std::string answer;
      const auto [error, bytes] = co_await asio::async_read_until(
        caller, asio::dynamic_buffer(answer), "there", kAsTuple);
      answered += error ? 0 : 1;
    }
    co_return answered;
  };
  EXPECT_EQ(Run(ask()), kCallers);
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
    Timer timer(co_await asio::this_coro::executor, Millis(20));
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

/// Milliseconds for which what was sent to a port may stay unacknowledged, for
/// each connection of this process to that port.
std::vector<int>
SilenceLimitsTo(std::uint16_t aPort)
{
  constexpr int kMostDescriptors = 1024;
  std::vector<int> limits;
  for (int descriptor = 0; descriptor < kMostDescriptors; ++descriptor) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    auto* address = reinterpret_cast<sockaddr*>(&peer);
    if (getpeername(descriptor, address, &size) != 0 ||
        peer.sin_family != AF_INET || ntohs(peer.sin_port) != aPort) {
      continue;
    }
    int limit = 0;
    size = sizeof(limit);
    getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, &size);
    int isProbed = 0;
    size = sizeof(isProbed);
    getsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &isProbed, &size);
    limits.push_back(isProbed != 0 ? limit : 0);
  }
  return limits;
}

TEST_F(GivenAServer, AClientsConnectionNoticesAPeerThatIsCutOff)
{
  HttpClient client(mAddress, 10000);
  const HttpRequest request;
  const auto answer = Run(client.Send(request, Millis(5000)));
  ASSERT_TRUE(answer);
  const std::vector<int> expected{ static_cast<int>(
    DeadPeerTimeouts{}.mUserTimeout.count()) };
  EXPECT_EQ(SilenceLimitsTo(mAddress.mPort), expected);
}

} // namespace
} // namespace shuntjunction::transport
