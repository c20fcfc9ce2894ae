#include "streams/relay_streams.h"

#include <algorithm>
#include <list>

namespace shuntjunction::coordination {

using state::Millis;
using state::StreamHash;
using state::StreamKnowledge;
using state::StreamLookup;
using state::TimePoint;
using transport::Task;

namespace {

/// Longest delay of a stream's first event by its record.
constexpr Millis kRecordTimeout{ 60 };

/// Longer than a companion takes that has to be connected first.
constexpr Millis kFindTimeout{ 250 };

/// Within this time a relay that starts has read the list and the history of
/// versions; callers resume streams as soon as it listens.
constexpr Millis kStartTime{ 500 };

/// Interval at which a request that waits for a newer list checks its age.
constexpr Millis kListCheckInterval{ 50 };

/// A companion that restarts is connected again within this time.
constexpr Millis kRenewalDelay{ 1500 };

/// Age of the endpoint list up to which it shows all versions that serve.
constexpr Millis kMaxListAge{ 3000 };

/// Streams of one relay whose records may be written again.
constexpr std::size_t kMaxOwnRecords = 8192;

} // namespace

struct RelayStreams::Shared : std::enable_shared_from_this<Shared>
{
  /// A record that this relay made.
  struct OwnRecord
  {
    StreamKey mKey;
    std::string mVersion;
    TimePoint mUntil;
    std::vector<std::string> mHolders; ///< hosts that got it; empty: none
  };

  /// Replies of companions that are awaited together.
  struct PendingReplies
  {
    PendingReplies(transport::asio::io_context& aContext, Millis aTimeout)
      : mSignal(aContext, aTimeout)
    {
    }

    /// Waits until enough replies came, or for the timeout.
    Task<void> Wait()
    {
      if (!mIsDone) {
        co_await mSignal.async_wait(transport::kAsTuple);
      }
    }

    /// Notes that a companion replied, or that it did not in time.
    void NoteReply(bool aIsEnough)
    {
      --mExpected;
      if (aIsEnough || mExpected == 0) {
        mIsDone = true;
        mSignal.cancel();
      }
    }

    transport::Timer mSignal;
    bool mIsDone = false;
    std::size_t mExpected = 0;
    std::vector<state::OriginReply> mReplies;
  };

  Shared(const RelayDependencies& aDependencies,
         const ViewFreshness& aFreshness)
    : mDependencies(aDependencies)
    , mFreshness(aFreshness)
  {
  }

  TimePoint Now() const { return mDependencies.mClock.Now(); }

  /// The one version of the stream's service for as long as the stream may
  /// last, as this relay has seen it listed; empty: there were several.
  std::optional<std::string> OnlyVersion(const StreamKey& aStream) const
  {
    return mVersions.OnlyVersion(aStream.mService, aStream.mLifetime, Now());
  }

  /// The same, if the list is current: an outdated one may not show a version
  /// that serves already.
  std::optional<std::string> CurrentOnlyVersion(const StreamKey& aStream) const
  {
    const auto age = AgeOf(mFreshness.mEndpoints, Now());
    return age < kMaxListAge ? OnlyVersion(aStream) : std::nullopt;
  }

  /// The same, if this relay has followed the list for as long as the stream
  /// may last: one that started meanwhile did not see a version that was
  /// removed.
  std::optional<std::string> KnownOnlyVersion(const StreamKey& aStream) const
  {
    return mVersions.HasFollowedFor(aStream.mLifetime, Now())
             ? CurrentOnlyVersion(aStream)
             : std::nullopt;
  }

  /// The one version of a service's stored history; empty: it has several, or
  /// was not read.
  std::optional<std::string> StoredVersion(const std::string& aService) const
  {
    const auto found = mHistories.find(aService);
    return found == mHistories.end() || !found->second
             ? std::nullopt
             : state::OnlyVersionOf(*found->second);
  }

  /// Whether the stored history and a current list have one version alone.
  bool HasOnlyStoredVersion(const StreamKey& aStream) const
  {
    const auto current = CurrentOnlyVersion(aStream);
    return current && current == StoredVersion(aStream.mService);
  }

  /// Whether a version is missing in the stored history of its service.
  bool IsUnrecorded(const std::string& aService,
                    const std::string& aVersion) const
  {
    const auto found = mHistories.find(aService);
    return found != mHistories.end() && found->second &&
           !found->second->contains(aVersion);
  }

  /// Waits until a version is in the stored history, but not beyond a time.
  Task<void> AwaitRecorded(std::string aService,
                           std::string aVersion,
                           TimePoint aUntil)
  {
    while (IsUnrecorded(aService, aVersion) && Now() < aUntil) {
      co_await AwaitUpdate(aUntil);
    }
  }

