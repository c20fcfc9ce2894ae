// The companion's side of the status updates: sends its engine's state and
// parts to every relay that connects.

#include "shuntjunction/coordination/engine_news.h"

#include <algorithm>
#include <array>
#include <deque>
#include <iterator>
#include <utility>

#include "crash_memory.h"
#include "shuntjunction/state/part_index.h"

namespace shuntjunction::coordination {

using protocol::EngineNews;
using state::Millis;
using state::Result;
using transport::FrameChannel;
using transport::Task;
namespace asio = transport::asio;

namespace {

constexpr std::string_view kPart = "news";

/// The state is repeated after this time, so that relays notice silence.
constexpr Millis kRepeatInterval{ 1000 };

/// Change in the number of queued requests that is reported at once.
constexpr std::uint32_t kMinQueueChange = 3;

/// Change in waiting tokens that is reported to the relays: a tenth of a second
/// of an engine's prefill. The total is sent to every relay, so a smaller step
/// would cost more bytes than its information is worth.
constexpr std::int64_t kMinTokenChange = 4000;

/// Number of relays up to which that step holds. With more relays the step
/// grows proportionally, up to the maximum: a third of a second of prefill,
/// which is enough to pass an engine over. Without that, a hundred relays would
/// cost more bytes between zones than their callers' requests.
constexpr std::int64_t kRelaysAtMinChange = 25;
constexpr std::int64_t kMaxTokenChange = 16000;

/// Relays to which a question about weights is passed on, the shortest time
/// between two of them, and those that are remembered.
constexpr std::size_t kRelaysPerQuestion = 4;
constexpr Millis kWeightsQuestionInterval{ 50 };
constexpr std::size_t kMaxWeightsQuestions = 64;

/// Crashes of the same moment are sent to the relays together: each relay sees
/// some of the requests that ran there.
constexpr Millis kCrashBatchDelay{ 10 };

EngineNews
NewsOf(const EngineState& aState)
{
  EngineNews news;
  news.mEndpoint = aState.mEndpoint;
  news.mModel = aState.mModel;
  news.mWeights = aState.mWeights;
  news.mPhase = aState.mPhase;
  return news;
}

} // namespace

struct EngineNewsServer::Shared : std::enable_shared_from_this<Shared>
{
  /// The parts that a holder caches in its current incarnation.
  struct HolderState
  {
    std::set<std::string> mParts;
    state::IncarnationTracker mEndpointIncarnation;
  };

  /// A question about a model's weights that was passed on.
  struct WeightsQuestion
  {
    std::string mModel;
    state::TimePoint mAskedAt;
  };

  Shared(asio::io_context& aContext,
         transport::ChannelIdentity aIdentity,
         const state::Clock& aClock,
         EventLog& aLog)
    : mContext(aContext)
    , mIdentity(std::move(aIdentity))
    , mLog(aLog)
    , mClock(aClock)
  {
  }

  Task<void> Serve(std::shared_ptr<FrameChannel> aChannel)
  {
    const auto self = shared_from_this();
    const auto handshake = co_await aChannel->HandshakeAsAcceptor(mIdentity);
    if (!handshake) {
      mLog.Write(EventLine(kPart, "relay-refused")
                   .Add("error", handshake.error().Describe()));
      co_return;
    }
    mChannels.emplace(aChannel, state::WaitingTokens());
    aChannel->Send(WithWaiting(WholeNews(PartHolder::kEngine), {}));
    if (!mStore.empty()) {
      aChannel->Send(WholeNews(PartHolder::kStore));
    }
    if (auto crashes = mCrashes.Known(mClock.Now()); !crashes.IsEmpty()) {
      aChannel->Send(std::move(crashes));
    }
    PublishKnownRates(*aChannel);
    co_await ReceiveMessages(aChannel);
    aChannel->Close();
    mChannels.erase(aChannel);
    ReportWaiting();
  }

