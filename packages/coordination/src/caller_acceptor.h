#pragma once

// Private to coordination: accepts callers' connections on a thread of its own.

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/memory_probe.h"
#include "shuntjunction/state/accept_window.h"
#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/state/error.h"
#include "shuntjunction/state/memory_budget.h"
#include "shuntjunction/state/memory_need.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/task.h"

namespace shuntjunction::coordination {

/// A caller's connection and the memory reserved for it.
struct AcceptedCaller
{
  transport::asio::ip::tcp::socket mSocket;
  state::MemoryReservation mMemory;
};

/// Why a connection was closed unread.
enum class AcceptRefusal : std::uint8_t
{
  kOverloaded,  ///< the process has more work than it can answer
  kTrafficLate, ///< the traffic thread gave no sign in time
  kBacklogged,  ///< connections waited too long for the traffic thread
  kCallerLimit, ///< as many callers are connected as descriptors allow
  kNoMemory,    ///< no memory is left for another request
};

/// Names of AcceptRefusal.
inline constexpr state::EnumNames<AcceptRefusal, 5> kAcceptRefusalNames{
  { "overloaded", "traffic_late", "backlogged", "caller_limit", "no_memory" }
};

/// Settings of a CallerAcceptor.
struct CallerAcceptorSettings
{
  /// Least memory reserved for each connection.
  std::int64_t mBytesPerCaller = 64L * 1024;
  /// Interval at which the process's memory is measured.
  state::Millis mMeasureInterval{ 100 };
  /// Age of the traffic thread's last sign from which on it is taken to be
  /// overloaded, and longest time in which connections may wait for it. Must
  /// exceed the pauses of CPU quotas, which may last for the rest of a 100 ms
  /// period.
  state::Millis mMaxSignAge{ 170 };
  /// Connections handed over that the traffic thread has not begun to serve.
  /// More wait in the kernel, unless that thread is overloaded.
  std::int64_t mMaxPending = 64;
  /// Connections that may wait in the kernel. What their callers sent is part
  /// of the process's own share of the memory.
  int mBacklog = 512;
};

/// Accepts connections, or closes them unread while there is no room.
///
/// Runs on its own thread: a connection that is not accepted waits in the
/// kernel with all that its caller sent, which counts as this process's memory,
/// and its caller gets no response. A busy traffic thread must not delay this.
/// Thread safety: all methods but Start and Stop may be called from any thread.
class CallerAcceptor
{
public:
  using Handler = std::function<void(AcceptedCaller)>;

  /// @param aTraffic   context of the accepted sockets; outlives this
  /// @param aClock     outlives this
  /// @param aMemory    outlives this and all accepted callers
  /// @param aLog       outlives this
  /// @param aProbe     null: only reservations bound memory
  /// @param aOnCaller  called on the acceptor's thread
  CallerAcceptor(transport::asio::io_context& aTraffic,
                 const CallerAcceptorSettings& aSettings,
                 const state::Clock& aClock,
                 state::MemoryBudget& aMemory,
                 EventLog& aLog,
                 MemoryProbe* aProbe,
                 Handler aOnCaller);
  ~CallerAcceptor();
  CallerAcceptor(const CallerAcceptor&) = delete;
  CallerAcceptor& operator=(const CallerAcceptor&) = delete;

  /// Starts accepting; returns the address with the port that was assigned.
  state::Result<state::Address> Start(const state::Address& aAddress);

  /// Stops accepting and waits for the thread to end.
  void Stop();

  /// Sets whether the process has more work than it can answer.
  void SetOverloaded(bool aIsOverloaded) { mIsOverloaded = aIsOverloaded; }

  /// Notes that the traffic thread runs, and how late its sign came: work that
  /// becomes ready now waits no longer than until the next sign.
  void NoteTrafficSign(state::Millis aDelay)
  {
    mSignAt = mClock.Now();
    mWindow.NoteSign(aDelay);
  }

