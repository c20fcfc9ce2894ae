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

/// The process beside each endpoint, which alone speaks to its backend.
namespace shuntjunction::coordination {

/// Takes requests from routers, admits or refuses them, and runs them.
///
/// Thread safety: none; lives on the traffic thread.
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

  /// Starts to listen; returns the address with the kernel's port.
  state::Result<state::Address> Start();

  /// Takes a configuration that came into force.
  void ApplyConfig(PublishedConfig aConfig);

  /// Refuses new work, tells all routers, and lets running work end.
  void BeginDrain();

  /// Whether nothing runs and nothing is left to be written.
  bool IsIdle() const;

  /// Whether a configuration is in force and the backend answers.
  bool IsReady() const;

  /// Refuses new work while the backend is being changed.
  void PauseAdmission(bool aIsPaused);

  /// What the backend last said of itself; no incarnation when it is down.
  const BackendState& LastState() const { return mState; }

  /// Asks the backend what it is, at once.
  transport::Task<void> Refresh();

  /// Requests at the backend.
  std::size_t Running() const { return mQueue.Running(); }

  /// Brings the gauges up to date.
  void UpdateGauges();

private:
  class Session;
  struct Work;
  using WorkPtr = std::shared_ptr<Work>;

  transport::Task<void> Accept();
  transport::Task<void> FollowState();
  transport::Task<void> FollowEvents();
  transport::Task<void> FollowStarts();
  void Warm(const state::WarmTask& aTask);
  void NoteState(const BackendState& aState);
  void NoteDown(const state::Error& aError);

  void Dispatch(const std::shared_ptr<Session>& aSession,
                protocol::Message aMessage);
  void AnswerProbe(Session& aSession, const protocol::Probe& aProbe);
  void HearVersion(Session& aSession, std::uint64_t aVersion);
  void BeginWork(const std::shared_ptr<Session>& aSession,
                 protocol::Submit aSubmit);

  void Admit(const WorkPtr& aWork);
  transport::Task<void> RunWork(WorkPtr aWork);
  transport::Task<bool> AwaitAdmission(WorkPtr aWork);
  transport::Task<bool> AwaitClaim(WorkPtr aWork, ClaimResult& aVerdict);
  transport::Task<void> RunBackend(WorkPtr aWork, ClaimResult aVerdict);
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
  void Pump();
  void NoteBlockTime(const Work& aWork);
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
  transport::Timer mPumpTimer;
  BackendState mState;
  std::uint64_t mNextTicket = 0;
  std::uint64_t mHeardVersion = 0;
  std::unordered_map<state::PrefixHash, state::TimePoint> mWarmed;
  double mMicrosPerBlock = 0;
  std::size_t mActive = 0;
  int mFailedPolls = 0;
  bool mIsLeaving = false;
  bool mIsPaused = false;
};

} // namespace shuntjunction::coordination
