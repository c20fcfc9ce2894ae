#include "shuntjunction/coordination/version_history_writer.h"

#include <algorithm>
#include <random>

#include "shuntjunction/state/jittered_pause.h"
#include "shuntjunction/state/streams/listed_versions.h"

namespace shuntjunction::coordination {

using state::ErrorCode;
using state::Millis;
using state::Result;
using state::VersionHistory;
using transport::kAsTuple;
using transport::Task;

namespace {

constexpr std::string_view kComponent = "streams";

/// Interval at which a version is looked for that can be removed.
constexpr Millis kCheckInterval{ 1000 };

/// Pauses between calls while the store is unavailable.
constexpr Millis kFirstPause{ 200 };
constexpr Millis kMaxPause{ 2000 };

/// Attempts at a history that other relays change at the same time.
constexpr int kMaxAttempts = 3;

/// Time over which the relays are spread that remove the same version, or write
/// the first history.
constexpr Millis kRemovalSpread{ 4000 };

/// The versions of a history for a log line.
std::string
Text(const VersionHistory& aHistory)
{
  std::string text;
  for (const auto& [version, revision] : aHistory) {
    text += (text.empty() ? "" : ",") + version;
  }
  return text;
}

} // namespace

struct VersionHistoryWriter::Shared : std::enable_shared_from_this<Shared>
{
  /// The stored history of a service, as it was read last.
  struct Stored
  {
    std::optional<VersionHistory> mHistory;
    std::uint64_t mRevision = 0; ///< 0: it does not exist
  };

  explicit Shared(const VersionHistoryWriterDependencies& aDependencies)
    : mDependencies(aDependencies)
    , mTimer(aDependencies.mContext)
    , mRandom(std::random_device{}())
    , mRemovalDelay(
        std::uniform_int_distribution<std::int64_t>(0, kRemovalSpread.count())(
          mRandom))
  {
  }

  /// Runs until the writer is destroyed.
  Task<void> Run()
  {
    const auto self = shared_from_this();
    while (!mIsStopped) {
      mHasNewView = false;
      bool isDone = true;
      const auto lifetimes = state::StreamLifetimes(mView->mConfig->Rules());
      for (const auto& [service, lifetime] : lifetimes) {
        const bool isMaintained = co_await Maintain(service, lifetime);
        isDone = isDone && isMaintained;
      }
      mPause =
        isDone ? Millis(0) : std::clamp(mPause * 2, kFirstPause, kMaxPause);
      if (isDone && mHasNewView) {
        continue;
      }
      mTimer.expires_after(isDone ? kCheckInterval
                                  : state::JitteredPause(mPause, mRandom));
      co_await mTimer.async_wait(kAsTuple);
    }
  }

  state::VersionSightings Sightings(const std::string& aService,
                                    Millis aLifetime) const
  {
    const auto now = mDependencies.mClock.Now();
    // The delay only postpones a removal, and the first history.
    const auto time = aLifetime + mRemovalDelay;
    return { state::ListedSince(mView->mEndpoints, aService),
             mVersions.Recent(aService, time, now),
             mView->mFreshness.mEndpointsRevision,
             mVersions.HasFollowedFor(time, now) };
  }

  /// The history that has to be stored in place of one; empty if it may stay.
  std::optional<VersionHistory> Update(
    const std::string& aService,
    Millis aLifetime,
    const std::optional<VersionHistory>& aStored) const
  {
    auto sightings = Sightings(aService, aLifetime);
    if (!aStored && mDependencies.mIsFirstStart) {
      sightings.mIsWhole = true;
    }
    return state::UpdateHistory(aStored, sightings);
  }

  /// Reads the history of a service, and writes it if need be; returns whether
  /// nothing is left to do.
  Task<bool> Maintain(std::string aService, Millis aLifetime)
  {
    const auto known = mStored.find(aService);
    const bool isCurrent = known != mStored.end() &&
                           !Update(aService, aLifetime, known->second.mHistory);
    if (isCurrent) {
      co_return true;
    }
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      const bool isRead = co_await Read(aService);
      if (!isRead) {
        co_return false;
      }
      const auto stored = mStored[aService];
      const auto update = Update(aService, aLifetime, stored.mHistory);
      if (!update) {
        co_return true;
      }
      const auto written = co_await Write(aService, *update, stored.mRevision);
      if (written) {
        co_return true;
      }
      if (written.error().mCode != ErrorCode::kConflict) {
        LogFailure(aService, written.error());
        co_return false;
      }
      // Another relay has changed it meanwhile, perhaps in the same way.
    }
    co_return false;
  }

