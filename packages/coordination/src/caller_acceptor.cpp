#include "caller_acceptor.h"

#include <algorithm>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

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
/// Connections closed unread before the next pause, and that pause. Without
/// it, a burst of callers would keep the processor from the traffic thread.
constexpr int kMaxRejectsPerTurn = 32;
constexpr Millis kRejectPause{ 20 };
/// Time in which a traffic thread that is not overloaded gives a sign.
constexpr Millis kSignPause{ 50 };

} // namespace

CallerAcceptor::CallerAcceptor(asio::io_context& aTraffic,
                               const CallerAcceptorSettings& aSettings,
                               const state::Clock& aClock,
                               state::MemoryBudget& aMemory,
                               MemoryProbe* aProbe,
                               Handler aOnCaller)
  : mTraffic(aTraffic)
  , mSettings(aSettings)
  , mClock(aClock)
  , mMemory(aMemory)
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
}

Task<bool>
CallerAcceptor::IsTrafficLate()
{
  if (mIsOverloaded) {
    co_return true;
  }
  const auto sign = mSignAt.load();
  if (mClock.Now() - sign < mSettings.mMaxSignAge) {
    co_return false;
  }
  // After a pause of the machine the sign is old too, and comes at once.
  if (mLateSign != sign) {
    co_await transport::Sleep(kSignPause);
    if (mSignAt.load() != sign) {
      co_return false;
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
  for (int i = 0; i < kMaxRejectsPerTurn; ++i) {
    const int socket =
      ::accept4(mAcceptor->native_handle(), nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    ::close(socket);
    CountRefusal(aReason);
  }
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
    CountRefusal(AcceptRefusal::kNoMemory);
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