  /// Sets the maximum number of callers that descriptors allow.
  void SetMaxCallers(std::int64_t aCallers) { mMaxCallers = aCallers; }

  /// Notes that the traffic thread begins to serve a caller.
  void NoteBegun() { --mPending; }

  /// Notes the bytes that a request needed: connections are accepted only where
  /// a request of such a size has room. Called by one thread.
  void NoteNeed(std::int64_t aBytes) { mNeed.Note(aBytes); }

  /// Notes that a caller's connection was closed.
  void NoteClosed() { --mCallers; }

  /// Whether no more callers can be accepted now.
  bool IsFull() const { return ReasonIfFull().has_value(); }

  /// Number of connections closed unread since the start, by reason.
  std::uint64_t Refused(AcceptRefusal aReason) const
  {
    return mRefused[static_cast<std::size_t>(aReason)];
  }

  /// Number of those on which bytes of a request had arrived.
  std::uint64_t RefusedWithBytes(AcceptRefusal aReason) const
  {
    return mRefusedWithBytes[static_cast<std::size_t>(aReason)];
  }

private:
  using CountByReason = std::array<std::uint64_t, kAcceptRefusalNames.Size()>;
  using SharedCountByReason =
    std::array<std::atomic<std::uint64_t>, kAcceptRefusalNames.Size()>;

  /// Connections closed unread since the last log line about them.
  struct Rejections
  {
    CountByReason mCounts{};
    std::uint64_t mWithBytes = 0;
    state::Millis mLongestWait{ 0 };
  };

  transport::Task<void> Accept();
  transport::Task<void> MeasureMemory();
  /// Logs connections closed unread, at most one line a second.
  transport::Task<void> LogRejections();
  void WriteRejections();
  /// Whether a new connection would be served too late.
  transport::Task<bool> IsTrafficLate();
  /// Whether the traffic thread has been handed as many as it serves in time.
  bool IsWindowUsedUp() const;
  /// Whether a connection is waiting in the kernel.
  bool IsAnyWaiting() const;
  /// Whether connections have been waiting for too long to be served in time.
  bool IsBehind();
  /// Why no more callers can be accepted now, if so.
  std::optional<AcceptRefusal> ReasonIfFull() const;
  /// Why connections that are waiting would not be served, if so.
  transport::Task<std::optional<AcceptRefusal>> ReasonToReject();
  /// Closes connections that are waiting in the kernel, unread.
  void RejectWaiting(AcceptRefusal aReason);
  /// Counts a connection that is about to be closed unread.
  ///
  /// @return time since its caller's last bytes
  state::Millis NoteRejected(int aSocket, AcceptRefusal aReason);
  /// Accepts one that is waiting, if any; returns false if that failed.
  bool AcceptOne();

  transport::asio::io_context& mTraffic;
  CallerAcceptorSettings mSettings;
  const state::Clock& mClock;
  state::MemoryBudget& mMemory;
  EventLog& mLog;
  MemoryProbe* mProbe;
  Handler mOnCaller;
  state::MemoryNeed mNeed;
  state::AcceptWindow mWindow;
  transport::asio::io_context mContext{ 1 };
  std::shared_ptr<transport::asio::ip::tcp::acceptor> mAcceptor;
  std::atomic<bool> mIsOverloaded{ false };
  std::atomic<state::TimePoint> mSignAt{ state::TimePoint() };
  std::atomic<std::int64_t> mMaxCallers{ 0 };
  state::TimePoint mLateSign; ///< last sign of an overloaded traffic thread
  /// Since when connections have been waiting for the traffic thread; none
  /// while no connection waits.
  std::optional<state::TimePoint> mWaitingSince;
  std::atomic<std::int64_t> mPending{ 0 };
  std::atomic<std::int64_t> mCallers{ 0 };
  SharedCountByReason mRefused{};
  SharedCountByReason mRefusedWithBytes{};
  Rejections mRejections; ///< used on the acceptor's thread
  std::thread mThread;
};

} // namespace shuntjunction::coordination