  Task<bool> Read(std::string aService)
  {
    const auto key = Key(aService);
    const auto since = mFollowedSince;
    const auto object = co_await mDependencies.mPlatform.Read(key);
    if (!object) {
      LogFailure(aService, object.error());
      co_return false;
    }
    Stored stored;
    if (*object) {
      stored.mRevision = (*object)->mRevision;
      auto history =
        mDependencies.mCodec.ReadVersionHistory(key, (*object)->mValue);
      if (!history) {
        LogFailure(aService, history.error());
        // It is replaced as if it were not there.
      } else {
        stored.mHistory = std::move(*history);
      }
    }
    co_return Note(aService, stored, since);
  }

  Task<Result<void>> Write(std::string aService,
                           VersionHistory aHistory,
                           std::uint64_t aIfRevision)
  {
    const auto since = mFollowedSince;
    const auto text = mDependencies.mCodec.WriteVersionHistory(aHistory);
    const auto written =
      co_await mDependencies.mPlatform.Write(Key(aService), text, aIfRevision);
    if (!written) {
      mStored.erase(aService);
      co_return tl::unexpected(written.error());
    }
    mDependencies.mLog.Write(EventLine(kComponent, "versions-recorded")
                               .Add("service", aService)
                               .Add("versions", Text(aHistory))
                               .Add("revision", *written));
    // If changes were missed meanwhile, it is read again.
    Note(aService, { std::move(aHistory), *written }, since);
    co_return Result<void>{};
  }

  /// Forgets what was read before a gap in the list: versions may have been
  /// listed and recorded in it.
  void ApplyFreshness(const ViewFreshness& aFreshness)
  {
    const auto since = aFreshness.mEndpointsSince;
    if (!since || since == mFollowedSince) {
      return;
    }
    mFollowedSince = since;
    mVersions.FollowSince(*since);
    mStored.clear();
    mPause = Millis(0);
    mTimer.cancel();
  }

  /// Keeps a history, unless changes of the list were missed since a time: it
  /// may lack versions that were listed in between.
  bool Note(const std::string& aService,
            const Stored& aStored,
            ConfirmedAt aFollowedSince)
  {
    if (aFollowedSince != mFollowedSince) {
      return false;
    }
    mStored[aService] = aStored;
    mDependencies.mOnHistory(aService, aStored.mHistory);
    return true;
  }

  std::string Key(const std::string& aService) const
  {
    return mDependencies.mCodec.VersionHistoryPrefix() + aService;
  }

  void LogFailure(const std::string& aService, const state::Error& aError)
  {
    mDependencies.mLog.Write(EventLine(kComponent, "versions-unrecorded")
                               .Add("service", aService)
                               .Add("error", aError.Describe()));
  }

  VersionHistoryWriterDependencies mDependencies;
  transport::Timer mTimer;
  state::RandomSource mRandom;
  Millis mRemovalDelay;
  Millis mPause{ 0 };
  bool mIsStopped = false;
  bool mHasNewView = false; ///< since the last look at the services
  ConfirmedAt mFollowedSince;
  std::shared_ptr<const RelayView> mView; ///< null until the list was read
  state::ListedVersions mVersions;
  std::map<std::string, Stored, std::less<>> mStored;
};

VersionHistoryWriter::VersionHistoryWriter(
  const VersionHistoryWriterDependencies& aDependencies)
  : mShared(std::make_shared<Shared>(aDependencies))
{
}

VersionHistoryWriter::~VersionHistoryWriter()
{
  mShared->mIsStopped = true;
  mShared->mTimer.cancel();
}

void
VersionHistoryWriter::ApplyView(std::shared_ptr<const RelayView> aView)
{
  auto& shared = *mShared;
  const bool isListed = aView->mFreshness.mEndpoints.has_value();
  if (!isListed || aView->mConfig->Version() == 0) {
    return;
  }
  shared.mVersions.Update(aView->mEndpoints, shared.mDependencies.mClock.Now());
  shared.ApplyFreshness(aView->mFreshness);
  shared.mHasNewView = true;
  const bool isFirst = !shared.mView;
  shared.mView = std::move(aView);
  if (isFirst) {
    transport::Spawn(shared.mDependencies.mContext, shared.Run());
  } else if (shared.mPause == Millis(0)) {
    shared.mTimer.cancel();
  }
}

void
VersionHistoryWriter::Confirm(const ViewFreshness& aFreshness)
{
  mShared->ApplyFreshness(aFreshness);
}

} // namespace shuntjunction::coordination
