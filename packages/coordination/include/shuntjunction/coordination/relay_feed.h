#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/relay_codec.h"
#include "shuntjunction/state/endpoint_directory.h"
#include "shuntjunction/state/list_freshness.h"
#include "shuntjunction/state/object_mirror.h"
#include "shuntjunction/state/relay_config.h"
#include "shuntjunction/state/request_digest.h"

/// What a process believes of the platform's objects.
namespace shuntjunction::coordination {

/// Versions of a model's weights that were named while this process lived.
struct WeightsHistory
{
  /// One version.
  struct VersionRecord
  {
    std::uint64_t mVersion = 0;
    state::TimePoint mLearnedAt; ///< when this process learned of it
  };

  std::vector<VersionRecord> mVersions; ///< rising; the last is the newest
  /// Ids of the engines in the order in which they load the newest, as of when
  /// it became known, so that no load changes the turns of the others.
  std::vector<std::string> mLoadOrder;

  /// The newest version; 0 when none was named.
  std::uint64_t Newest() const
  {
    return mVersions.empty() ? 0 : mVersions.back().mVersion;
  }

  /// When the newest version became known; the epoch when none was named.
  state::TimePoint NewestLearnedAt() const
  {
    return mVersions.empty() ? state::TimePoint() : mVersions.back().mLearnedAt;
  }

  /// When a version was superseded; empty while it is the newest.
  std::optional<state::TimePoint> SupersededAt(std::uint64_t aVersion) const;
};

/// A request that crashed too many endpoints, as the store holds it.
struct QuarantinedRequest
{
  std::int64_t mUntilMillis = 0; ///< Unix time
  std::uint64_t mRevision = 0;
};

/// All of them.
using QuarantinedRequests = std::map<state::RequestDigest, QuarantinedRequest>;

/// A consistent view, replaced as a whole.
struct RelayView
{
  std::shared_ptr<const state::RelayConfig> mConfig =
    std::make_shared<const state::RelayConfig>();
  std::vector<state::EndpointInfo> mEndpoints;
  std::map<std::string, WeightsHistory, std::less<>> mWeights;
  QuarantinedRequests mQuarantined;
};

/// Hosts of the companions, one beside each engine, with their zones.
std::map<std::string, std::string>
CompanionZones(const std::vector<state::EndpointInfo>& aEndpoints);

/// Settings of a RelayFeed.
struct RelayFeedSettings
{
  /// Longest wait of a watch on the configuration. Each return confirms that
  /// nothing changed, and keys need that: see state::ConfirmationWait.
  state::Millis mConfigWait{ 1000 };
  /// Longest wait of the other watches.
  state::Millis mListWait{ 20000 };
  /// Pause before the list is watched again, so that several changes are taken
  /// by one call.
  state::Millis mListPause{ 150 };
  state::Millis mFirstPause{ 100 }; ///< after a failed call
  state::Millis mLongestPause{ 600 };
  bool mWatchesConfig = true;
  /// Whether quarantined requests are followed: relays do.
  bool mFollowsQuarantine = false;
  /// Longest wait of the configuration's watch, and pause between two watches
  /// of the list, while others are told of both.
  state::Millis mWatcherWait{ 500 };
  state::Millis mWatcherPause{ 400 };
};

/// Keeps a view of configuration, endpoints and named weights.
///
/// Configuration never falls back in a process's life.
/// Thread safety: none; used on the thread of its context, but Confirmed,
/// EndpointList and RefusedObjects.
class RelayFeed
{
public:
  using Handler = std::function<void(std::shared_ptr<const RelayView>)>;

  /// @param aMirror  gets all that the store says, for others
  /// @param aTake  called on the feed's thread with each new view
  /// The other parts outlive the feed.
  RelayFeed(transport::asio::io_context& aContext,
            const RelayFeedSettings& aSettings,
            Platform& aPlatform,
            const StoreCodec& aCodec,
            const state::Clock& aClock,
            EventLog& aLog,
            state::ObjectMirror& aMirror,
            Handler aTake);
  ~RelayFeed();
  RelayFeed(const RelayFeed&) = delete;
  RelayFeed& operator=(const RelayFeed&) = delete;

  /// Begins to follow the platform.
  void Start();

  /// Follows the store for others too: the configuration as well, and each
  /// change soon. Nothing changes for a process that follows it anyway.
  void BeginWatching();

  /// Follows the store for this process alone again.
  void EndWatching();

