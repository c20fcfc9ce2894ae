// A relay's end of the news: follows the companion beside every engine.

#include "shuntjunction/coordination/engine_news.h"

#include <algorithm>
#include <random>

#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/jittered_pause.h"

namespace shuntjunction::coordination {

using protocol::EngineNews;
using state::Millis;
using transport::FrameChannel;
using transport::Task;
namespace asio = transport::asio;

namespace {

constexpr std::string_view kPart = "news";

/// A channel that says nothing for this long is opened anew; the state comes
/// every second.
constexpr Millis kSilenceLimit{ 2300 };

constexpr Millis kConnectTimeout{ 500 };

/// Waiting tokens that must have come or gone before a companion is told: some
/// 25 ms of an engine's reading.
constexpr std::int64_t kMinTokenChange = 1000;

/// Companions that pass a crash on: one of them may be about to end itself.
constexpr std::size_t kCrashForwarders = 2;

/// Wait for what a companion gives of a limit: longer than a machine pauses for
/// its processor quota. Another companion is asked then.
constexpr Millis kGrantTimeout{ 100 };

/// Pauses between two attempts to reach a companion.
constexpr Millis kFirstPause{ 100 };
constexpr Millis kLongestPause{ 800 };

} // namespace

struct EngineNewsClient::Shared : std::enable_shared_from_this<Shared>
{
  /// One companion that is followed.
  struct Source
  {
    std::string mAddress;
    std::shared_ptr<FrameChannel> mChannel;
    bool mIsWanted = true;
    state::WaitingTokens mWaiting;     ///< of this relay there
    state::WaitingTokens mSentWaiting; ///< on this channel
  };

  Shared(asio::io_context& aContext,
         transport::ChannelIdentity aIdentity,
         std::uint16_t aPort,
         EventLog& aLog,
         Handler aTake,
         PartReadingHandler aTakePart,
         CrashReportsHandler aTakeCrashes,
         RateNewsHandler aTakeRate,
         ConnectionEndHandler aTakeEnd)
    : mContext(aContext)
    , mIdentity(std::move(aIdentity))
    , mPort(aPort)
    , mLog(aLog)
    , mTake(std::move(aTake))
    , mOnPartReading(std::move(aTakePart))
    , mOnCrashReports(std::move(aTakeCrashes))
    , mOnRateNews(std::move(aTakeRate))
    , mOnConnectionEnd(std::move(aTakeEnd))
  {
  }

  Task<void> Run(std::shared_ptr<Source> aSource)
  {
    const auto self = shared_from_this();
    Millis pause = kFirstPause;
    while (aSource->mIsWanted) {
      const auto address = state::ParseAddress(aSource->mAddress);
      auto channel = co_await transport::ConnectChannel(
        *address, mIdentity, kConnectTimeout, mCounters);
      if (channel && aSource->mIsWanted) {
        pause = kFirstPause;
        mLog.Write(EventLine(kPart, "companion-regained")
                     .Add("address", aSource->mAddress));
        const bool isEnded = co_await Listen(aSource, *channel);
        if (isEnded) {
          mOnConnectionEnd(address->mHost);
        }
        mLog.Write(EventLine(kPart, "companion-lost")
                     .Add("address", aSource->mAddress)
                     .Add("ended", isEnded));
      }
      co_await transport::Sleep(state::JitteredPause(pause, mRandom));
      pause = std::min(pause * 2, kLongestPause);
    }
  }

  /// Takes what a companion tells; whether its machine ended the connection,
  /// rather than saying nothing any more.
  Task<bool> Listen(std::shared_ptr<Source> aSource,
                    std::shared_ptr<FrameChannel> aChannel)
  {
    aSource->mChannel = aChannel;
    aSource->mSentWaiting = {};
    ReportWaiting(*aSource);
    transport::Timer silence(mContext);
    while (aSource->mIsWanted) {
      silence.expires_after(kSilenceLimit);
      silence.async_wait([aChannel](const auto& aError) {
        if (!aError) {
          aChannel->Close();
        }
      });
      auto message = co_await aChannel->Receive();
      silence.cancel();
      if (!message) {
        break;
      }
      if (const auto* news = std::get_if<EngineNews>(&*message)) {
        mTake(*news);
      } else if (const auto* reading =
                   std::get_if<protocol::PartReading>(&*message)) {
        mOnPartReading(*reading);
      } else if (const auto* crashes =
                   std::get_if<protocol::CrashReports>(&*message)) {
        mOnCrashReports(*crashes);
      } else if (const auto* news =
                   std::get_if<protocol::RateNews>(&*message)) {
        mOnRateNews(news->mNews);
      } else if (const auto* grant =
                   std::get_if<protocol::LimitGrant>(&*message)) {
        CompleteRequest(grant->mId, *message);
      } else if (const auto* place =
                   std::get_if<protocol::PlaceGrant>(&*message)) {
        CompleteRequest(place->mId, *message);
      }
    }
    aChannel->Close();
    aSource->mChannel = nullptr;
    co_return aChannel->IsEndedByPeer();
  }

