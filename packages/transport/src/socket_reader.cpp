#include "shuntjunction/transport/socket_reader.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/buffers_prefix.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

namespace shuntjunction::transport {

using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kReadBytes = 32UL * 1024;
/// Bytes of a write after which the thread's other work has its turn.
constexpr std::size_t kWriteBytes = 64UL * 1024;
/// Largest empty buffer that a connection keeps; there may be thousands of
/// connections that are idle.
constexpr std::size_t kKeptBytes = 1024;

} // namespace

SocketReader::SocketReader(tcp::socket aSocket, std::size_t aMaxBuffered)
  : mSocket(std::move(aSocket))
  , mSignal(mSocket.get_executor())
  , mMaxBuffered(aMaxBuffered)
{
  boost::system::error_code ignored;
  mSocket.non_blocking(true, ignored);
}

void
SocketReader::Start()
{
  Arm();
}

Task<void>
SocketReader::Wait(state::TimePoint aUntil)
{
  mSignal.expires_at(aUntil);
  co_await mSignal.async_wait(kAsTuple);
}

void
SocketReader::Wake()
{
  mSignal.cancel();
}

void
SocketReader::Consume(std::size_t aBytes)
{
  mConsumed += aBytes;
  if (mConsumed == mBuffer.size()) {
    mConsumed = 0;
    mBuffer.clear();
    if (mBuffer.capacity() > kKeptBytes) {
      mBuffer.shrink_to_fit();
    }
  }
  Arm();
}

void
SocketReader::Close(bool aWithReset)
{
  if (!mSocket.is_open()) {
    return;
  }
  if (aWithReset) {
    SetResetOnClose(mSocket);
  }
  boost::system::error_code ignored;
  mSocket.close(ignored);
  mKeptWhileOpen = nullptr;
  mIsClosed = true;
  mOnClosed = nullptr;
  mOnReceived = nullptr;
  Wake();
}

void
SocketReader::Arm()
{
  if (mIsArmed || mIsClosed || Buffered().size() >= mMaxBuffered) {
    return;
  }
  mIsArmed = true;
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](const boost::system::error_code& aError) {
      self->mIsArmed = false;
      self->ReadAvailable(aError);
    });
}

void
SocketReader::ReadAvailable(const boost::system::error_code& aError)
{
  if (mIsClosed) {
    return;
  }
  if (aError) {
    MarkClosed(aError);
    return;
  }
  // One buffer per thread, so that an idle connection holds no memory.
  thread_local std::array<char, kReadBytes> sBytes;
  boost::system::error_code error;
  const std::size_t wanted =
    std::min(sBytes.size(), mMaxBuffered - Buffered().size());
  const std::size_t bytes =
    mSocket.read_some(asio::buffer(sBytes, wanted), error);
  if (error == asio::error::would_block) {
    Arm();
    return;
  }
  if (error) {
    MarkClosed(error);
    return;
  }
  mBuffer.erase(0, std::exchange(mConsumed, 0));
  mBuffer.append(sBytes.data(), bytes);
  Arm();
  Wake();
  if (mOnReceived) {
    mOnReceived();
  }
}

Task<bool>
SocketReader::Write(WriteBuffers aBuffers)
{
  const auto self = shared_from_this();
  boost::beast::buffers_suffix<WriteBuffers> rest(aBuffers);
  while (asio::buffer_size(rest) > 0) {
    // Not async_write: its error would be known here only after reads that
    // already lack it.
    boost::system::error_code error;
    rest.consume(mSocket.write_some(
      boost::beast::buffers_prefix(kWriteBytes, rest), error));
    if (error && error != asio::error::would_block) {
      NoteWriteError(error);
      co_return false;
    }
    if (asio::buffer_size(rest) > 0) {
      const auto [waitError] =
        co_await mSocket.async_wait(tcp::socket::wait_write, kAsTuple);
      if (waitError) {
        co_return false;
      }
    }
  }
  co_return true;
}

void
SocketReader::NoteWriteError(const boost::system::error_code& aError)
{
  // The kernel reports the failure of a connection to one call; later reads end
  // as after an orderly close. A reset that follows the peer's orderly close is
  // reported as a broken pipe: all that it sent has arrived.
  mHasFailed = aError != asio::error::broken_pipe;
}

void
SocketReader::MarkClosed(const boost::system::error_code& aError)
{
  mIsClosed = true;
  mHasReachedEof = aError == asio::error::eof && !mHasFailed;
  if (mOnClosed) {
    std::exchange(mOnClosed, nullptr)();
  }
  Wake();
}

void
SetResetOnClose(tcp::socket& aSocket, bool aWithReset)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(aWithReset, 0), ignored);
}

} // namespace shuntjunction::transport
