#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "shuntjunction/transport/task.h"

/// A socket that is read ahead, so that its closing is noticed at once.
namespace shuntjunction::transport {

/// Reads a socket into a bounded buffer whether or not anybody waits.
///
/// A full buffer stops the reading until some of it is consumed, which holds
/// the peer up.
/// Thread safety: none; used on the thread of the socket's executor.
class SocketReader : public std::enable_shared_from_this<SocketReader>
{
public:
  /// @param aMaxBuffered  bytes that are read ahead at most
  SocketReader(asio::ip::tcp::socket aSocket, std::size_t aMaxBuffered);

  /// Begins to read.
  void Start();

  /// Waits until more arrived, the peer closed, Wake was called or aUntil.
  ///
  /// @pre  no other coroutine waits
  Task<void> Wait(state::TimePoint aUntil);

  /// Ends the current Wait.
  void Wake();

  /// Bytes that were read and not consumed.
  std::string_view Buffered() const
  {
    return std::string_view(mBuffer).substr(mConsumed);
  }

  /// Drops bytes from the front of the buffer.
  void Consume(std::size_t aBytes);

  /// Whether the peer closed its side or the connection failed.
  bool IsClosed() const { return mIsClosed; }

  /// Whether the peer ended its side in order, rather than being cut off.
  bool HasReachedEof() const { return mHasReachedEof; }

  /// Sets what is called, once, when the peer closes; null for nothing.
  void OnClosed(std::function<void()> aCallback)
  {
    mOnClosed = std::move(aCallback);
  }

  /// Closes the connection in order, or so that the peer sees it cut.
  void Close(bool aIsCut);

  /// Keeps something until the socket is closed here.
  void KeepWhileOpen(std::shared_ptr<void> aKept) { mKept = std::move(aKept); }

  asio::ip::tcp::socket& Socket() { return mSocket; }

private:
  void Arm();
  void TakeReadable(const boost::system::error_code& aError);
  void MarkClosed(const boost::system::error_code& aError);

  asio::ip::tcp::socket mSocket;
  Timer mSignal;
  std::size_t mMaxBuffered;
  std::string mBuffer;
  std::size_t mConsumed = 0;
  std::function<void()> mOnClosed;
  std::shared_ptr<void> mKept;
  bool mIsArmed = false;
  bool mIsClosed = false;
  bool mHasReachedEof = false;
};

/// Makes the closing of a socket reach the peer as a reset, which also drops
/// what was not yet delivered.
void
SetResetOnClose(asio::ip::tcp::socket& aSocket);

} // namespace shuntjunction::transport
