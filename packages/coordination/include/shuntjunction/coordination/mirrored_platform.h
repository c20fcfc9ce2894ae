#pragma once

#include <array>
#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/snapshot_client.h"
#include "shuntjunction/state/object_mirror.h"
#include "shuntjunction/state/jittered_pause.h"
#include "shuntjunction/state/start_plan.h"
#include "shuntjunction/state/zone_watchers.h"

/// The platform as mirrored by the watchers of an availability zone.
namespace shuntjunction::coordination {

/// Kinds of calls to the store; their costs differ.
enum class StoreCall : std::uint8_t
{
  kList,
  kListCached, ///< a list that may be outdated
  kRead,
  kWrite,
  kWatch,
};

/// Names of StoreCall.
inline constexpr state::EnumNames<StoreCall, 5> kStoreCallNames{
  { "list", "glance", "read", "write", "watch" }
};

/// Settings of a MirroredPlatform.
struct MirroredPlatformSettings
{
  std::string mName;   ///< name of this process
  std::string mSecret; ///< shared with the watchers
  std::string mZone;
  /// Address of this companion's engine. A companion never queries itself, and
  /// the first watcher of the zone queries none.
  std::string mLocalEngine;
  std::uint16_t mWatchPort = 0;       ///< port on which watchers serve
  std::vector<std::string> mPrefixes; ///< prefixes to mirror
  /// Prefix whose watches return on every update, as a confirmation.
  std::string mConfirmed;
  /// Prefix of the weights; its watches do likewise, so that it is known until
  /// when a version was the newest.
  std::string mWeights;
  /// Interval between queries. Changes arrive later by up to this time than
  /// from the store itself; the bounds on key removal and leaving endpoints are
  /// about ten times as long.
  state::Millis mQueryInterval{ 600 };
  state::Millis mResponseTimeout{ 400 };
  /// If a watcher's configuration was confirmed longer ago than this, the
  /// watcher has lost the store.
  state::Millis mMaxAge{ 1600 };
  /// Time for which the store is queried directly after all watchers failed.
  state::Millis mFallbackDuration{ 3000 };
  /// Time for which the selected watchers must not change before a process
  /// leaves the one that serves it.
  state::Millis mSettleTime{ 3000 };
  state::StartPlanSettings mStart;
  state::ZoneWatcherSettings mWatchers;
};

/// Serves lists and watches from the mirror of a watcher in the zone. Falls
/// back to the store while no watcher responds, and in a process that is the
/// zone's first watcher or has served other processes recently.
///
/// This saves calls to the store: if every process follows the store itself,
/// each makes one call per second and one per change, e.g. 15,580 calls in 58 s
/// for 283 processes.
/// Thread safety: none; used on the thread of its context, except for
/// IsMirrored, Calls, Failures, MirrorResponses and SetGauges.
class MirroredPlatform final : public Platform
{
public:
  /// @param aStore, aClock, aLog  outlive this
  MirroredPlatform(transport::asio::io_context& aContext,
                   const MirroredPlatformSettings& aSettings,
                   Platform& aStore,
                   const state::Clock& aClock,
                   EventLog& aLog);

  /// Queries the watchers once, and serves from the mirror if one responded.
  transport::Task<state::WatcherResponse> QueryOnce();

  /// Starts querying watchers, once any are known.
  void Start();

  /// Sets the endpoints, from which the zone's watchers are derived.
  void ApplyEndpoints(const std::vector<state::EndpointInfo>& aEndpoints);

  /// Notes a request from another process; this process then follows the store
  /// itself.
  void NoteRequest();

  /// Whether other processes have sent requests recently.
  bool HasRecentRequests() const;

  /// Whether this process is the zone's first watcher.
  bool IsFirstWatcher() const;

  /// Whether the endpoints that were set include watchers of the zone.
  bool HasWatchers() const { return !mWatchers.Selected().empty(); }

  const MirroredPlatformSettings& Settings() const { return mSettings; }

  /// Whether a watcher serves in place of the store; may be called from any
  /// thread.
  bool IsMirrored() const { return mIsMirrored.load(); }

