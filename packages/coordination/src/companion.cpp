#include "shuntjunction/coordination/companion.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/coordination/chat_api.h"
#include "shuntjunction/state/digest.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/transport/mailbox.h"

namespace shuntjunction::coordination {

namespace asio = boost::asio;
using protocol::Message;
using state::AdmissionRefusal;
using state::AdmissionTicket;
using state::ClaimStep;
using state::Millis;
using state::RefusalReason;
using state::RequestKind;
using state::Result;
using state::RunState;
using state::TimePoint;
using transport::FrameChannel;
using transport::Task;

namespace {

constexpr Millis kEventsWait{ 5000 };
constexpr Millis kEventsPause{ 200 };
constexpr Millis kAcceptPause{ 50 };
constexpr Millis kStartsPoll{ 1000 };
constexpr std::uint32_t kWarmWindow = 16; ///< above the one token asked for
constexpr Millis kRetryElsewhere{ 100 };  ///< another endpoint is better
constexpr Millis kRetryLater{ 1000 };
constexpr Millis kAnswerTimeout{ 60000 }; ///< for the next piece of an answer
constexpr int kPollsUntilDown = 3;
constexpr double kBlockTimeGain = 0.1; ///< weight of the newest measurement
constexpr std::uint32_t kMinMeasuredBlocks = 8;

/// News for a piece of work.
enum class WorkNews : std::uint8_t
{
  kAdmitted,
  kRefused,
  kCancelled,
  kCredit,
};

} // namespace

/// One router's connection.
class Companion::Session
{
public:
  explicit Session(std::shared_ptr<FrameChannel> aChannel)
    : mChannel(std::move(aChannel))
  {
  }

  FrameChannel& Channel() { return *mChannel; }

  std::unordered_map<protocol::StreamId, WorkPtr> mWork;

private:
  std::shared_ptr<FrameChannel> mChannel;
};

/// One request on its way through the companion.
struct Companion::Work
{
  Work(const asio::any_io_executor& aExecutor,
       const std::shared_ptr<Session>& aSession,
       protocol::Submit aSubmit)
    : mSession(aSession)
    , mSubmit(std::move(aSubmit))
    , mNews(aExecutor)
    , mWindow(mSubmit.mWindow)
  {
  }

  void Send(const Message& aMessage)
  {
    if (const auto session = mSession.lock()) {
      session->Channel().Send(aMessage);
    }
  }

  std::uint64_t VersionNews(std::uint64_t aVersion)
  {
    const auto session = mSession.lock();
    return session ? session->Channel().VersionNews(aVersion) : 0;
  }

  /// Gives the work up; what must not be repeated is not cut at the backend.
  void Cancel()
  {
    mIsCancelled = true;
    mNews.Push(WorkNews::kCancelled);
    if (!mSubmit.mIsOnce) {
      mCancel->Cancel();
    }
  }

  std::weak_ptr<Session> mSession;
  protocol::Submit mSubmit;
  state::PrefixChain mChain;
  AdmissionTicket mTicket;
  AdmissionRefusal mRefusal;
  transport::Mailbox<WorkNews> mNews;
  std::int64_t mWindow; ///< tokens that may be sent now
  TimePoint mHandedOver;
  std::uint32_t mComputedBlocks = 0;
  state::Incarnation mIncarnation = 0; ///< of the engine that answers
  std::shared_ptr<transport::CancelHandle> mCancel =
    std::make_shared<transport::CancelHandle>();
  bool mIsCancelled = false;
};

Companion::Companion(asio::io_context& aContext,
                     const state::Settings& aSettings,
                     Backend& aBackend,
                     Platform& aPlatform,
                     const state::Clock& aClock,
                     Metrics& aMetrics,
                     OnPeerSnapshot aOnPeerSnapshot)
  : mContext(aContext)
  , mSettings(aSettings)
  , mBackend(aBackend)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mOnPeerSnapshot(std::move(aOnPeerSnapshot))
  , mClaims(aContext, aPlatform, aClock, aMetrics)
  , mLog("companion")
  , mQueue(aSettings.mCompanion.mAdmission)
  , mPumpTimer(aContext)
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
  transport::Spawn(mContext, FollowState());
  if (mBackend.IsEngine()) {
    transport::Spawn(mContext, FollowEvents());
    transport::Spawn(mContext, FollowStarts());
  }
  return transport::LocalAddress(*mAcceptor);
}

