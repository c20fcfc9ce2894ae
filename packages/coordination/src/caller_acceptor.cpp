#include "caller_acceptor.h"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay_core.h"
#include "shuntjunction/transport/connect.h"
#include "shuntjunction/transport/frame_channel.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::Result;
using transport::Task;
namespace asio = transport::asio;
using tcp = asio::ip::tcp;

namespace {

/// Part of the memory that is reserved for one connection at most.
constexpr std::int64_t kMaxNeedDivisor = 8;
/// Pause after a connection could not be accepted.
constexpr Millis kAcceptPause{ 50 };
/// Interval at which the acceptor checks whether the traffic thread has begun
/// to serve the callers handed over.
constexpr Millis kPendingPause{ 5 };
/// Recent connections closed unread before the next pause, and that pause.
/// Without it, a burst of callers would keep the processor from the traffic
/// thread.
constexpr int kMaxRejectsPerTurn = 32;
constexpr Millis kRejectPause{ 20 };
/// Wait up to which a connection may be left for a later turn: its caller has
/// sent a request, and tries another relay once it is closed. At most the
/// backlog reaches this age in this time, which bounds the processor time.
constexpr Millis kMaxRejectedWait{ 100 };
/// Time in which a traffic thread that is not overloaded gives a sign.
constexpr Millis kSignPause{ 50 };
/// Interval between two log lines about connections closed unread.
constexpr Millis kRejectionsInterval{ 1000 };

/// What a connection's caller has sent, unread.
struct UnreadInput
{
  int mBytes = 0;
  /// Time since bytes arrived last, or since the connection was established.
  Millis mAge{ 0 };
};

/// Nothing of what the kernel does not report.
UnreadInput
UnreadInputOf(int aSocket)
{
  UnreadInput input;
  ::ioctl(aSocket, FIONREAD, &input.mBytes);
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0) {
    input.mAge = Millis(info.tcpi_last_data_recv);
  }
  return input;
}

} // namespace

CallerAcceptor::CallerAcceptor(asio::io_context& aTraffic,
                               const CallerAcceptorSettings& aSettings,
                               const state::Clock& aClock,
                               state::MemoryBudget& aMemory,
                               EventLog& aLog,
                               MemoryProbe* aProbe,
                               Handler aOnCaller)
  : mTraffic(aTraffic)
  , mSettings(aSettings)
  , mClock(aClock)
  , mMemory(aMemory)
  , mLog(aLog)
  , mProbe(aProbe)
  , mOnCaller(std::move(aOnCaller))
  , mNeed({ aSettings.mBytesPerCaller,
            std::max(aSettings.mBytesPerCaller,
                     aMemory.Limit() / kMaxNeedDivisor) })
{
}

CallerAcceptor::~CallerAcceptor()
{
  Stop();
}

Result<state::Address>
CallerAcceptor::Start(const state::Address& aAddress)
{
  auto acceptor = transport::Listen(mContext, aAddress, mSettings.mBacklog);
  if (!acceptor) {
    return tl::unexpected(acceptor.error());
  }
  mAcceptor = *acceptor;
  // AcceptOne needs this, so that accept() returns when none is pending.
  boost::system::error_code ignored;
  mAcceptor->non_blocking(true, ignored);
  NoteTrafficSign(Millis(0));
  transport::Spawn(mContext, Accept());
  transport::Spawn(mContext, LogRejections());
  if (mProbe != nullptr) {
    transport::Spawn(mContext, MeasureMemory());
  }
  const auto address = transport::LocalAddress(*mAcceptor);
  mThread = std::thread([this] { mContext.run(); });
  return address;
}

void
CallerAcceptor::Stop()
{
  mContext.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
  WriteRejections();
}

Task<bool>
CallerAcceptor::IsTrafficLate()
{
  if (mIsOverloaded) {
    co_return true;
  }
  const auto sign = mSignAt.load();
  if (mClock.Now() - sign < mSettings.mMaxSignAge - kSignPause) {
    co_return false;
  }
  // After a pause of the machine the sign is old too, and comes at once.
  if (mLateSign != sign) {
    for (Millis waited{ 0 }; waited < kSignPause; waited += kPendingPause) {
      co_await transport::Sleep(kPendingPause);
      if (mSignAt.load() != sign) {
        co_return false;
      }
    }
    mLateSign = sign;
  }
  co_return true;
}

std::optional<AcceptRefusal>
CallerAcceptor::ReasonIfFull() const
{
  if (mIsOverloaded) {
    return AcceptRefusal::kOverloaded;
  }
  if (mCallers >= mMaxCallers) {
    return AcceptRefusal::kCallerLimit;
  }
  if (!mMemory.HasRoom(mNeed.Expected())) {
    return AcceptRefusal::kNoMemory;
  }
  return std::nullopt;
}

