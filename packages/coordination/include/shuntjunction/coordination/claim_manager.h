#pragma once

#include <string>

#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/state/claim_machine.h"
#include "shuntjunction/state/clock.h"

/// At-most-once claims of non-repeatable requests, stored in the platform.
namespace shuntjunction::coordination {

/// Maximum size of an outcome that is recorded for later requests with the same
/// key.
inline constexpr std::size_t kMaxRecordedBytes = 256UL * 1024;

/// The result of an attempt to claim a key.
struct ClaimResult
{
  state::ClaimStep mStep = state::ClaimStep::kUndecided;
  state::ClaimRecord mRecord;  ///< own record, or that of the other claimant
  std::string mKey;            ///< platform key of the record
  std::uint64_t mRevision = 0; ///< of the own record; 0 if unknown
};

/// Acquires claims by conditional writes, and reads a record back if the
/// outcome of a write is unknown.
///
/// Thread safety: none; used on one thread.
class ClaimManager
{
public:
  /// @param aPlatform, aClock, aMetrics  outlive the manager
  ClaimManager(boost::asio::io_context& aContext,
               Platform& aPlatform,
               const state::Clock& aClock,
               Metrics& aMetrics);

  /// Acquires the claim of a key for a request.
  ///
  /// @param aDigest  SHA-256 of the request
  /// @param aUntil   when to give up; the request must not be run after
  ///                 kUndecided
  transport::Task<ClaimResult> Acquire(std::string aTeam,
                                       std::string aKey,
                                       std::string aDigest,
                                       state::TimePoint aUntil);

  /// Records the outcome of a request that ran under a claim.
  transport::Task<void> Record(ClaimResult aClaim);

  /// Starts the deletion of a claim whose request was certainly not run.
  void Release(const ClaimResult& aClaim);

  /// Number of Record and Release operations in progress.
  std::size_t Pending() const { return mPending; }

private:
  transport::Task<void> Delete(std::string aKey, std::string aNonce);
  transport::Task<state::Result<std::optional<state::ClaimRecord>>> ReadRecord(
    ClaimResult& aClaim);

  boost::asio::io_context& mContext;
  Platform& mPlatform;
  const state::Clock& mClock;
  Metrics& mMetrics;
  Log mLog;
  std::size_t mPending = 0;
};

} // namespace shuntjunction::coordination