  /// Whether the list is of a time or later, so that it shows whatever served
  /// before that.
  bool IsListedSince(TimePoint aTime) const
  {
    return mFreshness.mEndpoints && *mFreshness.mEndpoints >= aTime;
  }

  /// Whether the list has not been read since this relay started, or the
  /// history that decides about a stream not since the last gap in the list.
  bool IsReading(const StreamKey& aStream) const
  {
    return !mFreshness.mEndpoints || (CurrentOnlyVersion(aStream) &&
                                      !mHistories.contains(aStream.mService));
  }

  /// Waits until a view or history is applied, but not beyond a time.
  Task<void> AwaitUpdate(TimePoint aUntil)
  {
    const auto timer =
      mWaiters.emplace(mWaiters.end(), mDependencies.mContext, aUntil - Now());
    co_await timer->async_wait(transport::kAsTuple);
    mWaiters.erase(timer);
  }

  void WakeWaiters()
  {
    for (auto& timer : mWaiters) {
      timer.cancel();
    }
  }

  /// Remembers a record of this relay. Beyond the limit any other is forgotten.
  OwnRecord& Remember(const StreamKey& aStream, const std::string& aVersion)
  {
    const auto now = Now();
    std::erase_if(mOwn, [&](const auto& aItem) {
      return aItem.second.mUntil <= now && mOwn.size() >= kMaxOwnRecords / 2;
    });
    if (mOwn.size() >= kMaxOwnRecords) {
      mOwn.erase(mOwn.begin());
    }
    auto& own = mOwn[aStream.mStream];
    own = { aStream, aVersion, now + aStream.mLifetime, {} };
    return own;
  }

  /// Has companions hold a record; returns the signal of the first that does,
  /// null if there are none.
  std::shared_ptr<PendingReplies> Write(OwnRecord& aOwn)
  {
    if (!mDependencies.mRecordStream) {
      return nullptr;
    }
    aOwn.mHolders =
      mHolders.ForWriting(aOwn.mKey.mStream, mDependencies.mSettings.mZone);
    if (aOwn.mHolders.empty()) {
      return nullptr;
    }
    auto pending =
      std::make_shared<PendingReplies>(mDependencies.mContext, kRecordTimeout);
    pending->mExpected = aOwn.mHolders.size();
    const state::StreamRecord record{ aOwn.mKey.mStream,
                                      aOwn.mVersion,
                                      aOwn.mKey.mLifetime };
    for (const auto& host : aOwn.mHolders) {
      transport::Spawn(mDependencies.mContext, WriteTo(host, record, pending));
    }
    return pending;
  }

  Task<void> WriteTo(std::string aHost,
                     state::StreamRecord aRecord,
                     std::shared_ptr<PendingReplies> aPending)
  {
    const auto self = shared_from_this();
    const bool isHeld =
      co_await mDependencies.mRecordStream(std::move(aHost), aRecord);
    mDependencies.mMetrics.Count("shuntjunction_relay_stream_records_total",
                                 { { "outcome", isHeld ? "held" : "lost" } });
    aPending->NoteReply(isHeld);
  }

  Task<void> Ask(std::string aHost,
                 StreamKey aStream,
                 std::shared_ptr<PendingReplies> aPending)
  {
    const auto self = shared_from_this();
    protocol::StreamQuery query;
    query.mStream = aStream.mStream;
    query.mService = aStream.mService;
    query.mLifetime = aStream.mLifetime;
    const auto reply =
      co_await mDependencies.mFindStream(std::move(aHost), query);
    if (reply) {
      aPending->mReplies.push_back(*reply);
    }
    aPending->NoteReply(reply &&
                        reply->mLookup.mKnowledge != StreamKnowledge::kUnknown);
  }

  /// Writes the records again that the companion of a host held.
  Task<void> Renew(std::string aHost)
  {
    const auto self = shared_from_this();
    co_await transport::Sleep(kRenewalDelay);
    for (auto& [stream, own] : mOwn) {
      const auto& holders = own.mHolders;
      const bool isLost =
        own.mUntil > Now() &&
        std::find(holders.begin(), holders.end(), aHost) != holders.end();
      if (isLost) {
        Write(own);
      }
    }
  }