  /// Handles a relay's messages until it disconnects or sends an unexpected
  /// one.
  Task<void> ReceiveMessages(std::shared_ptr<FrameChannel> aChannel)
  {
    while (true) {
      const auto message = co_await aChannel->Receive();
      if (!message) {
        co_return;
      }
      if (const auto* reading = std::get_if<protocol::PartReading>(&*message)) {
        ForwardToOthers(*reading, aChannel);
      } else if (const auto* crashes =
                   std::get_if<protocol::CrashReports>(&*message)) {
        HandleCrashReports(*crashes);
      } else if (const auto* waiting =
                   std::get_if<protocol::RelayWaiting>(&*message)) {
        mChannels[aChannel] = waiting->mWaiting;
        AddRequestedPart(waiting->mPart);
        ReportWaiting();
      } else if (const auto* ask = std::get_if<protocol::LimitAsk>(&*message)) {
        aChannel->Send(
          protocol::LimitGrant{ ask->mId, Grant(ask->mRequested) });
      } else if (const auto* back =
                   std::get_if<protocol::LimitReturn>(&*message)) {
        ReturnToShare(*back);
      } else if (const auto* report =
                   std::get_if<protocol::RolloutReport>(&*message)) {
        if (mOnRolloutReport) {
          mOnRolloutReport(report->mReport);
        }
      } else if (HandleWeightsMessage(*message, *aChannel) ||
                 HandleStreamMessage(*message, *aChannel)) {
        continue;
      } else if (!HandleRateMessage(*message, *aChannel)) {
        co_return;
      }
    }
  }

  state::ShareGrant Grant(const state::ShareRequest& aAsk)
  {
    return mShares == nullptr ? state::ShareGrant{}
                              : mShares->Take(aAsk, mClock.Now());
  }

  void ReturnToShare(const protocol::LimitReturn& aReturn)
  {
    if (mShares != nullptr) {
      mShares->GiveBack(aReturn.mKey, aReturn.mAmount);
    }
  }

  /// Handles a message about the rate of an endpoint; false for any other.
  bool HandleRateMessage(const protocol::Message& aMessage,
                         FrameChannel& aChannel)
  {
    if (mLimits == nullptr) {
      return false;
    }
    const auto now = mClock.Now();
    if (const auto* ask = std::get_if<protocol::PlaceAsk>(&aMessage)) {
      const auto grant = mLimits->Take(ask->mRequested, now);
      aChannel.Send(protocol::PlaceGrant{ ask->mId, grant });
    } else if (const auto* back =
                 std::get_if<protocol::PlaceReturn>(&aMessage)) {
      mLimits->GiveBack(back->mEndpoint);
    } else if (const auto* report =
                 std::get_if<protocol::RateReport>(&aMessage)) {
      if (const auto news = mLimits->Note(report->mReport, now)) {
        PublishRate(*news);
      }
    } else {
      return false;
    }
    return true;
  }

  /// Handles a message about weights; false for any other.
  bool HandleWeightsMessage(const protocol::Message& aMessage,
                            FrameChannel& aChannel)
  {
    if (const auto* query = std::get_if<protocol::WeightsQuery>(&aMessage)) {
      if (mOnWeightsQuery) {
        aChannel.Send(
          protocol::WeightsReply{ query->mId, mOnWeightsQuery(query->mModel) });
        AskRelaysAboutWeights(query->mModel, aChannel);
      }
      return true;
    }
    const auto* reply = std::get_if<protocol::WeightsReply>(&aMessage);
    if (reply == nullptr) {
      return false;
    }
    const auto found = mWeightsQuestions.find(reply->mId);
    if (found != mWeightsQuestions.end() && mOnWeightsConfirmed) {
      for (const auto& confirmation : reply->mConfirmations) {
        mOnWeightsConfirmed(found->second.mModel,
                            confirmation.mVersion,
                            found->second.mAskedAt - confirmation.mAge);
      }
    }
    return true;
  }

