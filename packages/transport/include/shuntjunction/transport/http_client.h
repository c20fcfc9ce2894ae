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

/// HTTP/1.1 towards the platform and the backends.
namespace shuntjunction::transport {

/// Cuts an open answer off from outside, which ends its pending read.
///
/// Thread safety: none; used on one thread.
class CancelHandle
{
public:
  /// Cuts the answer off, now or as soon as its connection is open.
  void Cancel()
  {
    mIsCancelled = true;
    if (mClose) {
      std::exchange(mClose, nullptr)();
    }
  }

  /// Sets what cuts the connection.
  void Attach(std::function<void()> aClose)
  {
    mClose = std::move(aClose);
    if (mIsCancelled) {
      Cancel();
    }
  }

  /// Forgets the connection, before it is destroyed.
  void Detach() { mClose = nullptr; }

private:
  std::function<void()> mClose;
  bool mIsCancelled = false;
};

/// An answer that is read piece by piece.
///
/// Thread safety: none. Destroying it before the end closes its connection,
/// which cancels the work at a model engine.
class HttpStream
{
public:
  virtual ~HttpStream() = default;

  /// Status of the answer.
  virtual unsigned Status() const = 0;

  /// Value of a header field; empty when absent.
  virtual std::string Field(std::string_view aName) const = 0;

  /// Next piece of the body; empty at the end of a complete answer.
  ///
  /// An answer that was cut off gives an error, never an empty piece.
  virtual Task<state::Result<std::string>> Read(state::Millis aTimeout) = 0;
};

/// A client of one address that keeps idle connections.
///
/// Thread safety: none; used on one thread.
class HttpClient
{
public:
  /// @param aMaxAnswerBytes  longest whole answer
  HttpClient(state::Address aAddress, std::size_t aMaxAnswerBytes);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and reads the whole answer.
  ///
  /// @return kUnavailable when the request was not sent, or not wholly;
  ///         kTimeout when it was sent and its effect is unknown
  Task<state::Result<HttpResponse>> Send(HttpRequest aRequest,
                                         state::Millis aTimeout);

  /// Sends a request and reads the header of its answer.
  ///
  /// Errors as of Send. The connection is new, so that the peer's having
  /// closed an old one is never mistaken for a failure of this request.
  Task<state::Result<std::unique_ptr<HttpStream>>> Open(
    HttpRequest aRequest,
    state::Millis aConnectTimeout,
    state::Millis aTimeout,
    std::shared_ptr<CancelHandle> aCancel);

  /// Ends all calls of Send that wait for their answer: they return kTimeout.
  void AbortPendingCalls();

  /// Address that it talks to.
  const state::Address& Peer() const { return mAddress; }

private:
  struct Connection;
  class Stream;

  Task<state::Result<std::unique_ptr<Connection>>> Connect(
    state::Millis aTimeout);
  Task<state::Result<HttpResponse>> Exchange(
    std::unique_ptr<Connection>& aConnection,
    const HttpRequest& aRequest,
    state::Millis aTimeout);

  state::Address mAddress;
  std::size_t mMaxAnswerBytes;
  std::vector<std::unique_ptr<Connection>> mIdle;
  std::set<Connection*> mBusy; ///< of calls that wait for their answer
};

} // namespace shuntjunction::transport