Task<std::optional<AcceptRefusal>>
CallerAcceptor::ReasonToReject()
{
  const bool isLate = co_await IsTrafficLate();
  if (const auto reason = ReasonIfFull()) {
    co_return reason;
  }
  if (isLate) {
    co_return AcceptRefusal::kTrafficLate;
  }
  if (IsBehind()) {
    co_return AcceptRefusal::kBacklogged;
  }
  co_return std::nullopt;
}

Task<void>
CallerAcceptor::Accept()
{
  while (true) {
    if (!IsAnyWaiting()) {
      mWaitingSince.reset();
    }
    const auto [error] = co_await mAcceptor->async_wait(
      tcp::acceptor::wait_read, transport::kAsTuple);
    if (error) {
      co_await transport::Sleep(kAcceptPause);
      continue;
    }
    const auto reason = co_await ReasonToReject();
    if (reason) {
      RejectWaiting(*reason);
      co_await transport::Sleep(kRejectPause);
    } else if (IsWindowUsedUp()) {
      co_await transport::Sleep(kPendingPause);
    } else if (!AcceptOne()) {
      co_await transport::Sleep(kAcceptPause);
    }
  }
}

bool
CallerAcceptor::IsWindowUsedUp() const
{
  return mPending >= mSettings.mMaxPending || !mWindow.HasRoom();
}

bool
CallerAcceptor::IsAnyWaiting() const
{
  pollfd listening{ mAcceptor->native_handle(), POLLIN, 0 };
  return ::poll(&listening, 1, 0) > 0;
}

bool
CallerAcceptor::IsBehind()
{
  if (!IsWindowUsedUp()) {
    return false;
  }
  const auto now = mClock.Now();
  if (!mWaitingSince) {
    mWaitingSince = now;
  }
  return now - *mWaitingSince >= mSettings.mMaxSignAge;
}

void
CallerAcceptor::RejectWaiting(AcceptRefusal aReason)
{
  int recent = 0;
  while (recent < kMaxRejectsPerTurn) {
    const int socket =
      ::accept4(mAcceptor->native_handle(), nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    const auto waited = NoteRejected(socket, aReason);
    ::close(socket);
    recent += waited + kRejectPause <= kMaxRejectedWait ? 1 : 0;
  }
}

Millis
CallerAcceptor::NoteRejected(int aSocket, AcceptRefusal aReason)
{
  const auto input = UnreadInputOf(aSocket);
  const auto reason = static_cast<std::size_t>(aReason);
  ++mRefused[reason];
  ++mRejections.mCounts[reason];
  mRejections.mLongestWait = std::max(mRejections.mLongestWait, input.mAge);
  if (input.mBytes > 0) {
    ++mRefusedWithBytes[reason];
    ++mRejections.mWithBytes;
  }
  return input.mAge;
}

Task<void>
CallerAcceptor::LogRejections()
{
  while (true) {
    co_await transport::Sleep(kRejectionsInterval);
    WriteRejections();
  }
}

void
CallerAcceptor::WriteRejections()
{
  const auto rejections = std::exchange(mRejections, {});
  const auto& counts = rejections.mCounts;
  if (std::ranges::none_of(counts, [](auto aCount) { return aCount > 0; })) {
    return;
  }
  EventLine line(kRelayComponent, "callers-rejected");
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const auto reason = static_cast<AcceptRefusal>(i);
    line.Add(kAcceptRefusalNames.Name(reason), counts[i]);
  }
  line.Add("with_bytes", rejections.mWithBytes);
  line.Add("longest_wait_ms", rejections.mLongestWait.count());
  mLog.Write(std::move(line));
}

bool
CallerAcceptor::AcceptOne()
{
  boost::system::error_code error;
  auto socket = mAcceptor->accept(mTraffic, error);
  if (error) {
    return error == asio::error::would_block;
  }
  AcceptedCaller caller{ std::move(socket), state::MemoryReservation(mMemory) };
  // Another reservation may have taken the room meanwhile.
  if (!caller.mMemory.Resize(mNeed.Expected())) {
    NoteRejected(caller.mSocket.native_handle(), AcceptRefusal::kNoMemory);
    return true;
  }
  ++mCallers;
  ++mPending;
  mWindow.NoteHandedOver();
  mOnCaller(std::move(caller));
  return true;
}

Task<void>
CallerAcceptor::MeasureMemory()
{
  while (true) {
    const auto usage = mProbe->Measure();
    // What the allocator holds unused serves the next allocations.
    mMemory.NoteUsed(usage.mResident - usage.mFreeHeap);
    co_await transport::Sleep(mSettings.mMeasureInterval);
  }
}

} // namespace shuntjunction::coordination