  /// Asks relays other than the one that asked. They confirm the weights each
  /// second, a companion in a small fleet only when something changes.
  void AskRelaysAboutWeights(const std::string& aModel,
                             const FrameChannel& aAsking)
  {
    const auto now = mClock.Now();
    if (now - mLastWeightsQuestionAt < kWeightsQuestionInterval) {
      return;
    }
    mLastWeightsQuestionAt = now;
    std::size_t asked = 0;
    for (const auto& [channel, waiting] : mChannels) {
      if (channel.get() == &aAsking || asked == kRelaysPerQuestion ||
          channel->ProtocolVersion() < protocol::kWeightsProtocolVersion) {
        continue;
      }
      mWeightsQuestions[++mLastWeightsQuestion] = { aModel, now };
      channel->Send(protocol::WeightsQuery{ mLastWeightsQuestion, aModel });
      ++asked;
    }
    while (mWeightsQuestions.size() > kMaxWeightsQuestions) {
      mWeightsQuestions.erase(mWeightsQuestions.begin());
    }
  }

  /// Handles a message about a stream; false for any other.
  bool HandleStreamMessage(const protocol::Message& aMessage,
                           FrameChannel& aChannel)
  {
    if (mStreams == nullptr) {
      return false;
    }
    const auto now = mClock.Now();
    if (const auto* record = std::get_if<protocol::StreamRecord>(&aMessage)) {
      mStreams->Note(record->mRecord, now);
      aChannel.Send(protocol::StreamReply{ record->mId, {} });
    } else if (const auto* query =
                 std::get_if<protocol::StreamQuery>(&aMessage)) {
      aChannel.Send(protocol::StreamReply{
        query->mId,
        mStreams->Find(
          query->mStream, query->mService, query->mLifetime, now) });
    } else {
      return false;
    }
    return true;
  }

  void PublishRate(const state::RateNews& aNews)
  {
    LogRateUses();
    mLog.Write(EventLine(kPart, "rate")
                 .Add("hash", aNews.mEndpoint)
                 .Add("named", aNews.mPerSecond.has_value())
                 .Add("per_second", aNews.mPerSecond.value_or(0)));
    for (const auto& [channel, waiting] : mChannels) {
      channel->Send(protocol::RateNews{ aNews });
    }
  }

  void PublishKnownRates(FrameChannel& aChannel) const
  {
    if (mLimits == nullptr) {
      return;
    }
    for (const auto& news : mLimits->Known()) {
      aChannel.Send(protocol::RateNews{ news });
    }
  }

  void LogRateUses()
  {
    if (mLimits == nullptr) {
      return;
    }
    for (const auto& use : mLimits->CollectUsage()) {
      mLog.Write(EventLine(kPart, "rate-used")
                   .Add("hash", use.mEndpoint)
                   .Add("per_second", use.mPerSecond)
                   .Add("given", use.mGiven)
                   .Add("denied", use.mDenied));
    }
  }

  /// Remembers a relay's crash reports; those that are new go to all relays.
  void HandleCrashReports(const protocol::CrashReports& aReports)
  {
    const bool isFirst = mPendingReports.IsEmpty();
    const auto news = mCrashes.Add(aReports, mClock.Now());
    const auto append = [](auto& aAll, const auto& aMore) {
      aAll.insert(aAll.end(), aMore.begin(), aMore.end());
    };
    append(mPendingReports.mUpdates, news.mUpdates);
    append(mPendingReports.mParts, news.mParts);
    if (isFirst && !mPendingReports.IsEmpty()) {
      transport::Spawn(mContext, SendCrashesSoon());
    }
  }

  Task<void> SendCrashesSoon()
  {
    const auto self = shared_from_this();
    co_await transport::Sleep(kCrashBatchDelay);
    const auto reports = std::exchange(mPendingReports, {});
    for (const auto& [channel, waiting] : mChannels) {
      channel->Send(reports);
    }
  }

  void ForwardToOthers(const protocol::PartReading& aReading,
                       const std::shared_ptr<FrameChannel>& aFrom)
  {
    for (const auto& [channel, waiting] : mChannels) {
      if (channel != aFrom) {
        channel->Send(aReading);
      }
    }
  }

