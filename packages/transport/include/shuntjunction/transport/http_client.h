#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "shuntjunction/state/error.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/http_types.h"
#include "shuntjunction/transport/task.h"

/// HTTP/1.1 client for the platform and the backends.
namespace shuntjunction::transport {

/// Cancels an HttpStream from outside, which ends its pending read.
///
/// Thread safety: none; used on one thread.
class CancelHandle
{
public:
  /// Closes the connection, now or as soon as it is attached.
  void Cancel()
  {
    mIsCancelled = true;
    if (mClose) {
      std::exchange(mClose, nullptr)();
    }
  }

  /// Sets the function that closes the connection.
  void Attach(std::function<void()> aClose)
  {
    mClose = std::move(aClose);
    if (mIsCancelled) {
      Cancel();
    }
  }

  /// Clears that function, before the connection is destroyed.
  void Detach() { mClose = nullptr; }

private:
  std::function<void()> mClose;
  bool mIsCancelled = false;
};

/// A response whose body is read in chunks.
///
/// Thread safety: none. Destroying it before the end closes its connection,
/// which cancels the work at a model engine.
class HttpStream
{
public:
  virtual ~HttpStream() = default;

  /// Status code of the response.
  virtual unsigned Status() const = 0;

  /// Value of a header field; empty when absent.
  virtual std::string Field(std::string_view aName) const = 0;

  /// Whether only the end of the connection marks the end of the body, so that
  /// a truncated one may look complete.
  virtual bool EndsWithConnection() const = 0;

  /// Next chunk of the body; empty at the end of a complete response.
  ///
  /// A truncated response gives an error, never an empty chunk, unless
  /// EndsWithConnection.
  virtual Task<state::Result<std::string>> Read(state::Millis aTimeout) = 0;
};

/// Longest time in which a response that keeps arriving is received. A page of
/// a list takes some milliseconds, and seconds if a whole fleet lists together.
inline constexpr state::Millis kMaxTransferTime{ 5000 };

/// Time limits of a call.
struct CallTimeouts
{
  state::Millis mResponse; ///< to connect, and until the response begins
  state::Millis mSilence;  ///< between two parts of the response
  /// Of the whole call. A response that keeps arriving is not abandoned
  /// earlier: on a congested link its transfer would only begin anew.
  state::Millis mTotal;
};

/// A client of one address that reuses idle connections.
///
/// Thread safety: none; used on one thread.
class HttpClient
{
public:
  /// @param aMaxResponseBytes  largest body that Send accepts
  HttpClient(state::Address aAddress, std::size_t aMaxResponseBytes);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and reads the complete response.
  ///
  /// @return kUnavailable when no connection could be opened, so that nothing
  ///         was sent; kTooLarge when it was answered by more than
  ///         aMaxResponseBytes; kTimeout when the request may have been sent
  ///         and its effect is unknown
  Task<state::Result<HttpResponse>> Send(HttpRequest aRequest,
                                         CallTimeouts aTimeouts);

  /// The same with one time limit for the whole call.
  Task<state::Result<HttpResponse>> Send(HttpRequest aRequest,
                                         state::Millis aTimeout);

  /// Sends a request and reads the header of the response.
  ///
  /// Errors are those of Send. The connection is always new, so that a peer's
  /// close of an idle one is never mistaken for a failure of this request.
  Task<state::Result<std::unique_ptr<HttpStream>>> Open(
    HttpRequest aRequest,
    state::Millis aConnectTimeout,
    state::Millis aTimeout,
    std::shared_ptr<CancelHandle> aCancel);

  /// Whether something listens at the address.
  Task<bool> IsListening(state::Millis aTimeout);

  /// Aborts all calls of Send that wait for a response: they return kTimeout.
  void AbortPendingCalls();

  /// Address of the server.
  const state::Address& Peer() const { return mAddress; }

private:
  struct Connection;
  class Stream;

  Task<state::Result<std::unique_ptr<Connection>>> Connect(
    state::Millis aTimeout);
  Task<state::Result<HttpResponse>> Exchange(
    std::unique_ptr<Connection>& aConnection,
    const HttpRequest& aRequest,
    CallTimeouts aTimeouts);

  state::Address mAddress;
  std::size_t mMaxResponseBytes;
  std::vector<std::unique_ptr<Connection>> mIdle;
  std::set<Connection*> mBusy; ///< of calls that wait for a response
};

} // namespace shuntjunction::transport
