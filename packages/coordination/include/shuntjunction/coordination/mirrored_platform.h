#pragma once

#include <array>
#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/snapshot_client.h"
#include "shuntjunction/state/object_mirror.h"
#include "shuntjunction/state/jittered_pause.h"
#include "shuntjunction/state/zone_watchers.h"

/// The platform as the watchers of a process's zone tell it.
namespace shuntjunction::coordination {

/// Kinds of calls to the store, each of which has its price.
enum class StoreCall : std::uint8_t
{
  kList,
  kListCached, ///< a list that may be old
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
  std::string mName;   ///< of this process
  std::string mSecret; ///< shared with the watchers
  std::string mZone;
  std::string mLocalEngine;     ///< address; its companion asks nobody else
  std::uint16_t mWatchPort = 0; ///< at which watchers answer
  std::vector<std::string> mPrefixes; ///< that are asked for
  std::string mConfirmed; ///< prefix whose confirmations are waited for
  /// Between two questions. What changes is heard so much later than from the
  /// store; the bounds on keys and leaving endpoints are some ten times this.
  state::Millis mAskInterval{ 600 };
  state::Millis mResponseTimeout{ 400 };
  /// A watcher whose word of the configuration is older has lost the store.
  state::Millis mMaxAge{ 1600 };
  /// After all watchers failed, the store is asked itself for so long.
  state::Millis mFallbackDuration{ 3000 };
  state::ZoneWatcherSettings mWatchers;
};

/// Answers lists and watches from what a watcher of the zone tells, and by the
/// store itself while no watcher does, or for a process that is one.
///
/// Each process that followed the store itself made a call a second and one a
/// change: 15,580 calls in 58 s for 283 processes.
/// Thread safety: none; used on the thread of its context, but for IsMirrored
/// and Answers.
class MirroredPlatform final : public Platform
{
public:
  /// @param aStore  outlives this, as do clock and log
  MirroredPlatform(transport::asio::io_context& aContext,
                   const MirroredPlatformSettings& aSettings,
                   Platform& aStore,
                   const state::Clock& aClock,
                   EventLog& aLog);

  /// Begins to ask watchers, once any are known.
  void Start();

  /// Takes the endpoints from which the watchers are known.
  void ApplyEndpoints(const std::vector<state::EndpointInfo>& aEndpoints);

  /// Notes that others ask this process, which therefore follows the store
  /// itself.
  void NoteRequest();

  /// Whether others asked it lately.
  bool HasRecentRequests() const;

  /// Whether a watcher answers for the store; may be asked from any thread.
  bool IsMirrored() const { return mIsServed.load(); }

  /// Calls that reached the store itself, of one kind; may be asked from any
  /// thread.
  std::uint64_t Calls(StoreCall aCall) const
  {
    return mCalls[static_cast<std::size_t>(aCall)].load();
  }

  /// Answers of watchers that were taken; may be asked from any thread.
  std::uint64_t MirrorResponses() const { return mAnswers.load(); }

  transport::Task<state::Result<ObjectList>> List(std::string aPrefix) override;
  transport::Task<state::Result<ObjectList>> ListCached(
    std::string aPrefix) override;
  transport::Task<state::Result<std::optional<state::RawObject>>> Read(
    std::string aKey) override;
  transport::Task<state::Result<std::uint64_t>> Write(
    std::string aKey,
    std::string aValue,
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
  void AbandonCalls() override;

private:
  /// What came of a question.
  enum class AskOutcome : std::uint8_t
  {
    kNobody, ///< there is nobody to ask
    kSilent, ///< not answered
    kStale,  ///< answered by one that lost the store, or does not know it yet
    kServed,
  };

  void Count(StoreCall aCall);
  transport::Task<void> Run();
  /// Asks one watcher after the other, until one serves.
  transport::Task<AskOutcome> QueryWatchers();
  transport::Task<AskOutcome> Ask(std::string aAddress);
  bool IsFresh(const state::MirrorUpdate& aPage) const;
  void SetServed(bool aIsServed);
  /// Ends the waits of all watches that wait here.
  void WakeWaiting();
  transport::Task<void> WaitForNews(state::TimePoint aUntil);
  bool IsServedFor(std::string_view aPrefix) const;
  MirrorFreshness Source(const state::MirroredTopic& aTopic) const;
  std::optional<ObjectList> ListHere(std::string_view aPrefix) const;

  transport::asio::io_context& mContext;
  MirroredPlatformSettings mSettings;
  Platform& mStore;
  const state::Clock& mClock;
  EventLog& mLog;
  SnapshotClient mClient;
  state::ObjectMirror mMirror;
  std::vector<std::string> mWatchers; ///< addresses at which they answer
  bool mIsWatcher = false;            ///< the first of them is this process
  std::uint64_t mEpoch = 0;           ///< of the mirror that answered last
  std::uint64_t mSequence = 0;        ///< up to which it told
  std::atomic<std::uint64_t> mAnswers{ 0 };
  std::array<std::atomic<std::uint64_t>, kStoreCallNames.Size()> mCalls{};
  std::atomic<bool> mIsServed{ false };
  std::optional<state::TimePoint> mAskedAt; ///< by others
  std::list<transport::Timer> mWaiting;
  state::RandomSource mRandom;
};

} // namespace shuntjunction::coordination