  /// Sets the gauges of calls and responses, on the thread of the metrics.
  void SetGauges(Metrics& aMetrics) const;

  /// Number of calls of one kind made to the store itself; may be called from
  /// any thread.
  std::uint64_t Calls(StoreCall aCall) const
  {
    return mCalls[static_cast<std::size_t>(aCall)].load();
  }

  /// Number of those calls that failed; may be called from any thread.
  std::uint64_t Failures(StoreCall aCall) const
  {
    return mFailures[static_cast<std::size_t>(aCall)].load();
  }

  /// Number of watcher responses applied; may be called from any thread.
  std::uint64_t MirrorResponses() const { return mMirrorResponses.load(); }

  transport::Task<state::Result<ObjectList>> List(std::string aPrefix) override;
  transport::Task<state::Result<ObjectList>> ListCached(
    std::string aPrefix) override;
  transport::Task<state::Result<std::optional<state::RawObject>>> Read(
    std::string aKey) override;
  transport::Task<state::Result<std::uint64_t>> Write(
    std::string aKey,
    std::string aValue,
    std::uint64_t aIfRevision) override;
  transport::Task<state::Result<std::uint64_t>> WriteStatus(
    std::string aKey,
    std::string aStatus,
    std::uint64_t aIfRevision) override;
  transport::Task<state::Result<void>> Delete(
    std::string aKey,
    std::uint64_t aIfRevision) override;
  transport::Task<state::Result<WatchResult>> Watch(
    std::string aPrefix,
    std::uint64_t aAfter,
    state::Millis aWait) override;
  transport::Task<state::Result<InstanceList>> Instances(
    std::uint64_t aAfter,
    state::Millis aWait) override;
  void AbortPendingCalls() override;

private:
  /// The outcome of querying a watcher, from worst to best.
  enum class QueryOutcome : std::uint8_t
  {
    kNoWatcher,  ///< there is no watcher to query
    kNoResponse, ///< no valid response
    kStale,      ///< the watcher has lost the store, or not read it yet
    kUpdated,    ///< a response was applied
  };

  /// Makes a call to the store and counts it, and its failure.
  template<typename T>
  transport::Task<state::Result<T>> CallStore(
    StoreCall aCall,
    transport::Task<state::Result<T>> aTask);
  transport::Task<void> Run();
  /// Queries the watchers in order until one serves.
  transport::Task<QueryOutcome> QueryWatchers();
  transport::Task<QueryOutcome> QueryWatcher(std::string aAddress);
  bool IsFresh(const state::MirrorUpdate& aUpdate) const;
  void SetMirrored(bool aIsMirrored);
  /// Wakes all watches that wait for the mirror.
  void WakeWaiters();
  transport::Task<void> WaitForUpdate(state::TimePoint aUntil);
  bool IsPrefixMirrored(std::string_view aPrefix) const;
  MirrorFreshness FreshnessOf(const state::MirroredTopic& aTopic) const;
  std::optional<ObjectList> ListFromMirror(std::string_view aPrefix) const;

  transport::asio::io_context& mContext;
  MirroredPlatformSettings mSettings;
  Platform& mStore;
  const state::Clock& mClock;
  EventLog& mLog;
  SnapshotClient mClient;
  state::ObjectMirror mMirror;
  state::WatcherOrder mWatchers; ///< their engines
  std::uint64_t mEpoch = 0;      ///< of the mirror that responded last
  std::uint64_t mSequence = 0;   ///< up to which its changes were applied
  std::atomic<std::uint64_t> mMirrorResponses{ 0 };
  std::array<std::atomic<std::uint64_t>, kStoreCallNames.Size()> mCalls{};
  std::array<std::atomic<std::uint64_t>, kStoreCallNames.Size()> mFailures{};
  std::atomic<bool> mIsMirrored{ false };
  std::optional<state::TimePoint> mLastRequestAt; ///< from another process
  std::list<transport::Timer> mWaiters;
  state::RandomSource mRandom;
};

} // namespace shuntjunction::coordination