  /// When the configuration was last confirmed; may be asked from any thread.
  const state::Freshness& Confirmed() const { return mConfirmed; }

  /// How current the list of endpoints is; may be asked from any thread.
  const state::ListFreshness& EndpointList() const;

  /// Objects that could not be read, each change of one once; may be asked from
  /// any thread.
  std::uint64_t RefusedObjects() const { return mRefusedObjects.load(); }

private:
  struct Topic;

  void DescribeTopics();
  std::array<Topic*, 4> Topics() const;
  transport::Task<void> Follow(Topic& aTopic);
  transport::Task<state::Result<void>> ListOnce(Topic& aTopic);
  transport::Task<state::Result<void>> WatchOnce(Topic& aTopic);
  transport::Task<void> ExpireEndpoints();
  /// Looks from time to time whether the store answers and whether the watch of
  /// the weights has missed any; makes the watches anew if so.
  transport::Task<void> CheckStoreLiveness();
  bool HasNewerWeights(const ObjectList& aList) const;
  /// Whether a topic asks, for all, whether a store that was lost is back. A
  /// whole watch would tell so only at its end; the others wait for the word.
  bool IsProbing(const Topic& aTopic) const;
  /// Whether a topic is still followed.
  bool IsFollowed(const Topic& aTopic) const;
  /// Takes who gave an answer; the time as of which it is true.
  state::TimePoint NoteSource(const std::optional<MirrorFreshness>& aSource,
                              state::TimePoint aAskedAt);
  /// Tells the mirror how far the lists are known.
  void UpdateMirror();
  /// Takes the store's revision from a topic's answer.
  void NoteRevision(Topic& aTopic,
                    std::uint64_t aRevision,
                    state::TimePoint aAskedAt);
  /// Takes all objects of a topic, for others too; whether it brought anything
  /// new.
  bool MergeList(Topic& aTopic, const ObjectList& aList);
  void MergeChange(Topic& aTopic, const state::RawObject& aChange);
  /// Reads the lists anew whose watches do not tell of what the store has.
  void CheckLists();
  transport::Task<void> CheckList(Topic& aTopic);
  transport::Task<void> RereadList(Topic& aTopic);
  void NoteCallFailure(Topic& aTopic, const state::Error& aError);
  void NoteSuccess(Topic& aTopic);
  /// Ends the calls that wait since before the last trouble: a store that fell
  /// silent may never answer them, though it answers new ones.
  void AbandonOldCalls();
  /// @return whether it is newer than the one in force
  bool ApplyConfig(const state::RawObject& aObject);
  /// Reads an endpoint; an entry of another writer names none.
  std::optional<state::EndpointInfo> ReadEndpoint(
    const state::RawObject& aObject);
  /// Counts an object that cannot be read, and logs it once.
  void RefuseObject(std::string_view aEvent,
                    const state::RawObject& aObject,
                    const state::Error& aError);
  /// Endpoints of services that the configuration names.
  std::vector<state::EndpointInfo> KnownEndpoints() const;
  void ApplyEndpoint(const state::RawObject& aObject);
  /// @return whether it is newer than what is known
  bool ApplyWeights(const state::RawObject& aObject);
  /// Takes a request that is quarantined, or no more; whether that is news.
  bool ApplyQuarantined(const state::RawObject& aObject);
  /// @return whether it brought anything new
  bool ApplyEndpointList(const std::vector<state::RawObject>& aObjects);
  void Publish();

  transport::asio::io_context& mContext;
  RelayFeedSettings mSettings;
  Platform& mPlatform;
  const StoreCodec& mCodec;
  const state::Clock& mClock;
  EventLog& mLog;
  state::ObjectMirror& mMirror;
  Handler mTake;
  std::unique_ptr<Topic> mConfigTopic;
  std::unique_ptr<Topic> mEndpointTopic;
  std::unique_ptr<Topic> mWeightsTopic;
  std::unique_ptr<Topic> mQuarantineTopic;
  state::EndpointDirectory mDirectory;
  state::Freshness mConfirmed;
  RelayView mView;
  bool mIsWatching = false;    ///< see BeginWatching
  state::TimePoint mTroubleAt; ///< of the last call that failed
  /// Objects that could not be read last, and their revisions.
  std::map<std::string, std::uint64_t, std::less<>> mRefused;
  std::atomic<std::uint64_t> mRefusedObjects{ 0 };
  state::RandomSource mRandom;
};

} // namespace shuntjunction::coordination
