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
#include "shuntjunction/coordination/view_freshness.h"
#include "shuntjunction/state/endpoint_directory.h"
#include "shuntjunction/state/list_freshness.h"
#include "shuntjunction/state/object_mirror.h"
#include "shuntjunction/state/relay_config.h"
#include "shuntjunction/state/request_digest.h"
#include "shuntjunction/state/rollout/rollout.h"
#include "shuntjunction/state/weights_history.h"

/// A process's view of the platform's objects.
namespace shuntjunction::coordination {

/// Weights of a model, as a process follows them.
struct ModelWeights
{
  state::WeightsHistory mHistory;
  /// Ids of the engines in the order in which they load the newest version. The
  /// order is fixed once the version and engines are known, so that no load
  /// changes the turns of the others.
  std::vector<std::string> mLoadOrder;
};

/// A request that crashed too many endpoints, as the store holds it.
struct QuarantinedRequest
{
  std::int64_t mUntilMillis = 0; ///< Unix time
  std::uint64_t mRevision = 0;
};

/// Quarantined requests by their digest.
using QuarantinedRequests = std::map<state::RequestDigest, QuarantinedRequest>;

/// A consistent view of the objects; replaced as a whole.
struct RelayView
{
  std::shared_ptr<const state::RelayConfig> mConfig =
    std::make_shared<const state::RelayConfig>();
  std::vector<state::EndpointInfo> mEndpoints;
  std::map<std::string, ModelWeights, std::less<>> mWeights;
  /// Whether the announced weights have been listed; until then, those of any
  /// engine may be outdated.
  bool mAreWeightsListed = false;
  QuarantinedRequests mQuarantined;
  /// The newest order of each service; none is listed where roll-outs are not
  /// enabled.
  std::map<std::string, state::Rollout, std::less<>> mRollouts;
  /// As of when all of this was current when the view was made.
  ViewFreshness mFreshness;
};

/// Zones of the companions, one beside each engine, by their hosts.
std::map<std::string, std::string>
CompanionZones(const std::vector<state::EndpointInfo>& aEndpoints);

/// Settings of a RelayFeed.
struct RelayFeedSettings
{
  /// Longest wait of a watch on the configuration. Each return confirms that
  /// nothing changed, which the validity of keys depends on: see
  /// state::ConfirmationWait.
  state::Millis mConfigWait{ 1000 };
  /// Longest wait of the other watches.
  state::Millis mListWait{ 20000 };
  /// Pause before the list is watched again, so that one call returns several
  /// changes.
  state::Millis mListPause{ 150 };
  state::Millis mFirstPause{ 100 }; ///< after a failed call
  state::Millis mLongestPause{ 600 };
  /// Shortest time after which the store drops an entry that is not renewed.
  state::Millis mShortestEntryLifetime{ state::kShortestEntryLifetime };
  bool mWatchesConfig = true;
  /// Whether quarantined requests are followed, as relays do.
  bool mFollowsQuarantine = false;
  /// Whether operators' orders of roll-outs are followed.
  bool mFollowsRollouts = false;
  /// Longest wait of the watch on the configuration, and pause between two
  /// watches of the list, while this process passes both on to others. The age
  /// of what it passes on reaches twice the wait, which must stay below
  /// MirroredPlatformSettings::mMaxAge.
  state::Millis mWatcherWait{ 500 };
  state::Millis mWatcherPause{ 400 };
};

/// Keeps a view of configuration, endpoints and announced weights current.
///
/// The configuration never goes back to an older version within a process.
/// Thread safety: none; used on the thread of its context, except Confirmed and
/// RefusedObjects.
class RelayFeed
{
public:
  using Handler = std::function<void(std::shared_ptr<const RelayView>)>;
  using FreshnessHandler = std::function<void(const ViewFreshness&)>;

