#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "shuntjunction/transport/task.h"

/// A socket with read-ahead, so that its closing is detected at once.
namespace shuntjunction::transport {

/// Reads a socket into a bounded buffer, whether or not a coroutine waits.
///
/// A full buffer suspends reading until some of it is consumed, which applies
/// backpressure to the peer.
/// Thread safety: none; used on the thread of the socket's executor.
class SocketReader : public std::enable_shared_from_this<SocketReader>
{
public:
  /// @param aMaxBuffered  buffered bytes at which reading is suspended
  SocketReader(asio::ip::tcp::socket aSocket, std::size_t aMaxBuffered);

  /// Starts reading.
  void Start();

  /// Waits until data arrives, the peer closes, Wake is called or aUntil
  /// passes.
  ///
  /// @pre  no other coroutine waits
  Task<void> Wait(state::TimePoint aUntil);

  /// Ends the current Wait.
  void Wake();

  /// Bytes that were read and not yet consumed.
  std::string_view Buffered() const
  {
    return std::string_view(mBuffer).substr(mConsumed);
  }

  /// Drops bytes from the front of the buffer.
  void Consume(std::size_t aBytes);

  /// Number of received bytes that were not consumed, including those that the
  /// kernel still holds.
  std::size_t UnreadBytes() const
  {
    boost::system::error_code ignored;
    const auto waiting = mSocket.available(ignored);
    return Buffered().size() + (ignored ? 0 : waiting);
  }

  /// Whether the connection ended: the peer closed its side, it failed, or
  /// Close was called.
  bool IsClosed() const { return mIsClosed; }

  /// Whether the peer closed its side in order, rather than the connection
  /// failing.
  ///
  /// @pre  writes that overlapped with reading were made by Write
  bool HasReachedEof() const { return mHasReachedEof; }

  /// Two parts of what is written, which one segment may carry together.
  using WriteBuffers = std::array<asio::const_buffer, 2>;

  /// Writes all bytes; returns false if the connection failed or was closed.
  ///
  /// @pre  the buffers stay valid, and nothing else is written meanwhile
  Task<bool> Write(WriteBuffers aBuffers);

  /// Sets a callback that runs once when the peer closes its side or the
  /// connection fails; null for none.
  void OnClosed(std::function<void()> aCallback)
  {
    mOnClosed = std::move(aCallback);
  }

  /// Sets a callback that runs whenever bytes were received; null for none.
  void OnReceived(std::function<void()> aCallback)
  {
    mOnReceived = std::move(aCallback);
  }

  /// Closes the connection, in order or with a reset.
  void Close(bool aWithReset);

  /// Holds a reference to an object until Close is called.
  void KeepWhileOpen(std::shared_ptr<void> aObject)
  {
    mKeptWhileOpen = std::move(aObject);
  }

  asio::ip::tcp::socket& Socket() { return mSocket; }

private:
  void Arm();
  void ReadAvailable(const boost::system::error_code& aError);
  void MarkClosed(const boost::system::error_code& aError);
  void NoteWriteError(const boost::system::error_code& aError);

  asio::ip::tcp::socket mSocket;
  Timer mSignal;
  std::size_t mMaxBuffered;
  std::string mBuffer;
  std::size_t mConsumed = 0;
  std::function<void()> mOnClosed;
  std::function<void()> mOnReceived;
  std::shared_ptr<void> mKeptWhileOpen;
  bool mIsArmed = false;
  bool mIsClosed = false;
  bool mHasReachedEof = false;
  bool mHasFailed = false; ///< a write has seen the connection fail
};

/// Sets whether closing the socket sends a reset to the peer, which also
/// discards data that was not yet delivered. It holds for the end of the
/// process too.
void
SetResetOnClose(asio::ip::tcp::socket& aSocket, bool aWithReset = true);

} // namespace shuntjunction::transport
