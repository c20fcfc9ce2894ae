// Callers' connections: they are kept alive, limited, closed mid-response and
// refused with a status that gives the reason.

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

/// Parts of a response that is sent slowly, and the pause before each.
constexpr int kSlowParts = 12;
constexpr Millis kSlowPause{ 40 };

/// Echoes, streams, or waits for the caller to disconnect, depending on the
/// path.
class TestHandler final : public HttpHandler
{
public:
  explicit TestHandler(asio::io_context& aContext)
    : mDisconnected(aContext.get_executor())
  {
  }

  Task<void> Handle(HttpExchange& aExchange) override
  {
    ++mHandled;
    const auto path = aExchange.Request().Path();
    HttpResponse header;
    if (path == "/wait") {
      aExchange.OnDisconnect([this] { mDisconnected.Push(true); });
      co_await mDisconnected.Receive(state::TimePoint::max());
      aExchange.Abort();
    } else if (path == "/watched") {
      int gone = 0;
      aExchange.OnDisconnect([&gone] { ++gone; });
      // Lets other work of this thread run.
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
    } else if (path == "/slow") {
      co_await aExchange.BeginStream(header);
      for (int i = 0; i < kSlowParts; ++i) {
        co_await Sleep(kSlowPause);
        co_await aExchange.Write(".");
      }
      co_await aExchange.EndStream();
    } else if (path == "/stall") {
      co_await aExchange.BeginStream(header);
      co_await aExchange.Write("first part");
      aExchange.OnDisconnect([this] { mDisconnected.Push(true); });
      co_await mDisconnected.Receive(state::TimePoint::max());
      aExchange.Abort();
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

  Mailbox<bool> mDisconnected;
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

  /// Runs a coroutine to its end while the server runs.
  template<typename T>
  T Run(Task<T> aTask)
  {
    return RunTask(mContext, std::move(aTask));
  }

  /// Sends raw bytes and reads until the server closes the connection.
  std::string Exchange(std::string aBytes)
  {
    const auto exchange = [](state::Address aAddress,
                             std::string aOut,
                             bool* aIsReset) -> Task<std::string> {
      tcp::socket socket(co_await asio::this_coro::executor);
      co_await socket.async_connect(
        { asio::ip::make_address(aAddress.mHost), aAddress.mPort }, kAsTuple);
      co_await asio::async_write(socket, asio::buffer(aOut), kAsTuple);
      std::string in(64UL * 1024, '\0');
      const auto [error, bytes] =
        co_await asio::async_read(socket, asio::buffer(in), kAsTuple);
      in.resize(bytes);
      *aIsReset = error != asio::error::eof;
      co_return in;
    };
    return Run(exchange(mAddress, std::move(aBytes), &mIsReset));
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
  bool mIsReset = false; ///< how the latest exchange ended
};

TEST_F(GivenAServer, AClientReusesItsConnection)
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

TEST_F(GivenAServer, ACallerOfHttp10GetsAStreamThatEndsWithItsConnection)
{
  const auto answer = Exchange("GET /stream HTTP/1.0\r\n\r\n");
  EXPECT_TRUE(answer.ends_with("\r\n\r\nfirst,second")) << answer;
  EXPECT_EQ(answer.find("Transfer-Encoding"), std::string::npos);
  EXPECT_FALSE(mIsReset);
}

// Guards against a cut stream that looks complete.
TEST_F(GivenAServer, ACallerOfHttp10SeesThatItsStreamIsCut)
{
  Exchange("GET /cut HTTP/1.0\r\n\r\n");
  EXPECT_TRUE(mIsReset);
}

TEST_F(GivenAServer, InputThatIsNotHttpIsABadRequest)
{
  EXPECT_TRUE(HasStatus(Exchange("hello there\r\n\r\n"), 400));
  EXPECT_EQ(mHandler.mHandled, 0);
}

TEST_F(GivenAServer, HeadersAndBodiesThatAreTooLongAreRefused)
{
  const std::string header = "GET / HTTP/1.1\r\nX: ";
  EXPECT_TRUE(
    HasStatus(Exchange(header + std::string(3000, 'x') + "\r\n\r\n"), 431));
  EXPECT_TRUE(HasStatus(
    Exchange("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"), 413));
  EXPECT_EQ(mHandler.mHandled, 0);
}

TEST_F(GivenAServer, ARequestThatArrivesTooSlowlyTimesOut)
{
  EXPECT_TRUE(HasStatus(
    Exchange("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf"), 408));
}

// Guards against a refusal that is lost by the reset of its own connection.
TEST_F(GivenAServer, ARefusalIsReceivedByACallerThatSendsItsWholeBodyFirst)
{
  constexpr std::size_t kBody = 2UL * 1024 * 1024;
  const auto sendAll = [](state::Address aAddress) -> Task<std::string> {
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(
      { asio::ip::make_address(aAddress.mHost), aAddress.mPort }, kAsTuple);
    const std::string text =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBody) +
      "\r\n\r\n" + std::string(kBody, 'x');
    const auto [error, sent] =
      co_await asio::async_write(socket, asio::buffer(text), kAsTuple);
    if (error) {
      co_return error.message();
    }
    std::string in(1024, '\0');
    const auto [end, bytes] =
      co_await asio::async_read(socket, asio::buffer(in), kAsTuple);
    in.resize(bytes);
    co_return in;
  };
  for (int i = 0; i < 20; ++i) {
    SCOPED_TRACE(i);
    const auto answer = Run(sendAll(mAddress));
    EXPECT_TRUE(HasStatus(answer, 413)) << answer;
  }
}

class WithFewConnections : public GivenAServer
{
protected:
  WithFewConnections() { mLimits.mMaxConnections = 1; }
};

TEST_F(WithFewConnections, AConnectionBeyondTheLimitIsRefused)
{
  asio::io_context other;
  tcp::socket first(other);
  first.connect({ asio::ip::make_address(mAddress.mHost), mAddress.mPort });
  EXPECT_TRUE(HasStatus(Exchange("GET / HTTP/1.1\r\n\r\n"), 503));
}

TEST_F(GivenAServer, WatchingACallerNeverBlocksTheThread)
{
  // The requests arrive before their connections are accepted. The server reads
  // them before the reactor reports their bytes, and the late report wakes the
  // disconnect detection although there is nothing to read. It must not block
  // then.
  constexpr int kCallers = 200;
  const auto sendAll = [&]() -> Task<int> {
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
  EXPECT_EQ(Run(sendAll()), kCallers);
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
      const auto chunk = co_await (*stream)->Read(Millis(5000));
      if (!chunk || chunk->empty()) {
        co_return std::pair(text, chunk.has_value());
      }
      text += *chunk;
    }
  }
};

TEST_F(ThatStreams, ACompleteStreamLooksComplete)
{
  const auto [text, isComplete] = Run(Read("/stream"));
  EXPECT_EQ(text, "first,second");
  EXPECT_TRUE(isComplete);
}

TEST_F(ThatStreams, AnAbortedStreamDoesNotLookComplete)
{
  const auto [text, isComplete] = Run(Read("/cut"));
  EXPECT_FALSE(isComplete);
}

TEST_F(ThatStreams, ADisconnectedCallerIsDetected)
{
  const auto disconnectCaller = [](state::Address aAddress,
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
    // The handler stops waiting only when the disconnect was detected.
    while (aHandler->mDisconnected.Size() > 0) {
      co_await Sleep(Millis(1));
    }
    co_return true;
  };
  EXPECT_TRUE(Run(disconnectCaller(mAddress, &mHandler)));
}

TEST_F(ThatStreams, ACancelledResponseEndsInAnError)
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

TEST_F(GivenAServer, AStoppedServerAcceptsNoMoreConnections)
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

class WhoseResponseTakesLong : public GivenAServer
{
protected:
  static constexpr Millis kSilence = kSlowPause * (kSlowParts - 2);