  /// @param aMirror  receives all that the store reports, for other processes
  /// @param aOnView  called on the feed's thread with each new view
  /// @param aOnConfirmed  called on the feed's thread when the latest view was
  ///                      confirmed, unless empty; whoever hands both on to
  ///                      another thread keeps their order
  /// All references must outlive the feed.
  RelayFeed(transport::asio::io_context& aContext,
            const RelayFeedSettings& aSettings,
            Platform& aPlatform,
            const StoreCodec& aCodec,
            const state::Clock& aClock,
            EventLog& aLog,
            state::ObjectMirror& aMirror,
            Handler aOnView,
            FreshnessHandler aOnConfirmed = {});
  ~RelayFeed();
  RelayFeed(const RelayFeed&) = delete;
  RelayFeed& operator=(const RelayFeed&) = delete;

  /// Starts following the platform.
  void Start();

  /// Reads the configuration once, before Start, unless it is known or not
  /// followed by this process.
  void ReadConfig();

  /// Follows the store for other processes too: the configuration as well, and
  /// each change promptly. Has no effect on a process that always follows it.
  void BeginWatching();

  /// Follows the store only for this process again.
  void EndWatching();

  /// Watches the list of endpoints again without waiting for the rest of the
  /// pause, if there is one.
  void EndListPause() { mListPause.cancel(); }

  /// When the configuration was last confirmed; may be called from any thread,
  /// but is ahead of views that are on their way to another.
  const state::Freshness& Confirmed() const { return mConfirmed; }

  /// The versions of a model's weights; the newest is confirmed as of the last
  /// answer about them. Used on the feed's thread.
  state::WeightsHistory Weights(const std::string& aModel) const;

  /// Records that another process knows a version of a model's weights to have
  /// been the newest at a time. Used on the feed's thread.
  void ConfirmWeights(const std::string& aModel,
                      std::uint64_t aVersion,
                      state::TimePoint aAt);

  /// How current the orders of roll-outs are. Used on the feed's thread.
  const state::ListFreshness& RolloutList() const;

  /// Number of objects that could not be read, counted once per revision; may
  /// be called from any thread.
  std::uint64_t RefusedObjects() const { return mRefusedObjects.load(); }

private:
  struct Topic;