  /// Prompt tokens of all relays that wait at the engine.
  state::WaitingTokens AllWaiting() const
  {
    state::WaitingTokens all;
    for (const auto& [channel, waiting] : mChannels) {
      all += waiting;
    }
    return all;
  }

  /// Records that relays want to be informed of a part; reports it if it is
  /// cached.
  void AddRequestedPart(const std::string& aPart)
  {
    if (aPart.empty() || !mRequestedParts.insert(aPart).second) {
      return;
    }
    mRequestOrder.push_back(aPart);
    if (mRequestOrder.size() > state::kMaxPartsOfHolder) {
      mRequestedParts.erase(mRequestOrder.front());
      mRequestOrder.pop_front();
    }
    if (StateOf(PartHolder::kEngine).mParts.contains(aPart)) {
      SendParts(PartHolder::kEngine, { aPart }, {});
    }
  }

  HolderState& StateOf(PartHolder aHolder)
  {
    return mHolderStates[static_cast<std::size_t>(aHolder)];
  }
  const HolderState& StateOf(PartHolder aHolder) const
  {
    return mHolderStates[static_cast<std::size_t>(aHolder)];
  }

  bool ShouldSend(PartHolder aHolder, const std::string& aPart) const
  {
    return aHolder == PartHolder::kStore || mRequestedParts.contains(aPart);
  }

  /// Reports gained and lost parts, as far as relays want to be informed of
  /// them.
  void SendParts(PartHolder aHolder,
                 const std::vector<std::string>& aGained,
                 const std::vector<std::string>& aLost)
  {
    auto news = NewsOfHolder(aHolder);
    news.mIsFullSnapshot = false;
    const auto shouldSend = [&](const std::string& aPart) {
      return ShouldSend(aHolder, aPart);
    };
    std::copy_if(aGained.begin(),
                 aGained.end(),
                 std::back_inserter(news.mAddedParts),
                 shouldSend);
    std::copy_if(aLost.begin(),
                 aLost.end(),
                 std::back_inserter(news.mRemovedParts),
                 shouldSend);
    if (!news.mAddedParts.empty() || !news.mRemovedParts.empty()) {
      Send(news);
    }
  }

  /// Change in waiting tokens that is reported to the relays.
  std::int64_t MinTokenChange() const
  {
    const auto relays = static_cast<std::int64_t>(mChannels.size());
    return std::clamp(kMinTokenChange * relays / kRelaysAtMinChange,
                      kMinTokenChange,
                      kMaxTokenChange);
  }

  /// Reports what waits if it differs enough from the last report.
  void ReportWaiting()
  {
    if (std::abs(AllWaiting().Total() - mSentWaiting) >= MinTokenChange()) {
      SendState();
    }
  }

  /// The update for a relay that has aOwn waiting itself.
  EngineNews WithWaiting(EngineNews aNews, const state::WaitingTokens& aOwn)
  {
    aNews.mWaiting = AllWaiting();
    aNews.mWaiting -= aOwn;
    aNews.mRelayCount = static_cast<std::uint32_t>(mChannels.size());
    return aNews;
  }

  Task<void> RepeatState()
  {
    const auto self = shared_from_this();
    while (true) {
      co_await transport::Sleep(kRepeatInterval);
      SendState();
      LogRateUses();
    }
  }

  /// For an engine its state, for the store only its address.
  EngineNews NewsOfHolder(PartHolder aHolder) const
  {
    if (aHolder == PartHolder::kEngine) {
      auto news = NewsOf(mState);
      if (mIsDown) {
        news.mPhase = protocol::EnginePhase::kDown;
      }
      news.mRunning = mRunning;
      news.mQueued = mQueued;
      news.mEndpointIncarnation =
        StateOf(aHolder).mEndpointIncarnation.Current();
      return news;
    }
    EngineNews news;
    news.mEndpoint = mStore;
    return news;
  }

