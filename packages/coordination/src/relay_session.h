#pragma once

// Private to coordination: one caller's connection to a relay.

#include "relay_core.h"

namespace shuntjunction::coordination {

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

private:
  transport::Task<bool> ServeOne();

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

  transport::Task<void> RefuseUnread(unsigned aStatus,
                                     std::string_view aProblem);
  transport::Task<void> Write(std::string aText);

  std::shared_ptr<Relay::Core> mCore;
  std::shared_ptr<transport::SocketReader> mReader;
  state::MemoryReservation mMemory;
  bool mIsIdle = true;
};

} // namespace shuntjunction::coordination