  const RelayDependencies& mDependencies;
  const ViewFreshness& mFreshness;
  state::ListedVersions mVersions;
  state::StreamHolders mHolders{ {} };
  std::map<StreamHash, OwnRecord> mOwn;
  /// Stored histories that were read since the last gap in the list; empty:
  /// none is stored.
  std::map<std::string, std::optional<state::VersionHistory>, std::less<>>
    mHistories;
  ConfirmedAt mFollowedSince;
  std::list<transport::Timer> mWaiters;
};

RelayStreams::RelayStreams(const RelayDependencies& aDependencies,
                           const ViewFreshness& aFreshness)
  : mShared(std::make_shared<Shared>(aDependencies, aFreshness))
{
}

RelayStreams::~RelayStreams() = default;

void
RelayStreams::ApplyView(const RelayView& aView)
{
  mShared->mVersions.Update(aView.mEndpoints, mShared->Now());
  mShared->mHolders.Update(aView.mEndpoints);
  for (auto& [stream, own] : mShared->mOwn) {
    const bool isNeeded = own.mHolders.empty() && own.mUntil > mShared->Now() &&
                          !mShared->OnlyVersion(own.mKey);
    if (isNeeded) {
      mShared->Write(own);
    }
  }
  mShared->WakeWaiters();
}

void
RelayStreams::ApplyFreshness()
{
  const auto since = mShared->mFreshness.mEndpointsSince;
  if (!since || since == mShared->mFollowedSince) {
    return;
  }
  mShared->mFollowedSince = since;
  mShared->mVersions.FollowSince(*since);
  mShared->mHistories.clear();
}

void
RelayStreams::ApplyHistory(const std::string& aService,
                           const std::optional<state::VersionHistory>& aHistory)
{
  mShared->mHistories[aService] = aHistory;
  mShared->WakeWaiters();
}

void
RelayStreams::HandleHolderLost(const std::string& aHost)
{
  transport::Spawn(mShared->mDependencies.mContext, mShared->Renew(aHost));
}

Task<void>
RelayStreams::Record(StreamKey aStream, std::string aVersion)
{
  const auto shared = mShared;
  auto& own = shared->Remember(aStream, aVersion);
  if (shared->KnownOnlyVersion(aStream) ||
      shared->HasOnlyStoredVersion(aStream)) {
    co_return;
  }
  const auto until = shared->Now() + kRecordTimeout;
  const auto pending = shared->Write(own);
  if (pending) {
    co_await pending->Wait();
  }
  co_await shared->AwaitRecorded(aStream.mService, aVersion, until);
}

Task<StreamLookup>
RelayStreams::Find(StreamKey aStream)
{
  const auto shared = mShared;
  const auto& dependencies = shared->mDependencies;
  const auto own = shared->mOwn.find(aStream.mStream);
  if (own != shared->mOwn.end() && own->second.mUntil > shared->Now()) {
    co_return StreamLookup{ StreamKnowledge::kKnown, own->second.mVersion };
  }
  const auto askedAt = shared->Now();
  const auto until = askedAt + kStartTime;
  while (!shared->mFreshness.mEndpoints && shared->Now() < until) {
    co_await shared->AwaitUpdate(until);
  }
  const auto hosts = shared->mHolders.ForReading(aStream.mStream);
  state::OriginEvidence evidence;
  if (dependencies.mFindStream && !hosts.empty()) {
    const auto pending = std::make_shared<Shared::PendingReplies>(
      dependencies.mContext, kFindTimeout);
    pending->mExpected = hosts.size();
    for (const auto& host : hosts) {
      transport::Spawn(dependencies.mContext,
                       shared->Ask(host, aStream, pending));
    }
    co_await pending->Wait();
    evidence.mReplies = pending->mReplies;
  }
  // A version may have begun to serve since the list was read. Then another
  // relay had the stream recorded, and some companion that did not reply may
  // hold the record.
  const bool haveAllReplied = evidence.mReplies.size() == hosts.size();
  while (true) {
    const auto only = shared->CurrentOnlyVersion(aStream);
    const bool isShown = haveAllReplied || shared->IsListedSince(askedAt);
    evidence.mOnlyVersion = isShown ? only : std::nullopt;
    evidence.mIsHistoryKnown = shared->KnownOnlyVersion(aStream).has_value();
    evidence.mStoredVersion = shared->StoredVersion(aStream.mService);
    const auto judged = state::JudgeOrigin(evidence);
    const bool isAwaited = shared->IsReading(aStream) || (only && !isShown);
    const bool mayChange = judged.mKnowledge == StreamKnowledge::kUnknown &&
                           isAwaited && shared->Now() < until;
    if (!mayChange) {
      co_return judged;
    }
    co_await shared->AwaitUpdate(
      std::min(until, shared->Now() + kListCheckInterval));
  }
}

} // namespace shuntjunction::coordination