  EngineNews WholeNews(PartHolder aHolder) const
  {
    auto news = NewsOfHolder(aHolder);
    const auto& parts = StateOf(aHolder).mParts;
    std::copy_if(parts.begin(),
                 parts.end(),
                 std::back_inserter(news.mAddedParts),
                 [&](const auto& aPart) { return ShouldSend(aHolder, aPart); });
    return news;
  }

  /// Forgets what a holder cached in its former incarnation.
  void BeginIncarnation(PartHolder aHolder)
  {
    auto& holder = StateOf(aHolder);
    holder.mParts.clear();
    if (aHolder == PartHolder::kEngine) {
      mLog.Write(EventLine(kPart, "engine-restarted")
                   .Add("endpoint", mState.mEndpoint)
                   .Add("started_at",
                        holder.mEndpointIncarnation.Current().StartedAt()));
    }
    Send(WholeNews(aHolder));
  }

  void SendState()
  {
    auto news = NewsOfHolder(PartHolder::kEngine);
    news.mIsFullSnapshot = false;
    mSentQueued = mQueued;
    Send(news);
  }

  void Send(const EngineNews& aNews)
  {
    const bool isOfEngine = !aNews.mModel.empty();
    if (isOfEngine) {
      mSentWaiting = AllWaiting().Total();
    }
    for (const auto& [channel, waiting] : mChannels) {
      channel->Send(isOfEngine ? WithWaiting(aNews, waiting) : aNews);
    }
  }

