#include "shuntjunction/coordination/claim_manager.h"

#include "shuntjunction/state/claim_retention.h"
#include "shuntjunction/state/digest.h"

namespace shuntjunction::coordination {

using state::ClaimMachine;
using state::ClaimRecord;
using state::ClaimStep;
using state::ErrorCode;
using state::Millis;
using state::Result;
using state::TimePoint;
using transport::Task;

namespace {

constexpr Millis kRetryDelay{ 50 };

/// Attempts to record an outcome or to release a claim before giving up.
constexpr int kMaxBackgroundAttempts = 40;
constexpr Millis kBackgroundRetryDelay{ 500 };

/// Counts a task while it is in scope.
class PendingGuard
{
public:
  explicit PendingGuard(std::size_t& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ~PendingGuard() { --mCount; }
  PendingGuard(const PendingGuard&) = delete;
  PendingGuard& operator=(const PendingGuard&) = delete;

private:
  std::size_t& mCount;
};

} // namespace

ClaimManager::ClaimManager(boost::asio::io_context& aContext,
                           Platform& aPlatform,
                           const state::Clock& aClock,
                           Metrics& aMetrics)
  : mContext(aContext)
  , mPlatform(aPlatform)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mLog("claims")
{
}

Task<Result<std::optional<ClaimRecord>>>
ClaimManager::ReadRecord(ClaimResult& aClaim)
{
  aClaim.mRevision = 0;
  auto object = co_await mPlatform.Read(aClaim.mKey);
  if (!object) {
    co_return tl::unexpected(object.error());
  }
  if (!*object) {
    co_return std::optional<ClaimRecord>();
  }
  auto record = state::ReadClaimRecord((*object)->mValue);
  if (!record) {
    co_return tl::unexpected(record.error());
  }
  if (record->mNonce == aClaim.mRecord.mNonce) {
    aClaim.mRevision = (*object)->mRevision;
  }
  co_return std::optional<ClaimRecord>(std::move(*record));
}

Task<ClaimResult>
ClaimManager::Acquire(std::string aTeam,
                      std::string aKey,
                      std::string aDigest,
                      TimePoint aUntil)
{
  ClaimMachine machine(state::RandomNonce(), std::move(aDigest));
  ClaimResult claim;
  claim.mKey = state::ClaimKey(aTeam, aKey);
  claim.mRecord = machine.NewRecord(mClock.WallMillis());
  while (machine.Step() == ClaimStep::kCreate ||
         machine.Step() == ClaimStep::kReadBack) {
    if (mClock.Now() >= aUntil) {
      machine.OnTimeout();
      break;
    }
    bool hasOutcome = false;
    if (machine.Step() == ClaimStep::kCreate) {
      const auto written = co_await mPlatform.Write(
        claim.mKey, state::WriteClaimRecord(claim.mRecord), 0);
      hasOutcome = written || written.error().mCode == ErrorCode::kConflict;
      claim.mRevision = written.value_or(0);
      machine.OnCreateResult(written);
    } else {
      const auto found = co_await ReadRecord(claim);
      hasOutcome = found.has_value();
      machine.OnReadResult(found);
    }
    if (!hasOutcome) {
      mMetrics.Count("shuntjunction_claim_unanswered_total");
      co_await transport::Sleep(kRetryDelay);
    }
  }
  claim.mStep = machine.Step();
  mMetrics.Count(
    "shuntjunction_claims_total",
    { { "outcome", std::string(state::kClaimStepNames.Name(claim.mStep)) } });
  if (claim.mStep == ClaimStep::kUndecided && machine.MayHaveWritten()) {
    Release(claim);
  }
  if (claim.mStep != ClaimStep::kExecute &&
      claim.mStep != ClaimStep::kUndecided) {
    claim.mRecord = machine.ExistingRecord();
  }
  co_return claim;
}

Task<void>
ClaimManager::Record(ClaimResult aClaim)
{
  const PendingGuard guard(mPending);
  if (aClaim.mRecord.mBody.size() > kMaxRecordedBytes) {
    mLog.Warn("the outcome is too large to record.");
    co_return;
  }
  for (int i = 0; i < kMaxBackgroundAttempts; ++i) {
    if (aClaim.mRevision == 0) {
      const auto found = co_await ReadRecord(aClaim);
      const bool isForeign = found && *found && aClaim.mRevision == 0;
      if (isForeign || (found && *found && (*found)->mIsDone)) {
        co_return;
      }
    }
    if (aClaim.mRevision != 0) {
      const auto written = co_await mPlatform.Write(
        aClaim.mKey, state::WriteClaimRecord(aClaim.mRecord), aClaim.mRevision);
      if (written) {
        co_return;
      }
      // The write may have succeeded although its response was lost: read the
      // record before the next attempt.
      aClaim.mRevision = 0;
    }
    co_await transport::Sleep(kBackgroundRetryDelay);
  }
  mLog.Warn("the outcome could not be recorded.");
  mMetrics.Count("shuntjunction_claim_unrecorded_total");
}

void
ClaimManager::Release(const ClaimResult& aClaim)
{
  transport::Spawn(mContext, Delete(aClaim.mKey, aClaim.mRecord.mNonce));
}

Task<void>
ClaimManager::Delete(std::string aKey, std::string aNonce)
{
  const PendingGuard guard(mPending);
  // A create whose response was lost may still take effect, so one read that
  // finds no record is not enough.
  int absentReads = 0;
  constexpr int kAbsentReadsToConfirm = 3;
  for (int i = 0;
       i < kMaxBackgroundAttempts && absentReads < kAbsentReadsToConfirm;
       ++i) {
    const auto object = co_await mPlatform.Read(aKey);
    if (object && !*object) {
      ++absentReads;
    } else if (object) {
      const auto found = state::ReadClaimRecord((*object)->mValue);
      if (!found || found->mNonce != aNonce) {
        co_return;
      }
      const auto deleted =
        co_await mPlatform.Delete(aKey, (*object)->mRevision);
      if (deleted) {
        co_return;
      }
    }
    co_await transport::Sleep(kBackgroundRetryDelay);
  }
}

} // namespace shuntjunction::coordination