  state::Result<HttpResponse> Get(const std::string& aPath)
  {
    HttpClient client(mAddress, 1 << 20);
    HttpRequest request;
    request.mTarget = aPath;
    return Run(client.Send(request, { kSilence, kSilence, Millis(5000) }));
  }
};

// Calls that ended at a fixed time began anew, so that a congested link only
// carried responses that nobody awaited.
TEST_F(WhoseResponseTakesLong, OneThatKeepsArrivingIsReceivedWhole)
{
  const auto answer = Get("/slow");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->mBody.size(), kSlowParts);
}

TEST_F(WhoseResponseTakesLong, OneThatStopsArrivingIsAbandoned)
{
  const auto answer = Get("/stall");
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().mCode, state::ErrorCode::kTimeout);
}

/// TCP_USER_TIMEOUT in milliseconds of each connection of this process to a
/// port; 0 when keep-alive is off.
std::vector<int>
UserTimeoutsTo(std::uint16_t aPort)
{
  constexpr int kMaxDescriptors = 1024;
  std::vector<int> timeouts;
  for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    auto* address = reinterpret_cast<sockaddr*>(&peer);
    if (getpeername(descriptor, address, &size) != 0 ||
        peer.sin_family != AF_INET || ntohs(peer.sin_port) != aPort) {
      continue;
    }
    int timeout = 0;
    size = sizeof(timeout);
    getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &size);
    int hasKeepAlive = 0;
    size = sizeof(hasKeepAlive);
    getsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &hasKeepAlive, &size);
    timeouts.push_back(hasKeepAlive != 0 ? timeout : 0);
  }
  return timeouts;
}

TEST_F(GivenAServer, AClientsConnectionDetectsAnUnreachablePeer)
{
  HttpClient client(mAddress, 10000);
  const HttpRequest request;
  const auto answer = Run(client.Send(request, Millis(5000)));
  ASSERT_TRUE(answer);
  const std::vector<int> expected{ static_cast<int>(
    DeadPeerTimeouts{}.mUserTimeout.count()) };
  EXPECT_EQ(UserTimeoutsTo(mAddress.mPort), expected);
}

} // namespace
} // namespace shuntjunction::transport
