// The relay's side of the status updates: follows the companion beside every
// engine.

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

/// A channel that is silent for this long is reopened; the state arrives every
/// second.
constexpr Millis kSilenceLimit{ 2300 };

constexpr Millis kConnectTimeout{ 500 };

/// Change in waiting tokens that is reported to a companion: about 25 ms of an
/// engine's prefill.
constexpr std::int64_t kMinTokenChange = 1000;

/// Number of companions that forward a crash report: more than one, since one
/// may be about to stop.
constexpr std::size_t kCrashForwarders = 2;

/// Wait for a companion's grant: longer than a machine pauses when its
/// processor quota is used up. Afterwards another companion is asked.
constexpr Millis kGrantTimeout{ 100 };

/// Pauses between two attempts to reach a companion.
constexpr Millis kFirstPause{ 100 };
constexpr Millis kLongestPause{ 800 };

} // namespace

struct EngineNewsClient::Shared : std::enable_shared_from_this<Shared>
{
  /// One companion that is followed.
  struct CompanionLink
  {
    std::string mAddress;
    std::shared_ptr<FrameChannel> mChannel;
    bool mIsWanted = true;
    state::WaitingTokens mWaiting;     ///< of this relay there
    state::WaitingTokens mSentWaiting; ///< last sent on this channel
  };

  Shared(asio::io_context& aContext,
         transport::ChannelIdentity aIdentity,
         std::uint16_t aPort,
         EventLog& aLog,
         Handler aOnNews,
         PartReadingHandler aOnPartReading,
         CrashReportsHandler aOnCrashReports,
         RateNewsHandler aOnRateNews,
         ConnectionEndHandler aOnConnectionEnd)
    : mContext(aContext)
    , mIdentity(std::move(aIdentity))
    , mPort(aPort)
    , mLog(aLog)
    , mOnNews(std::move(aOnNews))
    , mOnPartReading(std::move(aOnPartReading))
    , mOnCrashReports(std::move(aOnCrashReports))
    , mOnRateNews(std::move(aOnRateNews))
    , mOnConnectionEnd(std::move(aOnConnectionEnd))
  {
  }

  Task<void> Run(std::shared_ptr<CompanionLink> aLink)
  {
    const auto self = shared_from_this();
    Millis pause = kFirstPause;
    while (aLink->mIsWanted) {
      const auto address = state::ParseAddress(aLink->mAddress);
      auto channel = co_await transport::ConnectChannel(
        *address, mIdentity, kConnectTimeout, mCounters);
      if (channel && aLink->mIsWanted) {
        pause = kFirstPause;
        mLog.Write(EventLine(kPart, "companion-regained")
                     .Add("address", aLink->mAddress));
        const bool isEnded = co_await ReceiveMessages(aLink, *channel);
        if (isEnded) {
          mOnConnectionEnd(address->mHost);
        }
        mLog.Write(EventLine(kPart, "companion-lost")
                     .Add("address", aLink->mAddress)
                     .Add("ended", isEnded));
      }
      co_await transport::Sleep(state::JitteredPause(pause, mRandom));
      pause = std::min(pause * 2, kLongestPause);
    }
  }

