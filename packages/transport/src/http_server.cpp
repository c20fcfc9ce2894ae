#include "shuntjunction/transport/http_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "shuntjunction/transport/frame_channel.h"
#include "shuntjunction/transport/lingering_close.h"
#include "shuntjunction/transport/socket_reader.h"

namespace shuntjunction::transport {

namespace beast = boost::beast;
namespace http = beast::http;
using state::ErrorCode;
using state::Fail;
using state::Result;
using tcp = asio::ip::tcp;

/// State shared by the server and its sessions.
struct HttpServer::Shared
{
  asio::io_context& mContext;
  state::LimitSettings mLimits;
  HttpHandler& mHandler;
  std::shared_ptr<tcp::acceptor> mAcceptor;
  std::unordered_set<Session*> mSessions;
  bool mIsStopping = false;
};

namespace {

/// Pause after a failed accept, for example when file descriptors run out.
constexpr state::Millis kAcceptPause{ 50 };

HttpRequest
FromBeast(http::request<http::string_body>&& aMessage)
{
  HttpRequest request;
  request.mMethod = std::string(aMessage.method_string());
  request.mTarget = std::string(aMessage.target());
  request.mContentType = std::string(aMessage[http::field::content_type]);
  for (const auto& field : aMessage) {
    request.mFields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.mBody = std::move(aMessage.body());
  return request;
}

/// Status of the response to a request that could not be read.
unsigned
StatusOf(const beast::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  if (aError == http::error::header_limit) {
    return 431;
  }
  if (aError == beast::error::timeout) {
    return 408;
  }
  return 400;
}

} // namespace

/// One caller's connection.
class HttpServer::Session final
  : public HttpExchange
  , public std::enable_shared_from_this<HttpServer::Session>
{
public:
  Session(tcp::socket aSocket, std::shared_ptr<Shared> aShared)
    : mShared(std::move(aShared))
    , mStream(std::move(aSocket))
  {
    mShared->mSessions.insert(this);
  }

  ~Session() override { mShared->mSessions.erase(this); }

  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  Task<void> Run()
  {
    const auto self = shared_from_this();
    const auto maxConnections =
      static_cast<std::size_t>(mShared->mLimits.mMaxConnections);
    if (mShared->mSessions.size() > maxConnections) {
      mKeepsAlive = false;
      mIsRefused = true;
      co_await Respond(
        mShared->mHandler.Refusal(503, "too many open connections"));
    } else {
      while (co_await ServeOne()) {
      }
    }
    if (mIsRefused) {
      co_await DiscardInput();
    }
    Abort();
  }

  /// Closes the connection if no request is being read or handled.
  void CloseIfIdle()
  {
    if (!mIsBusy) {
      Abort();
    }
  }

  const HttpRequest& Request() const override { return mRequest; }

  Task<Result<void>> Respond(HttpResponse aResponse) override
  {
    http::response<http::string_body> message;
    message.body() = std::move(aResponse.mBody);
    FillHeader(message, aResponse);
    mKeepsAlive = mKeepsAlive && !aResponse.mEndsWithConnection;
    message.keep_alive(mKeepsAlive);
    if (!aResponse.mEndsWithConnection) {
      message.prepare_payload();
    }
    mStream.expires_after(mShared->mLimits.mWriteTimeout);
    const auto [error, bytes] =
      co_await http::async_write(mStream, message, kAsTuple);
    mIsAnswered = true;
    co_return ToResult(error, "http.respond");
  }

  Task<Result<void>> BeginStream(HttpResponse aHeader) override
  {
    http::response<http::empty_body> message;
    FillHeader(message, aHeader);
    mIsUnframed = aHeader.mEndsWithConnection || mIsHttp10;
    if (mIsUnframed) {
      // An orderly close, also by the end of this process, would complete it.
      SetResetOnClose(mStream.socket());
      mKeepsAlive = false;
    }
    message.keep_alive(mKeepsAlive);
    message.chunked(!mIsUnframed);
    http::response_serializer<http::empty_body> serializer(message);
    mStream.expires_after(mShared->mLimits.mWriteTimeout);
    const auto [error, bytes] =
      co_await http::async_write_header(mStream, serializer, kAsTuple);
    co_return ToResult(error, "http.begin");
  }

  Task<Result<void>> Write(std::string aChunk) override
  {
    mStream.expires_after(mShared->mLimits.mWriteTimeout);
    if (mIsUnframed) {
      const auto [error, bytes] =
        co_await asio::async_write(mStream, asio::buffer(aChunk), kAsTuple);
      co_return ToResult(error, "http.write");
    }
    const auto [error, bytes] = co_await asio::async_write(
      mStream, http::make_chunk(asio::buffer(aChunk)), kAsTuple);
    co_return ToResult(error, "http.write");
  }

  Task<Result<void>> EndStream() override
  {
    if (mIsUnframed) {
      SetResetOnClose(mStream.socket(), false);
      mIsAnswered = true;
      co_return Result<void>{};
    }
    mStream.expires_after(mShared->mLimits.mWriteTimeout);
    const auto [error, bytes] =
      co_await asio::async_write(mStream, http::make_chunk_last(), kAsTuple);
    mIsAnswered = true;
    co_return ToResult(error, "http.end");
  }

  void Abort() override
  {
    mKeepsAlive = false;
    if (!mIsUnframed || mIsAnswered) {
      beast::error_code ignored;
      mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }
    mStream.close();
  }

  void OnDisconnect(std::function<void()> aCallback) override
  {
    mOnDisconnect = std::move(aCallback);
    Spawn(mShared->mContext, WatchCaller(mRequestNumber));
  }

private:
  /// Reads and handles one request; false when the connection is to be closed.
  Task<bool> ServeOne()
  {
    http::request_parser<http::string_body> parser;
    const auto& limits = mShared->mLimits;
    parser.header_limit(static_cast<std::uint32_t>(limits.mMaxHeaderBytes));
    parser.body_limit(static_cast<std::uint64_t>(limits.mMaxBodyBytes));
    if (mBuffer.size() == 0) {
      mStream.expires_after(limits.mIdleTimeout);
      const auto [idleError, bytes] = co_await mStream.async_read_some(
        mBuffer.prepare(kFirstReadBytes), kAsTuple);
      if (idleError) {
        co_return false;
      }
      mBuffer.commit(bytes);
    }
    mIsBusy = true;
    // The stream's own timer would close the socket, so that no status could be
    // sent; a separate timer cancels the read instead.
    mStream.expires_never();
    Timer timer(mShared->mContext, limits.mHeaderTimeout);
    timer.async_wait([weak = weak_from_this()](auto aError) {
      const auto session = weak.lock();
      if (!aError && session) {
        session->mIsTimedOut = true;
        session->mStream.cancel();
      }
    });
    const auto [error, bytes] =
      co_await http::async_read(mStream, mBuffer, parser, kAsTuple);
    timer.cancel();
    if (error) {
      co_await RespondToReadError(mIsTimedOut ? beast::error::timeout : error);
      co_return false;
    }
    mKeepsAlive = parser.keep_alive();
    mIsHttp10 = parser.get().version() < kHttp11;
    mIsUnframed = false;
    mRequest = FromBeast(parser.release());
    mIsAnswered = false;
    ++mRequestNumber;
    co_await mShared->mHandler.Handle(*this);
    mOnDisconnect = nullptr;
    mIsBusy = false;
    co_return mKeepsAlive&& mIsAnswered && !mShared->mIsStopping;
  }

  Task<void> RespondToReadError(beast::error_code aError)
  {
    mKeepsAlive = false;
    if (aError == http::error::end_of_stream || !mStream.socket().is_open()) {
      co_return;
    }
    mIsRefused = true;
    co_await Respond(
      mShared->mHandler.Refusal(StatusOf(aError), aError.message()));
  }

  /// Lingers until the caller of a refused request has closed its side; see
  /// CloseLingering.
  Task<void> DiscardInput()
  {
    const LingerLimits limits;
    beast::error_code ignored;
    mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    mStream.expires_after(limits.mTime);
    mBuffer.clear();
    std::size_t discarded = 0;
    while (discarded < limits.mBytes) {
      // Nothing is committed, so that the buffer is used again.
      const auto [error, bytes] = co_await mStream.async_read_some(
        mBuffer.prepare(kDiscardBytes), kAsTuple);
      if (error) {
        break;
      }
      discarded += bytes;
    }
  }

  /// Detects that the caller disconnects while its request is handled.
  Task<void> WatchCaller(std::uint64_t aRequestNumber)
  {
    const auto self = shared_from_this();
    auto& socket = mStream.socket();
    boost::system::error_code peekError;
    do {
      const auto [error] =
        co_await socket.async_wait(tcp::socket::wait_read, kAsTuple);
      if (aRequestNumber != mRequestNumber || !mOnDisconnect) {
        co_return;
      }
      peekError = error;
      char probe = 0;
      if (!peekError) {
        // The wait may end spuriously: the reactor may report bytes that were
        // already read. Without non-blocking mode the peek would then block the
        // thread until the caller sends something.
        socket.non_blocking(true, peekError);
        socket.receive(
          asio::buffer(&probe, 1), asio::socket_base::message_peek, peekError);
      }
    } while (peekError == asio::error::would_block);
    if (peekError) {
      mKeepsAlive = false;
      std::exchange(mOnDisconnect, nullptr)();
    }
  }

  template<typename Message>
  void FillHeader(Message& aMessage, const HttpResponse& aResponse)
  {
    mKeepsAlive = mKeepsAlive && !mShared->mIsStopping;
    aMessage.version(11);
    aMessage.result(aResponse.mStatus);
    aMessage.set(http::field::content_type, aResponse.mContentType);
    for (const auto& field : aResponse.mFields) {
      aMessage.set(field.mName, field.mValue);
    }
  }

  Result<void> ToResult(const beast::error_code& aError, std::string_view aStep)
  {
    if (!aError) {
      return {};
    }
    mKeepsAlive = false;
    return Fail(ErrorCode::kUnavailable, aStep, "caller", aError.message());
  }

  static constexpr std::size_t kFirstReadBytes = 4096;
  static constexpr std::size_t kDiscardBytes = 16UL * 1024;
  static constexpr unsigned kHttp11 = 11;

  std::shared_ptr<Shared> mShared;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  HttpRequest mRequest;
  std::uint64_t mRequestNumber = 0;
  std::function<void()> mOnDisconnect;
  bool mKeepsAlive = true;
  bool mIsBusy = false;
  bool mIsAnswered = false;
  bool mIsTimedOut = false;
  bool mIsRefused = false;  ///< before all of its request was read
  bool mIsHttp10 = false;   ///< the caller does not support chunks
  bool mIsUnframed = false; ///< only the close ends the current stream
};

HttpServer::HttpServer(asio::io_context& aContext,
                       const state::LimitSettings& aLimits,
                       HttpHandler& aHandler)
  : mShared(std::make_shared<Shared>(Shared{ aContext, aLimits, aHandler }))
{
}

HttpServer::~HttpServer()
{
  Stop();
}

Result<state::Address>
HttpServer::Start(const state::Address& aAddress)
{
  auto acceptor = Listen(mShared->mContext, aAddress);
  if (!acceptor) {
    return tl::unexpected(acceptor.error());
  }
  mShared->mAcceptor = *acceptor;
  const auto accept = [](std::shared_ptr<Shared> aShared) -> Task<void> {
    const auto acceptor = aShared->mAcceptor;
    while (acceptor->is_open()) {
      auto [error, socket] = co_await acceptor->async_accept(kAsTuple);
      if (error && acceptor->is_open()) {
        co_await Sleep(kAcceptPause);
        continue;
      }
      if (!error) {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto session =
          std::make_shared<Session>(std::move(socket), aShared);
        Spawn(aShared->mContext, session->Run());
      }
    }
  };
  Spawn(mShared->mContext, accept(mShared));
  return LocalAddress(*mShared->mAcceptor);
}

void
HttpServer::DisableKeepAlive()
{
  mShared->mIsStopping = true;
}

void
HttpServer::Stop()
{
  DisableKeepAlive();
  if (mShared->mAcceptor) {
    boost::system::error_code ignored;
    mShared->mAcceptor->close(ignored);
  }
  const auto sessions = mShared->mSessions;
  for (Session* session : sessions) {
    session->CloseIfIdle();
  }
}

std::size_t
HttpServer::Connections() const
{
  return mShared->mSessions.size();
}

} // namespace shuntjunction::transport
