#include "shuntjunction/transport/http_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "shuntjunction/transport/frame_channel.h"

namespace shuntjunction::transport {

namespace beast = boost::beast;
namespace http = beast::http;
using state::ErrorCode;
using state::Fail;
using state::Result;
using tcp = asio::ip::tcp;

/// What the server and its sessions share.
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

/// Pause after an accept that failed, for instance for want of descriptors.
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

/// Status for a request that could not be read.
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
    const auto most =
      static_cast<std::size_t>(mShared->mLimits.mMaxConnections);
    if (mShared->mSessions.size() > most) {
      mIsKept = false;
      co_await Respond(
        mShared->mHandler.Refusal(503, "too many open connections"));
    } else {
      while (co_await ServeOne()) {
      }
    }
    Abort();
  }

  /// Closes the connection if no request is being answered.
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
    message.keep_alive(mIsKept);
    message.prepare_payload();
    mStream.expires_after(mShared->mLimits.mWriteTimeout);
    const auto [error, bytes] =
      co_await http::async_write(mStream, message, kAsTuple);
    mIsAnswered = true;
    co_return Outcome(error, "http.respond");
  }

  Task<Result<void>> BeginStream(HttpResponse aHeader) override
  {
    http::response<http::empty_body> message;
    FillHeader(message, aHeader);
    message.keep_alive(mIsKept);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    mStream.expires_after(mShared->mLimits.mWriteTimeout);
    const auto [error, bytes] =
      co_await http::async_write_header(mStream, serializer, kAsTuple);
    co_return Outcome(error, "http.begin");
  }

  Task<Result<void>> Write(std::string aPiece) override
  {
    mStream.expires_after(mShared->mLimits.mWriteTimeout);
    const auto [error, bytes] = co_await asio::async_write(
      mStream, http::make_chunk(asio::buffer(aPiece)), kAsTuple);
    co_return Outcome(error, "http.write");
  }

  Task<Result<void>> EndStream() override
  {
    mStream.expires_after(mShared->mLimits.mWriteTimeout);
    const auto [error, bytes] =
      co_await asio::async_write(mStream, http::make_chunk_last(), kAsTuple);
    mIsAnswered = true;
    co_return Outcome(error, "http.end");
  }

  void Abort() override
  {
    mIsKept = false;
    beast::error_code ignored;
    mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    mStream.close();
  }

  void OnDisconnect(std::function<void()> aCallback) override
  {
    mOnGone = std::move(aCallback);
    Spawn(mShared->mContext, WatchCaller(mRequestNumber));
  }

private:
  /// Reads and answers one request; false when the connection is done.
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
    // The stream's own timer would close the socket and leave no way to say
    // why, so a timer of this request cancels the read instead.
    mStream.expires_never();
    Timer timer(mShared->mContext, limits.mHeaderTimeout);
    timer.async_wait([weak = weak_from_this()](auto aError) {
      const auto session = weak.lock();
      if (!aError && session) {
        session->mIsLate = true;
        session->mStream.cancel();
      }
    });
    const auto [error, bytes] =
      co_await http::async_read(mStream, mBuffer, parser, kAsTuple);
    timer.cancel();
    if (error) {
      co_await RefuseUnread(mIsLate ? beast::error::timeout : error);
      co_return false;
    }
    mIsKept = parser.keep_alive();
    mRequest = FromBeast(parser.release());
    mIsAnswered = false;
    ++mRequestNumber;
    co_await mShared->mHandler.Handle(*this);
    mOnGone = nullptr;
    mIsBusy = false;
    co_return mIsKept&& mIsAnswered && !mShared->mIsStopping;
  }

  Task<void> RefuseUnread(beast::error_code aError)
  {
    mIsKept = false;
    if (aError == http::error::end_of_stream || !mStream.socket().is_open()) {
      co_return;
    }
    co_await Respond(
      mShared->mHandler.Refusal(StatusOf(aError), aError.message()));
  }

  /// Waits for the caller to close its side while its request is answered.
  Task<void> WatchCaller(std::uint64_t aRequestNumber)
  {
    const auto self = shared_from_this();
    auto& socket = mStream.socket();
    boost::system::error_code peekError;
    do {
      const auto [error] =
        co_await socket.async_wait(tcp::socket::wait_read, kAsTuple);
      if (aRequestNumber != mRequestNumber || !mOnGone) {
        co_return;
      }
      peekError = error;
      char probe = 0;
      if (!peekError) {
        // The wait may end early: its reactor tells late of bytes that were
        // read already. Without non-blocking mode the look would then hold up
        // the thread until the caller sends something.
        socket.non_blocking(true, peekError);
        socket.receive(
          asio::buffer(&probe, 1), asio::socket_base::message_peek, peekError);
      }
    } while (peekError == asio::error::would_block);
    if (peekError) {
      mIsKept = false;
      std::exchange(mOnGone, nullptr)();
    }
  }

  template<typename Message>
  void FillHeader(Message& aMessage, const HttpResponse& aResponse)
  {
    mIsKept = mIsKept && !mShared->mIsStopping;
    aMessage.version(11);
    aMessage.result(aResponse.mStatus);
    aMessage.set(http::field::content_type, aResponse.mContentType);
    for (const auto& field : aResponse.mFields) {
      aMessage.set(field.mName, field.mValue);
    }
  }

  Result<void> Outcome(const beast::error_code& aError, std::string_view aStep)
  {
    if (!aError) {
      return {};
    }
    mIsKept = false;
    return Fail(ErrorCode::kUnavailable, aStep, "caller", aError.message());
  }

  static constexpr std::size_t kFirstReadBytes = 4096;

  std::shared_ptr<Shared> mShared;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  HttpRequest mRequest;
  std::uint64_t mRequestNumber = 0;
  std::function<void()> mOnGone;
  bool mIsKept = true;
  bool mIsBusy = false;
  bool mIsAnswered = false;
  bool mIsLate = false;
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