  /// Tells what waits there, if that differs enough from what was told, or asks
  /// for news of a part.
  static void ReportWaiting(Source& aSource, const std::string& aPart = {})
  {
    const auto now = aSource.mWaiting.Total();
    const auto told = aSource.mSentWaiting.Total();
    const bool isDue = std::abs(now - told) >= kMinTokenChange || now == 0;
    const bool isNews = isDue && aSource.mWaiting != aSource.mSentWaiting;
    if (!aSource.mChannel || (!isNews && aPart.empty())) {
      return;
    }
    aSource.mSentWaiting = aSource.mWaiting;
    aSource.mChannel->Send(protocol::RelayWaiting{ aSource.mWaiting, aPart });
  }

  /// A question that waits for its answer.
  struct PendingRequest
  {
    explicit PendingRequest(asio::io_context& aContext)
      : mSignal(aContext, kGrantTimeout)
    {
    }

    transport::Timer mSignal; ///< cancelled by the answer
    std::optional<protocol::Message> mReply;
  };

  void CompleteRequest(std::uint32_t aId, const protocol::Message& aReply)
  {
    const auto found = mPendingRequests.find(aId);
    if (found != mPendingRequests.end()) {
      found->second->mReply = aReply;
      found->second->mSignal.cancel();
    }
  }

  /// Asks a companion; empty when it cannot be reached or does not answer soon.
  ///
  /// @param aMake  makes the question of its id
  /// @tparam Reply  what answers it
  template<typename Reply, typename Make>
  Task<std::optional<Reply>> RequestFromCompanion(std::string aHost, Make aMake)
  {
    const auto self = shared_from_this();
    const auto found = mSources.find(CompanionOf(aHost));
    if (found == mSources.end() || !found->second->mChannel) {
      co_return std::nullopt;
    }
    const auto id = ++mLastRequestId;
    const auto open = std::make_shared<PendingRequest>(mContext);
    mPendingRequests.emplace(id, open);
    found->second->mChannel->Send(aMake(id));
    co_await open->mSignal.async_wait(transport::kAsTuple);
    mPendingRequests.erase(id);
    const auto* reply =
      open->mReply ? std::get_if<Reply>(&*open->mReply) : nullptr;
    co_return reply == nullptr ? std::nullopt : std::optional(*reply);
  }

  /// Sends a companion what needs no answer; dropped while it is not reached.
  void Send(const std::string& aHost, const protocol::Message& aMessage)
  {
    const auto found = mSources.find(CompanionOf(aHost));
    if (found != mSources.end() && found->second->mChannel) {
      found->second->mChannel->Send(aMessage);
    }
  }

  /// The companion beside an engine; null when it is not followed.
  Source* Find(const std::string& aEndpointAddress) const
  {
    const auto address = state::ParseAddress(aEndpointAddress);
    if (!address) {
      return nullptr;
    }
    const auto found = mSources.find(CompanionOf(address->mHost));
    return found == mSources.end() ? nullptr : found->second.get();
  }

  /// Address of the companion on a host.
  std::string CompanionOf(const std::string& aHost) const
  {
    return aHost + ":" + std::to_string(mPort);
  }

