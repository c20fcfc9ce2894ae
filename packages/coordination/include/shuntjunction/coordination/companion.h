#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "shuntjunction/coordination/backend.h"
#include "shuntjunction/coordination/claim_manager.h"
#include "shuntjunction/coordination/config_feed.h"
#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/state/admission_queue.h"
#include "shuntjunction/state/block_index.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/state/warming.h"
#include "shuntjunction/transport/frame_channel.h"

/// The sidecar of an endpoint; all requests to the backend pass through it.
namespace shuntjunction::coordination {

/// Accepts requests from routers, admits or refuses them, and runs them on the
/// backend.
///
/// Thread safety: none; used on the traffic thread.
class Companion
{
public:
  /// @param aSettings, aBackend, aPlatform, aClock, aMetrics  outlive it
  Companion(boost::asio::io_context& aContext,
            const state::Settings& aSettings,
            Backend& aBackend,
            Platform& aPlatform,
            const state::Clock& aClock,
            Metrics& aMetrics,
            PeerSnapshotHandler aOnPeerSnapshot);
  ~Companion();
  Companion(const Companion&) = delete;
  Companion& operator=(const Companion&) = delete;

  /// Starts listening; returns the address with the port that was assigned.
  state::Result<state::Address> Start();

  /// Applies a new configuration.
  void ApplyConfig(PublishedConfig aConfig);

  /// Refuses new requests, notifies all routers and lets running requests
  /// finish.
  void BeginDrain();

  /// Whether no request runs and no claim is still to be written.
  bool IsIdle() const;

  /// Whether a configuration is active, the backend is up and no drain has
  /// begun.
  bool IsReady() const;

  /// Pauses or resumes admission, e.g. while the engine is reconfigured.
  void PauseAdmission(bool aIsPaused);

  /// The backend's last reported state; the incarnation is 0 if it is down.
  const BackendState& LastState() const { return mState; }

  /// Polls the backend's state now.
  transport::Task<void> Refresh();

  /// Number of requests that the backend is running.
  std::size_t Running() const { return mQueue.Running(); }

  /// Updates the gauges.
  void UpdateGauges();

private:
  class Session;
  struct Work;
  using WorkPtr = std::shared_ptr<Work>;

  transport::Task<void> Accept();
  transport::Task<void> PollState();
  transport::Task<void> FollowCacheEvents();
  transport::Task<void> RunWarming();
  void Warm(const state::WarmTask& aTask);
  void NoteState(const BackendState& aState);
  void NoteBackendFailure(const state::Error& aError);

  void Dispatch(const std::shared_ptr<Session>& aSession,
                protocol::Message aMessage);
  void AnswerProbe(Session& aSession, const protocol::Probe& aProbe);
  void NotePeerVersion(Session& aSession, std::uint64_t aVersion);
  void BeginWork(const std::shared_ptr<Session>& aSession,
                 protocol::Submit aSubmit);

  void Admit(const WorkPtr& aWork);
  transport::Task<void> RunWork(WorkPtr aWork);
  transport::Task<bool> AwaitAdmission(WorkPtr aWork);
  transport::Task<bool> AwaitClaim(WorkPtr aWork, ClaimResult& aClaim);
  transport::Task<void> RunBackend(WorkPtr aWork, ClaimResult aClaim);
  transport::Task<bool> AwaitWindow(WorkPtr aWork);
  void FinishWork(Work& aWork, const BackendEnd& aEnd);
  void Replay(Work& aWork, const state::ClaimRecord& aRecord);

  std::optional<state::RefusalReason> ReasonToRefuse(
    const protocol::Submit& aSubmit) const;
  void Refuse(Work& aWork,
              state::RefusalReason aReason,
              state::Millis aRetryAfter);
  void Fail(Work& aWork, state::RunState aRunState, std::string_view aText);
  void Apply(const std::vector<state::AdmissionRefusal>& aRefusals);
  void ProcessQueue();
  void UpdateBlockTime(const Work& aWork);
  std::uint64_t ConfigVersion() const;

  boost::asio::io_context& mContext;
  const state::Settings& mSettings;
  Backend& mBackend;
  const state::Clock& mClock;
  Metrics& mMetrics;
  PeerSnapshotHandler mOnPeerSnapshot;
  ClaimManager mClaims;
  Log mLog;
  PublishedConfig mConfig;
  state::BlockIndex mIndex;
  state::AdmissionQueue mQueue;
  std::unordered_map<std::uint64_t, WorkPtr> mWorkByTicket;
  std::unordered_set<std::shared_ptr<Session>> mSessions;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> mAcceptor;
  transport::ChannelCounters mChannelCounters;
  transport::Timer mQueueTimer;
  BackendState mState;
  std::uint64_t mNextTicket = 0;
  std::uint64_t mNewestPeerVersion = 0;
  std::unordered_map<state::PrefixHash, state::TimePoint> mWarmedAt;
  double mMicrosPerBlock = 0;
  std::size_t mActive = 0;
  int mFailedPolls = 0;
  bool mIsDraining = false;
  bool mIsPaused = false;
};

} // namespace shuntjunction::coordination