  /// Handles a companion's messages; returns whether its machine ended the
  /// connection, rather than going silent.
  Task<bool> ReceiveMessages(std::shared_ptr<CompanionLink> aLink,
                             std::shared_ptr<FrameChannel> aChannel)
  {
    aLink->mChannel = aChannel;
    aLink->mSentWaiting = {};
    ReportWaiting(*aLink);
    transport::Timer silence(mContext);
    while (aLink->mIsWanted) {
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
        mOnNews(*news);
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
      } else if (const auto* permit =
                   std::get_if<protocol::PlaceGrant>(&*message)) {
        CompleteRequest(permit->mId, *message);
      }
    }
    aChannel->Close();
    aLink->mChannel = nullptr;
    co_return aChannel->IsClosedByPeer();
  }

  /// Reports what waits there if it differs enough from the last report, or
  /// requests updates of a part.
  static void ReportWaiting(CompanionLink& aLink, const std::string& aPart = {})
  {
    const auto now = aLink.mWaiting.Total();
    const auto sent = aLink.mSentWaiting.Total();
    const bool isDue = std::abs(now - sent) >= kMinTokenChange || now == 0;
    const bool isNews = isDue && aLink.mWaiting != aLink.mSentWaiting;
    if (!aLink.mChannel || (!isNews && aPart.empty())) {
      return;
    }
    aLink.mSentWaiting = aLink.mWaiting;
    aLink.mChannel->Send(protocol::RelayWaiting{ aLink.mWaiting, aPart });
  }

  /// A request that waits for its reply.
  struct PendingRequest
  {
    explicit PendingRequest(asio::io_context& aContext)
      : mSignal(aContext, kGrantTimeout)
    {
    }

    transport::Timer mSignal; ///< cancelled by the reply
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

  /// Sends a request to a companion; empty when it is unreachable or does not
  /// reply in time.
  ///
  /// @param aMake  makes the request from its id
  /// @tparam Reply  type of the reply
  template<typename Reply, typename Make>
  Task<std::optional<Reply>> RequestFromCompanion(std::string aHost, Make aMake)
  {
    const auto self = shared_from_this();
    const auto found = mLinks.find(CompanionOf(aHost));
    if (found == mLinks.end() || !found->second->mChannel) {
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

  /// Sends a companion a message without a reply; dropped while it is
  /// unreachable.
  void Send(const std::string& aHost, const protocol::Message& aMessage)
  {
    const auto found = mLinks.find(CompanionOf(aHost));
    if (found != mLinks.end() && found->second->mChannel) {
      found->second->mChannel->Send(aMessage);
    }
  }

  /// The companion beside an engine; null when it is not followed.
  CompanionLink* Find(const std::string& aEndpointAddress) const
  {
    const auto address = state::ParseAddress(aEndpointAddress);
    if (!address) {
      return nullptr;
    }
    const auto found = mLinks.find(CompanionOf(address->mHost));
    return found == mLinks.end() ? nullptr : found->second.get();
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
  Handler mOnNews;
  PartReadingHandler mOnPartReading;
  CrashReportsHandler mOnCrashReports;
  RateNewsHandler mOnRateNews;
  ConnectionEndHandler mOnConnectionEnd;
  transport::ChannelCounters mCounters;
  state::RandomSource mRandom{ std::random_device{}() };
  std::map<std::string, std::shared_ptr<CompanionLink>> mLinks; ///< by address
  std::uint32_t mLastRequestId = 0;
  std::map<std::uint32_t, std::shared_ptr<PendingRequest>>
    /// Requests that wait for a reply, by their id.
    mPendingRequests;
};

EngineNewsClient::EngineNewsClient(asio::io_context& aContext,
                                   transport::ChannelIdentity aIdentity,
                                   std::uint16_t aPort,
                                   EventLog& aLog,
                                   Handler aOnNews,
                                   PartReadingHandler aOnPartReading,
                                   CrashReportsHandler aOnCrashReports,
                                   RateNewsHandler aOnRateNews,
                                   ConnectionEndHandler aOnConnectionEnd)
  : mShared(std::make_shared<Shared>(aContext,
                                     std::move(aIdentity),
                                     aPort,
                                     aLog,
                                     std::move(aOnNews),
                                     std::move(aOnPartReading),
                                     std::move(aOnCrashReports),
                                     std::move(aOnRateNews),
                                     std::move(aOnConnectionEnd)))
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
    auto& link = mShared->mLinks[companion];
    if (!link) {
      link = std::make_shared<Shared::CompanionLink>();
      link->mAddress = companion;
      transport::Spawn(mShared->mContext, mShared->Run(link));
    }
  }
  std::erase_if(mShared->mLinks, [&](const auto& aItem) {
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
  const auto* link = mShared->Find(aEndpointAddress);
  if (link != nullptr && link->mChannel) {
    link->mChannel->Send(aReading);
  }
}

void
EngineNewsClient::SendCrashReports(std::uint64_t aEndpoint,
                                   const protocol::CrashReports& aReports)
{
  std::vector<std::pair<std::uint64_t, Shared::CompanionLink*>> ranked;
  for (const auto& [address, link] : mShared->mLinks) {
    if (link->mChannel) {
      ranked.emplace_back(state::PlacementHash(address, aEndpoint), link.get());
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
EngineNewsClient::RequestShare(std::string aHost, state::ShareRequest aRequest)
{
  const auto reply =
    co_await mShared->RequestFromCompanion<protocol::LimitGrant>(
      std::move(aHost), [&](std::uint32_t aId) {
        return protocol::LimitAsk{ aId, aRequest };
      });
  co_return reply ? std::optional(reply->mGrant) : std::nullopt;
}

void
EngineNewsClient::ReturnShare(const std::string& aHost,
                              const protocol::LimitReturn& aReturn)
{
  mShared->Send(aHost, aReturn);
}

Task<std::optional<state::PlaceGrant>>
EngineNewsClient::RequestPermit(std::string aHost, state::PlaceAsk aRequest)
{
  const auto reply =
    co_await mShared->RequestFromCompanion<protocol::PlaceGrant>(
      std::move(aHost), [&](std::uint32_t aId) {
        return protocol::PlaceAsk{ aId, aRequest };
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
  auto* link = mShared->Find(aEndpointAddress);
  if (link != nullptr) {
    link->mWaiting = aWaiting;
    Shared::ReportWaiting(*link, aPart);
  }
}

} // namespace shuntjunction::coordination
