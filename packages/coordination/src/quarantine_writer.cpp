#include "shuntjunction/coordination/quarantine_writer.h"

#include <algorithm>
#include <random>

#include "shuntjunction/state/jittered_pause.h"

namespace shuntjunction::coordination {

using state::ErrorCode;
using state::Millis;
using state::RequestDigest;
using state::Result;
using transport::Task;

namespace {

constexpr std::string_view kComponent = "quarantine";

/// Pauses between attempts to write an entry while the store is unavailable.
constexpr Millis kFirstPause{ 200 };
constexpr Millis kMaxPause{ 5000 };

/// Time after which an entry that can't be deleted is left to expire.
constexpr Millis kMaxDeleteTime{ std::chrono::minutes(10) };

/// Maximum number of entries that wait for the store. For entries beyond it, a
/// restarted relay has to see three crashes again.
constexpr std::size_t kMaxPending = 256;

/// Maximum number of expired entries that one write deletes, i.e. additional
/// calls.
constexpr int kMaxDeletes = 2;

} // namespace

struct QuarantineWriter::Shared : std::enable_shared_from_this<Shared>
{
  explicit Shared(const QuarantineWriterDependencies& aDependencies)
    : mDependencies(aDependencies)
  {
  }

  Task<void> StoreQuarantine(RequestDigest aRequest, std::int64_t aUntil)
  {
    const auto self = shared_from_this();
    Millis pause = kFirstPause;
    while (mDependencies.mClock.WallMillis() < aUntil &&
           !mDeleting.contains(aRequest)) {
      const auto written = co_await Write(aRequest, aUntil);
      if (written) {
        mDependencies.mLog.Write(EventLine(kComponent, "quarantine-kept")
                                   .Add("content", aRequest.Text())
                                   .Add("until", aUntil));
        co_await DeleteExpired();
        break;
      }
      mDependencies.mLog.Write(EventLine(kComponent, "quarantine-unkept")
                                 .Add("content", aRequest.Text())
                                 .Add("error", written.error().Describe()));
      co_await transport::Sleep(state::JitteredPause(pause, mRandom));
      pause = std::min(pause * 2, kMaxPause);
    }
    mPending.erase(aRequest);
  }

  Task<void> DeleteQuarantine(RequestDigest aRequest)
  {
    const auto self = shared_from_this();
    const auto key = mDependencies.mCodec.QuarantinePrefix() + aRequest.Text();
    const auto giveUpAt = mDependencies.mClock.Now() + kMaxDeleteTime;
    Millis pause = kFirstPause;
    while (mDependencies.mClock.Now() < giveUpAt) {
      // A write that was under way may take effect after a delete.
      const bool isWritten = mPending.contains(aRequest);
      if (!isWritten && co_await Delete(key)) {
        mDependencies.mLog.Write(EventLine(kComponent, "quarantine-deleted")
                                   .Add("content", aRequest.Text()));
        break;
      }
      co_await transport::Sleep(state::JitteredPause(pause, mRandom));
      pause = std::min(pause * 2, kMaxPause);
    }
    mDeleting.erase(aRequest);
  }

  /// Deletes an entry; returns whether it is gone.
  Task<bool> Delete(const std::string& aKey)
  {
    const auto existing = co_await mDependencies.mPlatform.Read(aKey);
    if (!existing || !*existing) {
      co_return existing.has_value();
    }
    const auto deleted =
      co_await mDependencies.mPlatform.Delete(aKey, (*existing)->mRevision);
    co_return deleted.has_value();
  }

  /// Writes an entry; replaces an existing one that expires more than a minute
  /// earlier.
  Task<Result<void>> Write(RequestDigest aRequest, std::int64_t aUntil)
  {
    const auto key = mDependencies.mCodec.QuarantinePrefix() + aRequest.Text();
    const auto text = mDependencies.mCodec.WriteQuarantine(aUntil);
    auto written = co_await mDependencies.mPlatform.Write(key, text, 0);
    if (!written && written.error().mCode == ErrorCode::kConflict) {
      const auto existing = co_await mDependencies.mPlatform.Read(key);
      if (!existing) {
        co_return tl::unexpected(existing.error());
      }
      if (IsEquivalent(*existing, aUntil)) {
        co_return Result<void>{};
      }
      const auto revision = *existing ? (*existing)->mRevision : 0;
      written = co_await mDependencies.mPlatform.Write(key, text, revision);
    }
    if (!written) {
      co_return tl::unexpected(written.error());
    }
    co_return Result<void>{};
  }

  /// Whether an existing entry expires at most a minute earlier, as that of
  /// another relay which saw the same crash; it need not be replaced.
  bool IsEquivalent(const std::optional<state::RawObject>& aExisting,
                    std::int64_t aUntil) const
  {
    if (!aExisting) {
      return false;
    }
    constexpr std::int64_t kSlack = 60'000;
    const auto entry =
      mDependencies.mCodec.ReadQuarantine(aExisting->mKey, aExisting->mValue);
    return entry && entry->mUntilMillis + kSlack >= aUntil;
  }

  Task<void> DeleteExpired()
  {
    const auto view = mView;
    if (!view) {
      co_return;
    }
    const auto now = mDependencies.mClock.WallMillis();
    int deletes = 0;
    for (const auto& [request, entry] : view->mQuarantined) {
      if (entry.mUntilMillis >= now) {
        continue;
      }
      // The delete fails if another relay has deleted or renewed the entry;
      // that does no harm.
      co_await mDependencies.mPlatform.Delete(
        mDependencies.mCodec.QuarantinePrefix() + request.Text(),
        entry.mRevision);
      if (++deletes >= kMaxDeletes) {
        co_return;
      }
    }
  }

  QuarantineWriterDependencies mDependencies;
  std::shared_ptr<const RelayView> mView;
  std::set<RequestDigest> mPending;
  std::set<RequestDigest> mDeleting;
  state::RandomSource mRandom{ std::random_device{}() };
};

QuarantineWriter::QuarantineWriter(
  const QuarantineWriterDependencies& aDependencies)
  : mShared(std::make_shared<Shared>(aDependencies))
{
}

QuarantineWriter::~QuarantineWriter() = default;

void
QuarantineWriter::StoreQuarantine(const RequestDigest& aRequest,
                                  Millis aDuration)
{
  auto& shared = *mShared;
  if (shared.mPending.size() >= kMaxPending ||
      !shared.mPending.insert(aRequest).second) {
    return;
  }
  const auto until =
    shared.mDependencies.mClock.WallMillis() + aDuration.count();
  transport::Spawn(shared.mDependencies.mContext,
                   shared.StoreQuarantine(aRequest, until));
}

void
QuarantineWriter::DeleteQuarantine(const RequestDigest& aRequest)
{
  auto& shared = *mShared;
  if (shared.mDeleting.size() < kMaxPending &&
      shared.mDeleting.insert(aRequest).second) {
    transport::Spawn(shared.mDependencies.mContext,
                     shared.DeleteQuarantine(aRequest));
  }
}

void
QuarantineWriter::ApplyView(std::shared_ptr<const RelayView> aView)
{
  mShared->mView = std::move(aView);
}

} // namespace shuntjunction::coordination
