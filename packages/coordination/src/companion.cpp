#include "shuntjunction/coordination/companion.h"

#include <algorithm>

#include "companion_parts.h"
#include "shuntjunction/coordination/peer_link.h"
#include "shuntjunction/state/progress_pacer.h"

namespace shuntjunction::coordination {

namespace asio = boost::asio;
using protocol::Message;
using state::Millis;
using state::RefusalReason;
using state::Result;
using transport::FrameChannel;
using transport::Task;

namespace {

constexpr Millis kEventsTimeout{ 5000 };
constexpr Millis kEventsRetryDelay{ 200 };
/// Between calls that return no new events.
constexpr Millis kLongestEventsDelay{ 2000 };
constexpr Millis kAcceptRetryDelay{ 50 };
constexpr int kFailedPollsUntilDown = 3;

} // namespace

Companion::Companion(asio::io_context& aContext,
                     const state::Settings& aSettings,
                     Backend& aBackend,
                     Platform& aPlatform,
                     const state::Clock& aClock,
                     Metrics& aMetrics,
                     PeerSnapshotHandler aOnPeerSnapshot)
  : mContext(aContext)
  , mSettings(aSettings)
  , mBackend(aBackend)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mOnPeerSnapshot(std::move(aOnPeerSnapshot))
  , mClaims(aContext, aPlatform, aClock, aMetrics)
  , mLog("companion")
  , mQueue(aSettings.mCompanion.mAdmission)
  , mQueueTimer(aContext)
  , mMicrosPerBlock(static_cast<double>(aSettings.mCompanion.mMicrosPerBlock))
{
}

Companion::~Companion() = default;

Result<state::Address>
Companion::Start()
{
  const auto address = state::ParseAddress(mSettings.mCompanion.mListen);
  if (!address) {
    return tl::unexpected(address.error());
  }
  auto acceptor = transport::Listen(mContext, *address);
  if (!acceptor) {
    return tl::unexpected(acceptor.error());
  }
  mAcceptor = *acceptor;
  transport::Spawn(mContext, Accept());
  transport::Spawn(mContext, PollState());
  if (mBackend.IsEngine()) {
    transport::Spawn(mContext, FollowCacheEvents());
    transport::Spawn(mContext, RunWarming());
  }
  return transport::LocalAddress(*mAcceptor);
}

std::uint64_t
Companion::ConfigVersion() const
{
  return mConfig.Version();
}

void
Companion::ApplyConfig(PublishedConfig aConfig)
{
  mConfig = std::move(aConfig);
}

bool
Companion::IsReady() const
{
  return mConfig.mText != nullptr && mState.mIncarnation != 0 && !mIsDraining;
}

bool
Companion::IsIdle() const
{
  return mActive == 0 && mClaims.Pending() == 0;
}

void
Companion::BeginDrain()
{
  mIsDraining = true;
  mLog.Info("draining; " + std::to_string(mQueue.Running()) +
            " requests are running.");
  Apply(mQueue.RefuseAll(RefusalReason::kLeaving));
  for (const auto& session : mSessions) {
    session->Channel().Send(protocol::Leaving{ mSettings.mName });
  }
}

void
Companion::PauseAdmission(bool aIsPaused)
{
  mIsPaused = aIsPaused;
  if (aIsPaused) {
    Apply(mQueue.RefuseAll(RefusalReason::kWrongModel));
  }
}

void
Companion::UpdateGauges()
{
  mMetrics.Set("shuntjunction_companion_running",
               static_cast<double>(mQueue.Running()));
  mMetrics.Set("shuntjunction_companion_queued",
               static_cast<double>(mQueue.Queued()));
  mMetrics.Set("shuntjunction_companion_indexed_blocks",
               static_cast<double>(mIndex.Size()));
  mMetrics.Set("shuntjunction_companion_event_gaps",
               static_cast<double>(mIndex.Gaps()));
  mMetrics.Set("shuntjunction_companion_micros_per_block", mMicrosPerBlock);
  mMetrics.Set("shuntjunction_backend_up", mState.mIncarnation != 0 ? 1 : 0);
  SetChannelGauges(mMetrics, mChannelCounters);
}

// Backend state and cache events.

void
Companion::NoteState(const BackendState& aState)
{
  mFailedPolls = 0;
  if (aState.mIncarnation != mState.mIncarnation) {
    mLog.Info("backend incarnation " + std::to_string(aState.mIncarnation) +
              " serves " + aState.mModel + ", weights version " +
              std::to_string(aState.mWeights) + ".");
  }
  mState = aState;
  mIndex.Restart(aState.mIncarnation);
}

void
Companion::NoteBackendFailure(const state::Error& aError)
{
  if (++mFailedPolls < kFailedPollsUntilDown || mState.mIncarnation == 0) {
    return;
  }
  mLog.Warn("the backend is down: " + aError.Describe() + ".");
  mState = {};
  mIndex.Restart(0);
  Apply(mQueue.RefuseAll(RefusalReason::kEngineDown));
  // Requests that were running will get no response; cancel them, so that the
  // routers can resume them elsewhere.
  for (const auto& [ticket, work] : mWorkByTicket) {
    work->mCancel->Cancel();
  }
}

Task<void>
Companion::Refresh()
{
  const auto found = co_await mBackend.State();
  if (found) {
    NoteState(*found);
  } else {
    NoteBackendFailure(found.error());
  }
}

Task<void>
Companion::PollState()
{
  while (true) {
    co_await Refresh();
    ProcessQueue();
    co_await transport::Sleep(mSettings.mCompanion.mPollInterval);
  }
}

Task<void>
Companion::FollowCacheEvents()
{
  state::Incarnation incarnation = 0;
  std::uint64_t after = 0;
  state::ProgressPacer pacer(kEventsRetryDelay, kLongestEventsDelay);
  while (true) {
    const auto known = after;
    const auto calledAt = mClock.Now();
    const auto events = co_await mBackend.Events(after, kEventsTimeout);
    if (!events) {
      co_await transport::Sleep(kEventsRetryDelay);
      continue;
    }
    if (events->mIncarnation != incarnation) {
      // Start at the first event of the new incarnation.
      incarnation = events->mIncarnation;
      if (incarnation != mState.mIncarnation) {
        co_await Refresh();
      }
      if (std::exchange(after, 0) != 0) {
        continue;
      }
    }
    for (const auto& event : events->mEvents) {
      mIndex.Apply(event);
      after = std::max(after, event.mSequence);
    }
    mMetrics.Count("shuntjunction_cache_events_total",
                   {},
                   static_cast<double>(events->mEvents.size()));
    const auto took =
      std::chrono::duration_cast<Millis>(mClock.Now() - calledAt);
    co_await transport::Sleep(
      pacer.PauseAfter(after > known, took, kEventsTimeout));
  }
}

// Connections from routers.

Task<void>
Companion::Accept()
{
  while (mAcceptor->is_open()) {
    auto [error, socket] =
      co_await mAcceptor->async_accept(transport::kAsTuple);
    if (error) {
      co_await transport::Sleep(kAcceptRetryDelay);
      continue;
    }
    boost::system::error_code ignored;
    const auto remote = socket.remote_endpoint(ignored);
    const auto channel = std::make_shared<FrameChannel>(
      std::move(socket),
      remote.address().to_string() + ":" + std::to_string(remote.port()),
      mChannelCounters);
    const auto serve =
      [](Companion* aSelf,
         std::shared_ptr<FrameChannel> aChannel) -> Task<void> {
      const transport::ChannelIdentity identity{ aSelf->mSettings.mName,
                                                 aSelf->mSettings.mSecret,
                                                 aSelf->ConfigVersion() };
      const auto authenticated =
        co_await aChannel->HandshakeAsAcceptor(identity);
      if (!authenticated) {
        aSelf->mLog.Warn(
          "rejected a peer: " + authenticated.error().Describe() + ".");
        co_return;
      }
      const auto session = std::make_shared<Session>(aChannel);
      aSelf->mSessions.insert(session);
      if (aSelf->mIsDraining) {
        aChannel->Send(protocol::Leaving{ aSelf->mSettings.mName });
      }
      aSelf->NotePeerVersion(*session, aChannel->PeerConfigVersion());
      while (true) {
        auto message = co_await aChannel->Receive();
        if (!message) {
          break;
        }
        aSelf->Dispatch(session, std::move(*message));
      }
      // Cancel the connection's requests; running non-repeatable ones are not
      // aborted at the backend.
      aSelf->mSessions.erase(session);
      for (const auto& [id, work] : session->mWork) {
        work->Cancel();
      }
      session->mWork.clear();
    };
    transport::Spawn(mContext, serve(this, channel));
  }
}

void
Companion::Dispatch(const std::shared_ptr<Session>& aSession, Message aMessage)
{
  const auto find = [&](protocol::StreamId aId,
                        std::uint32_t aAttempt) -> WorkPtr {
    const auto found = aSession->mWork.find(aId);
    if (found == aSession->mWork.end() ||
        found->second->mSubmit.mAttempt != aAttempt) {
      return nullptr;
    }
    return found->second;
  };
  if (auto* submit = std::get_if<protocol::Submit>(&aMessage)) {
    NotePeerVersion(*aSession, submit->mConfigVersion);
    BeginWork(aSession, std::move(*submit));
  } else if (const auto* probe = std::get_if<protocol::Probe>(&aMessage)) {
    NotePeerVersion(*aSession, probe->mConfigVersion);
    AnswerProbe(*aSession, *probe);
  } else if (const auto* cancel = std::get_if<protocol::Cancel>(&aMessage)) {
    if (const auto work = find(cancel->mId, cancel->mAttempt)) {
      work->Cancel();
    }
  } else if (const auto* credit = std::get_if<protocol::Credit>(&aMessage)) {
    if (const auto work = find(credit->mId, credit->mAttempt)) {
      work->mWindow += credit->mTokens;
      work->mMailbox.Push(WorkEvent::kCredit);
    }
  } else if (const auto* request =
               std::get_if<protocol::SnapshotRequest>(&aMessage)) {
    aSession->Channel().Send(mConfig.ReplyTo(*request));
  } else if (auto* reply = std::get_if<protocol::SnapshotReply>(&aMessage)) {
    mOnPeerSnapshot(std::move(*reply), aSession->Channel().Peer());
  } else {
    mMetrics.Count("shuntjunction_frames_unexpected_total");
  }
}

void
Companion::NotePeerVersion(Session& aSession, std::uint64_t aVersion)
{
  if (aVersion > ConfigVersion() && aVersion > mNewestPeerVersion) {
    mNewestPeerVersion = aVersion;
    aSession.Channel().Send(mConfig.RequestNewer());
  }
}

void
Companion::AnswerProbe(Session& aSession, const protocol::Probe& aProbe)
{
  protocol::ProbeReply reply;
  reply.mId = aProbe.mId;
  reply.mIsAccepting =
    !mIsDraining && !mIsPaused && mState.mIncarnation != 0 &&
    (!mBackend.IsEngine() ||
     protocol::ServedNameHash(mState.mModel) == aProbe.mServedNameHash);
  reply.mCachedBlocks = mIndex.CachedBlocks(std::span(aProbe.mLevels));
  reply.mWaitMicros = static_cast<std::uint32_t>(
    std::min<std::int64_t>(mQueue.WaitMicros(aProbe.mPriority), UINT32_MAX));
  reply.mMicrosPerBlock = static_cast<std::uint32_t>(mMicrosPerBlock);
  reply.mConfigVersion = aSession.Channel().UnannouncedVersion(ConfigVersion());
  aSession.Channel().Send(reply);
}

} // namespace shuntjunction::coordination