std::uint64_t
Companion::ConfigVersion() const
{
  return mConfig.Version();
}

void
Companion::TakeConfig(PublishedConfig aConfig)
{
  mConfig = std::move(aConfig);
}

bool
Companion::IsReady() const
{
  return mConfig.mText != nullptr && mState.mIncarnation != 0 && !mIsLeaving;
}

bool
Companion::IsIdle() const
{
  return mActive == 0 && mClaims.Pending() == 0;
}

void
Companion::BeginLeaving()
{
  mIsLeaving = true;
  mLog.Info("leaving; " + std::to_string(mQueue.Running()) +
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
  mMetrics.Set("shuntjunction_frame_bytes_in",
               static_cast<double>(mChannelCounters.mBytesIn));
  mMetrics.Set("shuntjunction_frame_bytes_out",
               static_cast<double>(mChannelCounters.mBytesOut));
  mMetrics.Set("shuntjunction_frames_bad",
               static_cast<double>(mChannelCounters.mBadFrames));
}

// The backend: its state and its cache.

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
Companion::NoteDown(const state::Error& aError)
{
  if (++mFailedPolls < kPollsUntilDown || mState.mIncarnation == 0) {
    return;
  }
  mLog.Warn("the backend is down: " + aError.Describe() + ".");
  mState = {};
  mIndex.Restart(0);
  Apply(mQueue.RefuseAll(RefusalReason::kEngineDown));
  // What runs there will not be answered: let the routers resume it.
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
    NoteDown(found.error());
  }
}

Task<void>
Companion::FollowState()
{
  while (true) {
    co_await Refresh();
    Pump();
    co_await transport::Sleep(mSettings.mCompanion.mPollInterval);
  }
}

