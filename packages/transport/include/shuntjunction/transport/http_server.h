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

/// HTTP/1.1 server for callers and operators.
namespace shuntjunction::transport {

/// A request and the operations that respond to it.
///
/// Thread safety: none; used on the server's thread.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  /// The complete request.
  virtual const HttpRequest& Request() const = 0;

  /// Sends a complete response.
  virtual Task<state::Result<void>> Respond(HttpResponse aResponse) = 0;

  /// Sends the header of a response whose body follows in chunks.
  virtual Task<state::Result<void>> BeginStream(HttpResponse aHeader) = 0;

  /// Sends a chunk; returns when it was written to the caller's socket.
  virtual Task<state::Result<void>> Write(std::string aChunk) = 0;

  /// Ends a streamed response as complete.
  virtual Task<state::Result<void>> EndStream() = 0;

  /// Closes the connection, so that a partial response never looks complete.
  virtual void Abort() = 0;

  /// Sets a callback that runs once if the caller disconnects before its
  /// request is answered.
  virtual void OnDisconnect(std::function<void()> aCallback) = 0;
};

/// Handles the requests of an HttpServer.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  /// Handles one request; every path must respond, end the stream or abort.
  virtual Task<void> Handle(HttpExchange& aExchange) = 0;

  /// Response to a request that exceeds a limit or violates HTTP.
  virtual HttpResponse Refusal(unsigned aStatus, std::string_view aText) = 0;
};

/// Accepts connections and reads requests within configured limits.
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

  /// Starts accepting; returns the address with the port that the kernel
  /// assigned.
  state::Result<state::Address> Start(const state::Address& aAddress);

  /// Continues to accept and serve requests but closes each connection after
  /// its response: callers reconnect through the load balancer, which no longer
  /// sends them here.
  void DisableKeepAlive();

  /// Stops accepting and closes idle connections; others close after their
  /// current response.
  void Stop();

  /// Number of open connections.
  std::size_t Connections() const;

private:
  struct Shared;
  class Session;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::transport
