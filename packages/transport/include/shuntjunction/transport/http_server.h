#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include <boost/asio/ip/tcp.hpp>

#include "shuntjunction/state/error.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/http_types.h"
#include "shuntjunction/transport/task.h"

/// HTTP/1.1 from callers and operators.
namespace shuntjunction::transport {

/// One request and the means to answer it.
///
/// Thread safety: none; used on the server's thread.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  /// The request, whole.
  virtual const HttpRequest& Request() const = 0;

  /// Sends a whole answer.
  virtual Task<state::Result<void>> Respond(HttpResponse aResponse) = 0;

  /// Sends the header of an answer whose body follows in pieces.
  virtual Task<state::Result<void>> BeginStream(HttpResponse aHeader) = 0;

  /// Sends a piece; returns when the caller's socket took it.
  virtual Task<state::Result<void>> Write(std::string aPiece) = 0;

  /// Ends a complete answer.
  virtual Task<state::Result<void>> EndStream() = 0;

  /// Cuts the connection, so that an answer never looks complete.
  virtual void Abort() = 0;

  /// Sets what is called, once, when the caller goes away before its answer.
  virtual void OnDisconnect(std::function<void()> aCallback) = 0;
};

/// Answers requests.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  /// Answers one request; every path must respond, end or abort.
  virtual Task<void> Handle(HttpExchange& aExchange) = 0;

  /// Answer to a request that breaks a limit or HTTP itself.
  virtual HttpResponse Refusal(unsigned aStatus, std::string_view aText) = 0;
};

/// Accepts connections and reads requests within limits.
///
/// Thread safety: none; used on the thread of its io_context.
class HttpServer
{
public:
  /// @param aHandler  outlives the server
  HttpServer(asio::io_context& aContext,
             const state::LimitSettings& aLimits,
             HttpHandler& aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to accept; returns the address with the kernel's port.
  state::Result<state::Address> Start(const state::Address& aAddress);

  /// Goes on to accept and to answer, but keeps no connection alive: callers
  /// come back through the balancer, which no longer sends them here.
  void DisableKeepAlive();

  /// Stops to accept; answers that run go on, kept-alive connections close
  /// after them.
  void Stop();

  /// Open connections.
  std::size_t Connections() const;

private:
  struct Shared;
  class Session;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::transport