Task<void>
Companion::FollowEvents()
{
  state::Incarnation incarnation = 0;
  std::uint64_t after = 0;
  while (true) {
    const auto events = co_await mBackend.Events(after, kEventsWait);
    if (!events) {
      co_await transport::Sleep(kEventsPause);
      continue;
    }
    if (events->mIncarnation != incarnation) {
      // Begin at the first event of the new life.
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
  }
}

// Warming ahead of an event's start.

Task<void>
Companion::FollowStarts()
{
  while (true) {
    co_await transport::Sleep(kStartsPoll);
    if (mIsLeaving || mIsPaused || mState.mIncarnation == 0) {
      continue;
    }
    for (const auto& task : state::DueWarmTasks(*mConfig.mSnapshot,
                                                *mConfig.mInstances,
                                                mSettings.mName,
                                                mClock.WallMillis())) {
      Warm(task);
    }
  }
}

void
Companion::Warm(const state::WarmTask& aTask)
{
  const state::CacheScope scope{ aTask.mTeam, aTask.mModel, mState.mWeights };
  const auto chain = state::BuildPrefixChain(scope, aTask.Levels());
  const auto all = static_cast<std::uint32_t>(chain.mBlocks.size());
  const TimePoint now = mClock.Now();
  if (all == 0 || aTask.mModel != mState.mModel ||
      mIndex.CachedBlocks(std::span(chain.mBlocks)) == all) {
    return;
  }
  // Computed already for this start, but its events are late or it was
  // evicted again: once a start is enough.
  const auto warmed = mWarmed.find(chain.mBlocks.back());
  if (warmed != mWarmed.end() && now < warmed->second + state::kWarmLead) {
    return;
  }
  std::erase_if(mWarmed, [&](const auto& aItem) {
    return now >= aItem.second + state::kWarmLead;
  });
  mWarmed[chain.mBlocks.back()] = now;
  boost::json::array messages;
  for (const auto& text : aTask.mSharedText) {
    messages.push_back(
      boost::json::object{ { "role", "system" }, { "content", text } });
  }
  protocol::Submit submit;
  submit.mRequestId = "warming";
  submit.mTeam = aTask.mTeam;
  submit.mServes = aTask.mModel;
  submit.mDeadlineMs = static_cast<std::uint32_t>(
    std::max<std::int64_t>(aTask.mUntilStart.count(), 1000));
  submit.mWindow = kWarmWindow;
  submit.mBody = boost::json::serialize(
    boost::json::object{ { "model", aTask.mModel },
                         { "max_tokens", 1 },
                         { "messages", std::move(messages) } });
  mMetrics.Count("shuntjunction_warmed_total");
  Admit(std::make_shared<Work>(
    mContext.get_executor(), nullptr, std::move(submit)));
}

// Connections from routers.

Task<void>
Companion::Accept()
{
  while (mAcceptor->is_open()) {
    auto [error, socket] =
      co_await mAcceptor->async_accept(transport::kAsTuple);
    if (error) {
      co_await transport::Sleep(kAcceptPause);
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
      const auto proved = co_await aChannel->HandshakeAsAcceptor(identity);
      if (!proved) {
        aSelf->mLog.Warn("a peer was refused: " + proved.error().Describe() +
                         ".");
        co_return;
      }
      const auto session = std::make_shared<Session>(aChannel);
      aSelf->mSessions.insert(session);
      if (aSelf->mIsLeaving) {
        aChannel->Send(protocol::Leaving{ aSelf->mSettings.mName });
      }
      aSelf->HearVersion(*session, aChannel->PeerConfigVersion());
      while (true) {
        auto message = co_await aChannel->Receive();
        if (!message) {
          break;
        }
        aSelf->Dispatch(session, std::move(*message));
      }
      // Its requests are given up, but not those that must not be repeated.
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
    HearVersion(*aSession, submit->mConfigVersion);
    BeginWork(aSession, std::move(*submit));
  } else if (const auto* probe = std::get_if<protocol::Probe>(&aMessage)) {
    HearVersion(*aSession, probe->mConfigVersion);
    AnswerProbe(*aSession, *probe);
  } else if (const auto* cancel = std::get_if<protocol::Cancel>(&aMessage)) {
    if (const auto work = find(cancel->mId, cancel->mAttempt)) {
      work->Cancel();
    }
  } else if (const auto* credit = std::get_if<protocol::Credit>(&aMessage)) {
    if (const auto work = find(credit->mId, credit->mAttempt)) {
      work->mWindow += credit->mTokens;
      work->mNews.Push(WorkNews::kCredit);
    }
  } else if (const auto* request =
               std::get_if<protocol::SnapshotRequest>(&aMessage)) {
    aSession->Channel().Send(mConfig.ReplyTo(request->mHave));
  } else if (auto* reply = std::get_if<protocol::SnapshotReply>(&aMessage)) {
    if (!reply->mText.empty()) {
      mOnPeerSnapshot(std::move(reply->mText), aSession->Channel().Peer());
    }
  } else {
    mMetrics.Count("shuntjunction_frames_unexpected_total");
  }
}

void
Companion::HearVersion(Session& aSession, std::uint64_t aVersion)
{
  if (aVersion > ConfigVersion() && aVersion > mHeardVersion) {
    mHeardVersion = aVersion;
    aSession.Channel().Send(protocol::SnapshotRequest{ ConfigVersion() });
  }
}

void
Companion::AnswerProbe(Session& aSession, const protocol::Probe& aProbe)
{
  protocol::ProbeReply reply;
  reply.mId = aProbe.mId;
  reply.mIsAccepting =
    !mIsLeaving && !mIsPaused && mState.mIncarnation != 0 &&
    (!mBackend.IsEngine() ||
     protocol::ServesHash(mState.mModel) == aProbe.mServesHash);
  reply.mCachedBlocks = mIndex.CachedBlocks(std::span(aProbe.mLevels));
  reply.mWaitMicros = static_cast<std::uint32_t>(
    std::min<std::int64_t>(mQueue.WaitMicros(aProbe.mPriority), UINT32_MAX));
  reply.mMicrosPerBlock = static_cast<std::uint32_t>(mMicrosPerBlock);
  reply.mConfigVersion = aSession.Channel().VersionNews(ConfigVersion());
  aSession.Channel().Send(reply);
}

// A request's way: admission, claim, backend.

std::optional<RefusalReason>
Companion::ReasonToRefuse(const protocol::Submit& aSubmit) const
{
  if (mIsLeaving) {
    return RefusalReason::kLeaving;
  }
  if (mState.mIncarnation == 0) {
    return RefusalReason::kEngineDown;
  }
  if (!mBackend.IsEngine()) {
    const bool isCall = aSubmit.mKind == RequestKind::kService;
    return isCall ? std::nullopt : std::optional(RefusalReason::kWrongModel);
  }
  const bool isWrongWeights =
    aSubmit.mWeightsVersion != 0 && aSubmit.mWeightsVersion != mState.mWeights;
  if (mIsPaused || aSubmit.mServes != mState.mModel || isWrongWeights) {
    return RefusalReason::kWrongModel;
  }
  return std::nullopt;
}

void
Companion::BeginWork(const std::shared_ptr<Session>& aSession,
                     protocol::Submit aSubmit)
{
  const auto work = std::make_shared<Work>(
    mContext.get_executor(), aSession, std::move(aSubmit));
  if (const auto reason = ReasonToRefuse(work->mSubmit)) {
    Refuse(*work, *reason, kRetryElsewhere);
    return;
  }
  const auto& submit = work->mSubmit;
  if (!aSession->mWork.emplace(submit.mId, work).second) {
    mMetrics.Count("shuntjunction_frames_unexpected_total");
    return;
  }
  Admit(work);
}

void
Companion::Admit(const WorkPtr& aWork)
{
  const auto& submit = aWork->mSubmit;
  if (submit.mKind != RequestKind::kService) {
    const auto body = state::ParseJson(submit.mBody, "body");
    if (body && body->is_object()) {
      const state::CacheScope scope{ submit.mTeam,
                                     submit.mServes,
                                     mState.mWeights };
      aWork->mChain = state::BuildPrefixChain(
        scope, PromptLevels(submit.mKind, body->as_object()));
    }
  }
  const TimePoint now = mClock.Now();
  AdmissionTicket& ticket = aWork->mTicket;
  ticket.mId = ++mNextTicket;
  ticket.mPriority = submit.mPriority;
  ticket.mTeam = submit.mTeam;
  ticket.mArrived = now;
  ticket.mDeadline = now + Millis(submit.mDeadlineMs);
  const auto team = mConfig.mSnapshot->mTeams.find(submit.mTeam);
  if (team != mConfig.mSnapshot->mTeams.end()) {
    ticket.mTeamWeight = team->second.mWeight;
  }
  const auto all = static_cast<std::uint32_t>(aWork->mChain.mBlocks.size());
  const std::uint32_t cached =
    mIndex.CachedBlocks(std::span(aWork->mChain.mBlocks));
  ticket.mCostMicros =
    static_cast<std::int64_t>((all - cached) * mMicrosPerBlock);
  for (const auto& level : aWork->mChain.mLevels) {
    if (level.mBlocks > cached) {
      ticket.mMissingPrefix = level.mHash;
      break;
    }
  }
  mWorkByTicket.emplace(ticket.mId, aWork);
  Apply(mQueue.Enqueue(ticket, now));
  transport::Spawn(mContext, RunWork(aWork));
  Pump();
}

void
Companion::Apply(const std::vector<AdmissionRefusal>& aRefusals)
{
  for (const auto& refusal : aRefusals) {
    const auto work = mWorkByTicket.find(refusal.mId);
    if (work != mWorkByTicket.end()) {
      work->second->mRefusal = refusal;
      work->second->mNews.Push(WorkNews::kRefused);
    }
  }
}

void
Companion::Pump()
{
  const TimePoint now = mClock.Now();
  Apply(mQueue.Expire(now));
  while (const auto ticket = mQueue.Next(now)) {
    const auto work = mWorkByTicket.find(ticket->mId);
    if (work != mWorkByTicket.end()) {
      work->second->mNews.Push(WorkNews::kAdmitted);
    } else {
      mQueue.Remove(ticket->mId);
    }
  }
  if (const auto wake = mQueue.NextWake(now)) {
    mPumpTimer.expires_at(*wake);
    mPumpTimer.async_wait([this](auto aError) {
      if (!aError) {
        Pump();
      }
    });
  }
}

Task<void>
Companion::RunWork(WorkPtr aWork)
{
  ++mActive;
  ClaimVerdict verdict;
  const bool isAdmitted = co_await AwaitAdmission(aWork);
  if (isAdmitted && co_await AwaitClaim(aWork, verdict)) {
    co_await RunBackend(aWork, std::move(verdict));
  }
  mQueue.Remove(aWork->mTicket.mId);
  mWorkByTicket.erase(aWork->mTicket.mId);
  if (const auto session = aWork->mSession.lock()) {
    session->mWork.erase(aWork->mSubmit.mId);
  }
  --mActive;
  Pump();
}

Task<bool>
Companion::AwaitAdmission(WorkPtr aWork)
{
  while (true) {
    const auto news = co_await aWork->mNews.Receive(TimePoint::max());
    switch (news.value_or(WorkNews::kCancelled)) {
      case WorkNews::kAdmitted:
        co_return true;
      case WorkNews::kRefused:
        Refuse(*aWork, aWork->mRefusal.mReason, aWork->mRefusal.mRetryAfter);
        co_return false;
      case WorkNews::kCancelled:
        co_return false;
      case WorkNews::kCredit:
        break;
    }
  }
}

Task<bool>
Companion::AwaitClaim(WorkPtr aWork, ClaimVerdict& aVerdict)
{
  const auto& submit = aWork->mSubmit;
  if (submit.mIsOnce) {
    const TimePoint until =
      std::min(mClock.Now() + mSettings.mCompanion.mClaimTimeout,
               aWork->mTicket.mDeadline);
    const std::string digest = state::Sha256Hex(
      submit.mMethod + " " + submit.mTarget + "\n" + submit.mBody);
    aVerdict =
      co_await mClaims.Settle(submit.mTeam, submit.mKey, digest, until);
    switch (aVerdict.mStep) {
      case ClaimStep::kHandOver:
        break;
      case ClaimStep::kReplay:
        Replay(*aWork, aVerdict.mRecord);
        co_return false;
      case ClaimStep::kTaken:
        Fail(*aWork,
             RunState::kAlreadyTaken,
             "an earlier request with this key was taken and its outcome is "
             "not known");
        co_return false;
      case ClaimStep::kKeyReused:
        Fail(*aWork,
             RunState::kKeyReused,
             "this key was used before with another request");
        co_return false;
      default:
        Refuse(*aWork, RefusalReason::kPlatformDown, kRetryLater);
        co_return false;
    }
  }
  // Much may have changed while it waited, or the process may have slept.
  auto reason = ReasonToRefuse(submit);
  if (reason == RefusalReason::kLeaving) {
    reason.reset(); // It was admitted before: a planned stop cuts nothing.
  }
  if (mClock.Now() >= aWork->mTicket.mDeadline) {
    reason = RefusalReason::kTooLate;
  }
  if (!reason && !aWork->mIsCancelled) {
    co_return true;
  }
  if (submit.mIsOnce) {
    mClaims.Release(aVerdict);
  }
  Refuse(*aWork, reason.value_or(RefusalReason::kTooLate), kRetryElsewhere);
  co_return false;
}

Task<void>
Companion::RunBackend(WorkPtr aWork, ClaimVerdict aVerdict)
{
  auto& submit = aWork->mSubmit;
  const state::CacheScope scope{ submit.mTeam,
                                 submit.mServes,
                                 mState.mWeights };
  const std::uint32_t weights = mState.mWeights;
  BackendCall call;
  call.mSubmit = submit;
  call.mSalt = state::EngineSalt(scope, mSettings.mSecret);
  call.mChain = aWork->mChain.mBlocks;
  call.mCancel = aWork->mCancel;
  aWork->mHandedOver = mClock.Now();
  const auto answer = co_await mBackend.Open(std::move(call));
  if (!answer) {
    mLog.Warn("the backend failed: " + answer.error().Describe() + ".",
              submit.mRequestId);
    if (answer.error().mCode == state::ErrorCode::kUnavailable) {
      if (submit.mIsOnce) {
        mClaims.Release(aVerdict);
      }
      Refuse(*aWork, RefusalReason::kEngineDown, kRetryElsewhere);
    } else {
      Fail(*aWork, RunState::kUnknown, answer.error().mText);
    }
    co_return;
  }
  if ((*answer)->Weights() != weights) {
    // Other weights answer than those whose salt was handed in.
    Fail(*aWork, RunState::kUnknown, "the engine changed its weights");
    co_return;
  }
  const state::Incarnation incarnation = (*answer)->CurrentIncarnation();
  aWork->mIncarnation = incarnation;
  if (mBackend.IsEngine() && incarnation != mState.mIncarnation) {
    mIndex.Restart(incarnation);
  }
  const auto all = static_cast<std::uint32_t>(aWork->mChain.mBlocks.size());
  aWork->mComputedBlocks = all - std::min(all, (*answer)->CachedBlocks());
  aWork->Send(protocol::Started{ submit.mId,
                                 submit.mAttempt,
                                 incarnation,
                                 (*answer)->CachedBlocks(),
                                 aWork->VersionNews(ConfigVersion()),
                                 (*answer)->Weights() });
  bool hasFirstToken = false;
  std::string recorded;
  while (true) {
    auto event = co_await (*answer)->Next(kAnswerTimeout);
    if (!event) {
      mLog.Warn("an answer was cut off: " + event.error().Describe() + ".",
                submit.mRequestId);
      Fail(*aWork, RunState::kUnknown, event.error().mText);
      co_return;
    }
    if (!std::exchange(hasFirstToken, true)) {
      NoteBlockTime(*aWork);
      mQueue.FirstToken(aWork->mTicket.mId);
      Pump();
    }
    if (auto* tokens = std::get_if<BackendTokens>(&*event)) {
      if (submit.mIsOnce && recorded.size() <= kMaxRecordedBytes) {
        recorded += tokens->mText;
      }
      aWork->mWindow -= tokens->mCount;
      aWork->Send(protocol::Tokens{ submit.mId,
                                    submit.mAttempt,
                                    incarnation,
                                    tokens->mOffset,
                                    tokens->mCount,
                                    std::move(tokens->mText) });
      if (!co_await AwaitWindow(aWork)) {
        co_return;
      }
      continue;
    }
    const auto& end = std::get<BackendEnd>(*event);
    if (submit.mIsOnce) {
      auto& record = aVerdict.mRecord;
      record.mIsDone = true;
      record.mStatus = end.mStatus;
      record.mContentType = end.mContentType;
      record.mBody = recorded + end.mBody;
      record.mFinishReason = end.mFinishReason;
      record.mTokens = end.mTotalTokens;
      transport::Spawn(mContext, mClaims.Record(aVerdict));
    }
    FinishWork(*aWork, end);
    co_return;
  }
}

Task<bool>
Companion::AwaitWindow(WorkPtr aWork)
{
  // A request that must not be repeated runs to its end all the same, so
  // that its outcome is there for the caller who asks again.
  if (aWork->mSubmit.mIsOnce) {
    co_return true;
  }
  while (aWork->mWindow <= 0 && !aWork->mIsCancelled) {
    co_await aWork->mNews.Receive(TimePoint::max());
  }
  co_return !aWork->mIsCancelled;
}

void
Companion::NoteBlockTime(const Work& aWork)
{
  if (aWork.mComputedBlocks < kMinMeasuredBlocks || mQueue.Running() > 1) {
    return;
  }
  const std::chrono::duration<double, std::micro> time =
    mClock.Now() - aWork.mHandedOver;
  const double measured = time.count() / aWork.mComputedBlocks;
  mMicrosPerBlock += kBlockTimeGain * (measured - mMicrosPerBlock);
}

void
Companion::FinishWork(Work& aWork, const BackendEnd& aEnd)
{
  protocol::Finished finished;
  finished.mId = aWork.mSubmit.mId;
  finished.mAttempt = aWork.mSubmit.mAttempt;
  finished.mIncarnation = aWork.mIncarnation;
  finished.mStatus = static_cast<std::uint16_t>(aEnd.mStatus);
  finished.mContentType = aEnd.mContentType;
  finished.mBody = aEnd.mBody;
  finished.mTotalTokens = aEnd.mTotalTokens;
  finished.mFinishReason = aEnd.mFinishReason;
  finished.mPromptTokens = aEnd.mPromptTokens;
  finished.mCachedTokens = aEnd.mCachedTokens;
  finished.mRecomputedBlocks = aWork.mComputedBlocks;
  finished.mWaitMicros =
    static_cast<std::uint64_t>(mQueue.WaitMicros(aWork.mSubmit.mPriority));
  finished.mMicrosPerBlock = static_cast<std::uint32_t>(mMicrosPerBlock);
  aWork.Send(finished);
}

void
Companion::Replay(Work& aWork, const state::ClaimRecord& aRecord)
{
  const auto& submit = aWork.mSubmit;
  protocol::Finished finished;
  finished.mId = submit.mId;
  finished.mAttempt = submit.mAttempt;
  finished.mStatus = static_cast<std::uint16_t>(aRecord.mStatus);
  finished.mContentType = aRecord.mContentType;
  finished.mFinishReason = aRecord.mFinishReason;
  finished.mTotalTokens = aRecord.mTokens;
  finished.mIsReplayed = true;
  if (submit.mKind == RequestKind::kService) {
    finished.mBody = aRecord.mBody;
  } else {
    aWork.Send(protocol::Tokens{
      submit.mId, submit.mAttempt, 0, 0, aRecord.mTokens, aRecord.mBody });
  }
  aWork.Send(finished);
}

void
Companion::Refuse(Work& aWork, RefusalReason aReason, Millis aRetryAfter)
{
  mMetrics.Count(
    "shuntjunction_refusals_total",
    { { "reason", std::string(state::kRefusalReasonNames.Name(aReason)) } });
  protocol::Refused refused;
  refused.mId = aWork.mSubmit.mId;
  refused.mAttempt = aWork.mSubmit.mAttempt;
  refused.mReason = aReason;
  refused.mRetryAfterMs = static_cast<std::uint32_t>(aRetryAfter.count());
  refused.mWaitMicros =
    static_cast<std::uint64_t>(mQueue.WaitMicros(aWork.mSubmit.mPriority));
  refused.mMicrosPerBlock = static_cast<std::uint32_t>(mMicrosPerBlock);
  refused.mConfigVersion = aWork.VersionNews(ConfigVersion());
  aWork.Send(refused);
}

void
Companion::Fail(Work& aWork, RunState aRunState, std::string_view aText)
{
  aWork.Send(protocol::Failed{
    aWork.mSubmit.mId, aWork.mSubmit.mAttempt, aRunState, std::string(aText) });
}

} // namespace shuntjunction::coordination
