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

constexpr Millis kRetryPause{ 50 };

/// How often a record or a release is tried before it is left as it is.
constexpr int kBackgroundTries = 40;
constexpr Millis kBackgroundPause{ 500 };

/// Counts a task for as long as it lives.
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
ClaimManager::ReadRecord(ClaimResult& aVerdict)
{
  aVerdict.mRevision = 0;
  auto object = co_await mPlatform.Read(aVerdict.mKey);
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
  if (record->mNonce == aVerdict.mRecord.mNonce) {
    aVerdict.mRevision = (*object)->mRevision;
  }
  co_return std::optional<ClaimRecord>(std::move(*record));
}

Task<ClaimResult>
ClaimManager::Settle(std::string aTeam,
                     std::string aKey,
                     std::string aDigest,
                     TimePoint aUntil)
{
  ClaimMachine machine(state::RandomNonce(), std::move(aDigest));
  ClaimResult verdict;
  verdict.mKey = state::ClaimKey(aTeam, aKey);
  verdict.mRecord = machine.NewRecord(mClock.WallMillis());
  while (machine.Step() == ClaimStep::kCreate ||
         machine.Step() == ClaimStep::kReadBack) {
    if (mClock.Now() >= aUntil) {
      machine.OnTimeout();
      break;
    }
    bool isAnswered = false;
    if (machine.Step() == ClaimStep::kCreate) {
      const auto written = co_await mPlatform.Write(
        verdict.mKey, state::WriteClaimRecord(verdict.mRecord), 0);
      isAnswered = written || written.error().mCode == ErrorCode::kConflict;
      verdict.mRevision = written.value_or(0);
      machine.OnCreateResult(written);
    } else {
      const auto found = co_await ReadRecord(verdict);
      isAnswered = found.has_value();
      machine.OnReadResult(found);
    }
    if (!isAnswered) {
      mMetrics.Count("shuntjunction_claim_unanswered_total");
      co_await transport::Sleep(kRetryPause);
    }
  }
  verdict.mStep = machine.Step();
  mMetrics.Count(
    "shuntjunction_claims_total",
    { { "outcome", std::string(state::kClaimStepNames.Name(verdict.mStep)) } });
  if (verdict.mStep == ClaimStep::kUndecided && machine.MayHaveWritten()) {
    Release(verdict);
  }
  if (verdict.mStep != ClaimStep::kExecute &&
      verdict.mStep != ClaimStep::kUndecided) {
    verdict.mRecord = machine.ExistingRecord();
  }
  co_return verdict;
}

Task<void>
ClaimManager::Record(ClaimResult aVerdict)
{
  const PendingGuard guard(mPending);
  if (aVerdict.mRecord.mBody.size() > kMaxRecordedBytes) {
    mLog.Warn("an outcome is too large to record.");
    co_return;
  }
  for (int i = 0; i < kBackgroundTries; ++i) {
    if (aVerdict.mRevision == 0) {
      const auto found = co_await ReadRecord(aVerdict);
      const bool isOthers = found && *found && aVerdict.mRevision == 0;
      if (isOthers || (found && *found && (*found)->mIsDone)) {
        co_return;
      }
    }
    if (aVerdict.mRevision != 0) {
      const auto written =
        co_await mPlatform.Write(aVerdict.mKey,
                                 state::WriteClaimRecord(aVerdict.mRecord),
                                 aVerdict.mRevision);
      if (written) {
        co_return;
      }
      // A lost answer may have recorded it: look before the next try.
      aVerdict.mRevision = 0;
    }
    co_await transport::Sleep(kBackgroundPause);
  }
  mLog.Warn("an outcome could not be recorded.");
  mMetrics.Count("shuntjunction_claim_unrecorded_total");
}

void
ClaimManager::Release(const ClaimResult& aVerdict)
{
  transport::Spawn(mContext, Delete(aVerdict.mKey, aVerdict.mRecord.mNonce));
}

Task<void>
ClaimManager::Delete(std::string aKey, std::string aNonce)
{
  const PendingGuard guard(mPending);
  // A create whose answer was lost may still arrive: look more than once.
  int absent = 0;
  constexpr int kAbsentToBelieve = 3;
  for (int i = 0; i < kBackgroundTries && absent < kAbsentToBelieve; ++i) {
    const auto object = co_await mPlatform.Read(aKey);
    if (object && !*object) {
      ++absent;
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
    co_await transport::Sleep(kBackgroundPause);
  }
}

} // namespace shuntjunction::coordination
