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

constexpr std::string_view kPart = "quarantine";

/// Pauses between two writes of one entry while the store takes none.
constexpr Millis kFirstPause{ 200 };
constexpr Millis kLongestPause{ 5000 };

/// Entries that wait for the store; beyond that a restarted relay has to see
/// three crashes again.
constexpr std::size_t kMostPending = 256;

/// Entries that are over which one write deletes: two calls more at the most.
constexpr int kMostDeletes = 2;

} // namespace

struct QuarantineWriter::Shared : std::enable_shared_from_this<Shared>
{
  explicit Shared(const QuarantineWriterDependencies& aParts)
    : mParts(aParts)
  {
  }

  Task<void> StoreQuarantine(RequestDigest aRequest, std::int64_t aUntil)
  {
    const auto self = shared_from_this();
    Millis pause = kFirstPause;
    while (mParts.mClock.WallMillis() < aUntil) {
      const auto written = co_await Write(aRequest, aUntil);
      if (written) {
        mParts.mLog.Write(EventLine(kPart, "quarantine-kept")
                            .Add("content", aRequest.Text())
                            .Add("until", aUntil));
        co_await DeleteSomeOver();
        break;
      }
      mParts.mLog.Write(EventLine(kPart, "quarantine-unkept")
                          .Add("content", aRequest.Text())
                          .Add("error", written.error().Describe()));
      co_await transport::Sleep(state::JitteredPause(pause, mRandom));
      pause = std::min(pause * 2, kLongestPause);
    }
    mPending.erase(aRequest);
  }

  /// Writes an entry, in the place of one that ends earlier if there is one.
  Task<Result<void>> Write(RequestDigest aRequest, std::int64_t aUntil)
  {
    const auto key = mParts.mCodec.QuarantinePrefix() + aRequest.Text();
    const auto text = mParts.mCodec.WriteQuarantine(aUntil);
    auto written = co_await mParts.mPlatform.Write(key, text, 0);
    if (!written && written.error().mCode == ErrorCode::kConflict) {
      const auto there = co_await mParts.mPlatform.Read(key);
      if (!there) {
        co_return tl::unexpected(there.error());
      }
      if (IsAsGood(*there, aUntil)) {
        co_return Result<void>{};
      }
      const auto revision = *there ? (*there)->mRevision : 0;
      written = co_await mParts.mPlatform.Write(key, text, revision);
    }
    if (!written) {
      co_return tl::unexpected(written.error());
    }
    co_return Result<void>{};
  }

  /// Whether another relay wrote the same, some moments apart.
  bool IsAsGood(const std::optional<state::RawObject>& aThere,
                std::int64_t aUntil) const
  {
    if (!aThere) {
      return false;
    }
    constexpr std::int64_t kSlack = 60'000;
    const auto kept =
      mParts.mCodec.ReadQuarantine(aThere->mKey, aThere->mValue);
    return kept && kept->mUntilMillis + kSlack >= aUntil;
  }

  Task<void> DeleteSomeOver()
  {
    const auto view = mView;
    if (!view) {
      co_return;
    }
    const auto now = mParts.mClock.WallMillis();
    int deletes = 0;
    for (const auto& [request, kept] : view->mQuarantined) {
      if (kept.mUntilMillis >= now) {
        continue;
      }
      // Somebody else may have deleted or renewed it: then nothing is lost.
      co_await mParts.mPlatform.Delete(
        mParts.mCodec.QuarantinePrefix() + request.Text(), kept.mRevision);
      if (++deletes >= kMostDeletes) {
        co_return;
      }
    }
  }

  QuarantineWriterDependencies mParts;
  std::shared_ptr<const RelayView> mView;
  std::set<RequestDigest> mPending;
  state::RandomSource mRandom{ std::random_device{}() };
};

QuarantineWriter::QuarantineWriter(const QuarantineWriterDependencies& aParts)
  : mShared(std::make_shared<Shared>(aParts))
{
}

QuarantineWriter::~QuarantineWriter() = default;

void
QuarantineWriter::StoreQuarantine(const RequestDigest& aRequest, Millis aFor)
{
  auto& shared = *mShared;
  if (shared.mPending.size() >= kMostPending ||
      !shared.mPending.insert(aRequest).second) {
    return;
  }
  const auto until = shared.mParts.mClock.WallMillis() + aFor.count();
  transport::Spawn(shared.mParts.mContext,
                   shared.StoreQuarantine(aRequest, until));
}

void
QuarantineWriter::ApplyView(std::shared_ptr<const RelayView> aView)
{
  mShared->mView = std::move(aView);
}

} // namespace shuntjunction::coordination
