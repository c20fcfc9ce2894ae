#pragma once

// Private to coordination: one caller's connection to a relay.

#include "relay_core.h"

namespace shuntjunction::coordination {

/// What ended a caller's connection.
enum class SessionEnd : std::uint8_t
{
  kIdle,     ///< no request came in time, or the relay stops
  kAnswered, ///< the last response announced the end
  kRefused,  ///< a request was refused before all of it was read
  kCut,      ///< an answer that had begun could not be completed
  kByCaller, ///< the caller closed it
};

/// Names of SessionEnd.
inline constexpr state::EnumNames<SessionEnd, 5> kSessionEndNames{
  { "idle", "answered", "refused", "cut", "by-caller" }
};

class RelayRun;

/// Reads requests from a connection and serves each.
///
/// Thread safety: none; used on the relay's thread.
class RelaySession : public std::enable_shared_from_this<RelaySession>
{
public:
  RelaySession(std::shared_ptr<Relay::Core> aCore, AcceptedCaller aCaller);
  ~RelaySession();
  RelaySession(const RelaySession&) = delete;
  RelaySession& operator=(const RelaySession&) = delete;

  /// Serves the connection to its end.
  transport::Task<void> Run();

  /// Closes the connection if no byte of a request has arrived.
  void CloseIfIdle();

  /// Ends the request that is being served, see RelayRun::EndForStop.
  ///
  /// @param aOnlyUnsent  only if it runs nowhere
  void EndRequest(bool aOnlyUnsent);

private:
  transport::Task<bool> ServeOne();

  /// Waits for the first bytes of a request; false when none will come.
  transport::Task<bool> AwaitRequest();

  /// Reads the next request; null when there is none or it was refused.
  transport::Task<std::shared_ptr<transport::RelayRequest>> ReadRequest();

  /// Reads into aRequest until it is complete; false when it will not be.
  ///
  /// @pre  both arguments outlive the call
  transport::Task<bool> ReadFullRequest(transport::RelayRequestReader& aRequest,
                                        const state::CallerLimits& aLimits);

  /// Reserves the memory that a request with a body of this size needs;
  /// returns whether there was room.
  bool ReserveForBody(std::size_t aBodyBytes);

  /// Memory, in bytes, for a request with a body of this size.
  std::int64_t MemoryNeeded(std::size_t aBodyBytes) const;

  /// Closes the connection; logs it if a request on it may be unanswered.
  void Close();

  transport::Task<void> RefuseUnread(unsigned aStatus,
                                     std::string_view aProblem);
  transport::Task<void> Write(std::string aText);

  std::shared_ptr<Relay::Core> mCore;
  std::shared_ptr<transport::SocketReader> mReader;
  state::MemoryReservation mMemory;
  state::TimePoint mAcceptedAt;
  std::uint64_t mRequests = 0; ///< that were read completely
  SessionEnd mEnd = SessionEnd::kIdle;
  bool mIsIdle = true;
  RelayRun* mRun = nullptr; ///< the request that is being served
  bool mIsClosed = false;
};

} // namespace shuntjunction::coordination
