#pragma once

#include <string>

#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/state/claim_machine.h"
#include "shuntjunction/state/clock.h"

/// Claims of not-repeatable requests in the platform.
namespace shuntjunction::coordination {

/// Longest outcome that is recorded for later arrivals of a key.
inline constexpr std::size_t kMaxRecordedBytes = 256UL * 1024;

/// How a claim was settled.
struct ClaimResult
{
  state::ClaimStep mStep = state::ClaimStep::kUndecided;
  state::ClaimRecord mRecord;  ///< own record, or the other's
  std::string mKey;            ///< of the record in the platform
  std::uint64_t mRevision = 0; ///< of the own record; 0 when not known
};

/// Settles claims by conditional writes and reads back what is unsure.
///
/// Thread safety: none; used on one thread.
class ClaimManager
{
public:
  /// @param aPlatform, aClock, aMetrics  outlive the keeper
  ClaimManager(boost::asio::io_context& aContext,
               Platform& aPlatform,
               const state::Clock& aClock,
               Metrics& aMetrics);

  /// Claims a key for a request.
  ///
  /// @param aDigest  SHA-256 of the request
  /// @param aUntil   when to give up; nothing is run after kUndecided
  transport::Task<ClaimResult> Settle(std::string aTeam,
                                      std::string aKey,
                                      std::string aDigest,
                                      state::TimePoint aUntil);

  /// Records the outcome of a request that was run under a claim.
  transport::Task<void> Record(ClaimResult aVerdict);

  /// Starts to delete a claim whose request was certainly not run.
  void Release(const ClaimResult& aVerdict);

  /// Records and releases that are still being written.
  std::size_t Pending() const { return mPending; }

private:
  transport::Task<void> Delete(std::string aKey, std::string aNonce);
  transport::Task<state::Result<std::optional<state::ClaimRecord>>> ReadRecord(
    ClaimResult& aVerdict);

  boost::asio::io_context& mContext;
  Platform& mPlatform;
  const state::Clock& mClock;
  Metrics& mMetrics;
  Log mLog;
  std::size_t mPending = 0;
};

} // namespace shuntjunction::coordination