  asio::io_context& mContext;
  transport::ChannelIdentity mIdentity;
  EventLog& mLog;
  const state::Clock& mClock;
  state::LimitShares* mShares = nullptr;
  state::EndpointLimits* mLimits = nullptr;
  state::StreamRegistry* mStreams = nullptr;
  std::function<void(const state::RolloutReport&)> mOnRolloutReport;
  WeightsQueryHandler mOnWeightsQuery;
  std::function<void(const std::string&, std::uint64_t, state::TimePoint)>
    mOnWeightsConfirmed;
  /// Questions to relays, by their ids.
  std::map<std::uint32_t, WeightsQuestion> mWeightsQuestions;
  std::uint32_t mLastWeightsQuestion = 0;
  state::TimePoint mLastWeightsQuestionAt;
  transport::ChannelCounters mCounters;
  EngineState mState;
  std::uint32_t mSentQueued = 0;
  bool mIsDown = false;
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  std::string mStore;                       ///< address; empty: not reported
  std::array<HolderState, 2> mHolderStates; ///< by PartHolder
  std::set<std::string, std::less<>> mRequestedParts; ///< that are reported
  std::deque<std::string> mRequestOrder; ///< the same, the oldest first
  std::int64_t mSentWaiting = 0;
  CrashMemory mCrashes;
  protocol::CrashReports mPendingReports; ///< of crashes, for the relays
  /// Relays, with what each has waiting at the engine.
  std::map<std::shared_ptr<FrameChannel>, state::WaitingTokens> mChannels;
};

EngineNewsServer::EngineNewsServer(asio::io_context& aContext,
                                   transport::ChannelIdentity aIdentity,
                                   const state::Clock& aClock,
                                   EventLog& aLog)
  : mShared(
      std::make_shared<Shared>(aContext, std::move(aIdentity), aClock, aLog))
{
}

EngineNewsServer::~EngineNewsServer() = default;

void
EngineNewsServer::SetLimits(state::LimitShares& aShares,
                            state::EndpointLimits& aLimits)
{
  mShared->mShares = &aShares;
  mShared->mLimits = &aLimits;
}

void
EngineNewsServer::SetStreams(state::StreamRegistry& aStreams)
{
  mShared->mStreams = &aStreams;
}

void
EngineNewsServer::OnWeightsQuery(WeightsQueryHandler aHandler)
{
  mShared->mOnWeightsQuery = std::move(aHandler);
}

void
EngineNewsServer::OnWeightsConfirmed(
  std::function<void(const std::string&, std::uint64_t, state::TimePoint)>
    aHandler)
{
  mShared->mOnWeightsConfirmed = std::move(aHandler);
}

void
EngineNewsServer::OnRolloutReport(
  std::function<void(const state::RolloutReport&)> aHandler)
{
  mShared->mOnRolloutReport = std::move(aHandler);
}

void
EngineNewsServer::PublishRollout(const state::RolloutNotice& aNotice)
{
  for (const auto& [channel, waiting] : mShared->mChannels) {
    if (channel->ProtocolVersion() >= protocol::kRolloutProtocolVersion) {
      channel->Send(protocol::RolloutNotice{ aNotice });
    }
  }
}

Result<state::Address>
EngineNewsServer::Start(const state::Address& aAddress)
{
  auto acceptor = transport::Listen(mShared->mContext, aAddress);
  if (!acceptor) {
    return tl::unexpected(acceptor.error());
  }
  transport::Spawn(
    mShared->mContext,
    transport::AcceptLoop(*acceptor, [shared = mShared](auto aSocket) {
      const auto peer = std::make_shared<FrameChannel>(
        std::move(aSocket), "relay", shared->mCounters);
      transport::Spawn(shared->mContext, shared->Serve(peer));
    }));
  transport::Spawn(mShared->mContext, mShared->RepeatState());
  return transport::LocalAddress(**acceptor);
}

void
EngineNewsServer::SetState(const EngineState& aState)
{
  if (aState == mShared->mState) {
    return;
  }
  mShared->mState = aState;
  mShared->mLog.Write(
    EventLine(kPart, "engine")
      .Add("endpoint", aState.mEndpoint)
      .Add("weights", aState.mWeights)
      .Add("phase", protocol::kEnginePhaseNames.Name(aState.mPhase)));
  mShared->SendState();
}

void
EngineNewsServer::SetDown(bool aIsDown)
{
  if (std::exchange(mShared->mIsDown, aIsDown) == aIsDown) {
    return;
  }
  mShared->mLog.Write(
    EventLine(kPart, aIsDown ? "engine-lost" : "engine-regained")
      .Add("endpoint", mShared->mState.mEndpoint));
  mShared->SendState();
}

void
EngineNewsServer::SetLoad(std::uint32_t aRunning, std::uint32_t aQueued)
{
  mShared->mRunning = aRunning;
  mShared->mQueued = aQueued;
  const auto sent = mShared->mSentQueued;
  const auto change = std::max(aQueued, sent) - std::min(aQueued, sent);
  if (change >= kMinQueueChange) {
    mShared->SendState();
  }
}

void
EngineNewsServer::SetIncarnation(state::EndpointIncarnation aIncarnation)
{
  auto& incarnation =
    mShared->StateOf(PartHolder::kEngine).mEndpointIncarnation;
  if (incarnation.TakeSelfReport(aIncarnation) ==
      state::IncarnationUpdate::kNewer) {
    mShared->BeginIncarnation(PartHolder::kEngine);
  }
}

void
EngineNewsServer::ChangeParts(PartHolder aHolder,
                              state::EndpointIncarnation aIncarnation,
                              const std::vector<std::string>& aGained,
                              const std::vector<std::string>& aLost)
{
  const auto now = mShared->mClock.Now();
  auto& holder = mShared->StateOf(aHolder);
  const auto update = holder.mEndpointIncarnation.Take(aIncarnation, now);
  if (update == state::IncarnationUpdate::kFormer) {
    return;
  }
  if (update == state::IncarnationUpdate::kNewer) {
    mShared->BeginIncarnation(aHolder);
  }
  auto& parts = holder.mParts;
  parts.insert(aGained.begin(), aGained.end());
  for (const auto& part : aLost) {
    parts.erase(part);
  }
  mShared->SendParts(aHolder, aGained, aLost);
}

void
EngineNewsServer::ClearParts(PartHolder aHolder)
{
  mShared->StateOf(aHolder).mParts.clear();
  mShared->Send(mShared->WholeNews(aHolder));
}

void
EngineNewsServer::SetStore(const std::string& aAddress)
{
  mShared->mStore = aAddress;
}

} // namespace shuntjunction::coordination