  void DescribeTopics();
  std::array<Topic*, 5> Topics() const;
  transport::Task<void> Follow(Topic& aTopic);
  transport::Task<void> ReadConfigOnce();
  /// Follows a topic, unless it is followed already.
  void BeginFollowing(Topic& aTopic);
  transport::Task<state::Result<void>> ListOnce(Topic& aTopic);
  transport::Task<state::Result<void>> WatchOnce(Topic& aTopic);
  transport::Task<void> ExpireEndpoints();
  /// Checks periodically whether the store answers and whether the watch of the
  /// weights missed any; renews the watches if they are stale.
  transport::Task<void> CheckStoreLiveness();
  bool HasNewerWeights(const ObjectList& aList) const;
  /// Whether a topic probes, for all topics, if a lost store is back. A watch
  /// of full length would show this only at its end; the other topics wait for
  /// the result of the probe.
  bool IsProbing(const Topic& aTopic) const;
  /// Whether a topic is still followed.
  bool IsFollowed(const Topic& aTopic) const;
  /// Records who gave an answer; returns the time as of which the answer holds.
  state::TimePoint NoteSource(const std::optional<MirrorFreshness>& aSource,
                              state::TimePoint aRequestedAt);
  /// Tells the mirror up to which revision the lists are known.
  void UpdateMirror();
  /// Records the store's revision from a topic's answer.
  void NoteRevision(Topic& aTopic,
                    std::uint64_t aRevision,
                    state::TimePoint aRequestedAt);
  /// Applies all objects of a topic and passes them to the mirror; returns
  /// whether any of them is new.
  bool ApplyList(Topic& aTopic, const ObjectList& aList);
  /// @param aIsMirrored  another process reported it
  void ApplyChange(Topic& aTopic,
                   const state::RawObject& aChange,
                   bool aIsMirrored);
  /// Re-reads the lists whose watches did not report a change that the store
  /// has.
  void CheckLists();
  transport::Task<void> CheckList(Topic& aTopic);
  transport::Task<void> RereadList(Topic& aTopic);
  void NoteCallFailure(Topic& aTopic,
                       const state::Error& aError,
                       state::Millis aWaited);
  /// Records that a call failed; returns whether it belongs to an outage in
  /// which entries may have expired.
  ///
  /// @param aSince  see EndpointDirectory::NoteFailure
  bool NoteStoreFailure(state::TimePoint aSince);
  /// Records that a call was answered, before its answer is applied.
  void NoteStoreAnswer();
  /// Records that an answer about a kind of objects was applied.
  void NoteFollowed(const Topic& aTopic);
  std::int64_t MillisSince(state::TimePoint aTime) const;
  void NoteSuccess(Topic& aTopic);
  /// Cancels the calls that have waited since before the last failure: a store
  /// that stopped responding may never answer them, though it answers new ones.
  void AbandonOldCalls();
  /// @return whether it is newer than the active one
  bool ApplyConfig(const state::RawObject& aObject);
  /// Reads an endpoint; empty for an entry of another writer.
  std::optional<state::EndpointInfo> ReadEndpoint(
    const state::RawObject& aObject);
  /// Counts an object that cannot be read and logs each revision of it once.
  void RefuseObject(std::string_view aEvent,
                    const state::RawObject& aObject,
                    const state::Error& aError);
  /// Endpoints of the services in the configuration.
  std::vector<state::EndpointInfo> KnownEndpoints() const;
  void ApplyEndpoint(const state::RawObject& aObject);
  /// @return whether it is newer than what is known
  bool ApplyWeights(const state::RawObject& aObject);
  /// Determines the load orders that have no engines yet.
  void FixLoadOrders();
  /// Time as of which a topic was last confirmed; empty if it never was.
  std::optional<state::TimePoint> ConfirmedAt(const Topic& aTopic) const;
  /// Applies the start or end of a quarantine; returns whether it is new.
  bool ApplyQuarantined(const state::RawObject& aObject);
  /// Applies an order of a roll-out, its status, or its removal; returns
  /// whether it is new.
  bool ApplyRollout(const state::RawObject& aObject);
  /// @return whether it brought anything new
  bool ApplyEndpointList(const std::vector<state::RawObject>& aObjects);
  void Publish();
  /// Reports that the latest view was confirmed.
  void PublishFreshness();
  ViewFreshness CurrentFreshness() const;

  transport::asio::io_context& mContext;
  RelayFeedSettings mSettings;
  Platform& mPlatform;
  const StoreCodec& mCodec;
  const state::Clock& mClock;
  EventLog& mLog;
  state::ObjectMirror& mMirror;
  Handler mOnView;
  FreshnessHandler mOnConfirmed;
  std::unique_ptr<Topic> mConfigTopic;
  std::unique_ptr<Topic> mEndpointTopic;
  std::unique_ptr<Topic> mWeightsTopic;
  std::unique_ptr<Topic> mQuarantineTopic;
  std::unique_ptr<Topic> mRolloutTopic;
  transport::Timer mListPause; ///< see RelayFeedSettings::mListPause
  transport::Timer mExpiryTimer;
  state::TimePoint mExpiryDue; ///< when entries are next looked at
  state::EndpointDirectory mDirectory;
  state::Freshness mConfirmed;
  RelayView mView;
  bool mIsWatching = false; ///< see BeginWatching
  /// Whether changes of the endpoints may have been missed since the last
  /// answer about them.
  bool mHasEndpointGap = true;
  std::optional<state::TimePoint> mEndpointsSince; ///< see ViewFreshness
  state::TimePoint mLastFailureAt; ///< time of the last failed call
  /// Until when an outage lasted that another process reported.
  state::TimePoint mMirroredOutageAt;
  /// Objects whose latest revision could not be read, with that revision.
  std::map<std::string, std::uint64_t, std::less<>> mRefused;
  std::atomic<std::uint64_t> mRefusedObjects{ 0 };
  state::RandomSource mRandom;
};

} // namespace shuntjunction::coordination