  asio::io_context& mContext;
  transport::ChannelIdentity mIdentity;
  std::uint16_t mPort;
  EventLog& mLog;
  Handler mTake;
  PartReadingHandler mOnPartReading;
  CrashReportsHandler mOnCrashReports;
  RateNewsHandler mOnRateNews;
  ConnectionEndHandler mOnConnectionEnd;
  transport::ChannelCounters mCounters;
  state::RandomSource mRandom{ std::random_device{}() };
  std::map<std::string, std::shared_ptr<Source>> mSources; ///< by address
  std::uint32_t mLastRequestId = 0;
  std::map<std::uint32_t, std::shared_ptr<PendingRequest>>
    mPendingRequests; ///< by id
};

EngineNewsClient::EngineNewsClient(asio::io_context& aContext,
                                   transport::ChannelIdentity aIdentity,
                                   std::uint16_t aPort,
                                   EventLog& aLog,
                                   Handler aTake,
                                   PartReadingHandler aTakePart,
                                   CrashReportsHandler aTakeCrashes,
                                   RateNewsHandler aTakeRate,
                                   ConnectionEndHandler aTakeEnd)
  : mShared(std::make_shared<Shared>(aContext,
                                     std::move(aIdentity),
                                     aPort,
                                     aLog,
                                     std::move(aTake),
                                     std::move(aTakePart),
                                     std::move(aTakeCrashes),
                                     std::move(aTakeRate),
                                     std::move(aTakeEnd)))
{
}

EngineNewsClient::~EngineNewsClient()
{
  Follow({});
}

void
EngineNewsClient::Follow(const std::vector<state::EndpointInfo>& aEndpoints)
{
  std::set<std::string> wanted;
  for (const auto& endpoint : aEndpoints) {
    const auto address = state::ParseAddress(endpoint.mAddress);
    if (endpoint.mModels.empty() || !address) {
      continue;
    }
    const std::string companion = mShared->CompanionOf(address->mHost);
    wanted.insert(companion);
    auto& source = mShared->mSources[companion];
    if (!source) {
      source = std::make_shared<Shared::Source>();
      source->mAddress = companion;
      transport::Spawn(mShared->mContext, mShared->Run(source));
    }
  }
  std::erase_if(mShared->mSources, [&](const auto& aItem) {
    const bool isGone = !wanted.contains(aItem.first);
    if (isGone) {
      aItem.second->mIsWanted = false;
      if (aItem.second->mChannel) {
        aItem.second->mChannel->Close();
      }
    }
    return isGone;
  });
}

void
EngineNewsClient::SendPartReading(const std::string& aEndpointAddress,
                                  const protocol::PartReading& aReading)
{
  const auto* source = mShared->Find(aEndpointAddress);
  if (source != nullptr && source->mChannel) {
    source->mChannel->Send(aReading);
  }
}

void
EngineNewsClient::SendCrashReports(std::uint64_t aEndpoint,
                                   const protocol::CrashReports& aReports)
{
  std::vector<std::pair<std::uint64_t, Shared::Source*>> ranked;
  for (const auto& [address, source] : mShared->mSources) {
    if (source->mChannel) {
      ranked.emplace_back(state::PlacementHash(address, aEndpoint),
                          source.get());
    }
  }
  const auto count = std::min(kCrashForwarders, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  for (std::size_t i = 0; i < count; ++i) {
    ranked[i].second->mChannel->Send(aReports);
  }
}

Task<std::optional<state::ShareGrant>>
EngineNewsClient::RequestShare(std::string aHost, state::ShareAsk aAsk)
{
  const auto reply =
    co_await mShared->RequestFromCompanion<protocol::LimitGrant>(
      std::move(aHost), [&](std::uint32_t aId) {
        return protocol::LimitAsk{ aId, aAsk };
      });
  co_return reply ? std::optional(reply->mGrant) : std::nullopt;
}

void
EngineNewsClient::ReturnShare(const std::string& aHost,
                              const protocol::LimitReturn& aBack)
{
  mShared->Send(aHost, aBack);
}

Task<std::optional<state::PlaceGrant>>
EngineNewsClient::RequestPermit(std::string aHost, state::PlaceAsk aAsk)
{
  const auto reply =
    co_await mShared->RequestFromCompanion<protocol::PlaceGrant>(
      std::move(aHost), [&](std::uint32_t aId) {
        return protocol::PlaceAsk{ aId, aAsk };
      });
  co_return reply ? std::optional(reply->mGrant) : std::nullopt;
}

void
EngineNewsClient::ReturnPermit(const std::string& aHost,
                               state::LimitHash aEndpoint)
{
  mShared->Send(aHost, protocol::PlaceReturn{ aEndpoint });
}

void
EngineNewsClient::ReportRate(const std::string& aHost,
                             const state::RateReport& aReport)
{
  mShared->Send(aHost, protocol::RateReport{ aReport });
}

void
EngineNewsClient::SetWaiting(const std::string& aEndpointAddress,
                             const state::WaitingTokens& aWaiting,
                             const std::string& aPart)
{
  auto* source = mShared->Find(aEndpointAddress);
  if (source != nullptr) {
    source->mWaiting = aWaiting;
    Shared::ReportWaiting(*source, aPart);
  }
}

} // namespace shuntjunction::coordination
