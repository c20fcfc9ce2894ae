// The relay's side of the status updates: follows the companions of the engines
// that it uses.

#include "shuntjunction/coordination/engine_news.h"

#include <algorithm>
#include <random>

#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/jittered_pause.h"
#include "shuntjunction/state/zone_watchers.h"

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

/// Interval at which the relay checks whether any companion is connected,
/// longer than all of them take to restart together.
constexpr Millis kAbsenceCheckInterval{ 10000 };

/// Messages that wait for a companion's connection; each may be a batch.
constexpr std::size_t kMaxUnsent = 16;

/// Requested parts that are remembered for it.
constexpr std::size_t kMaxUnsentParts = 64;

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
    bool mHasFailed = false;           ///< to connect, or lost the connection
    state::WaitingTokens mWaiting;     ///< of this relay there
    state::WaitingTokens mSentWaiting; ///< last sent on this channel
    std::vector<protocol::Message> mUnsent;       ///< until it is connected
    std::vector<std::string> mUnsentParts;        ///< requested meanwhile
    std::shared_ptr<transport::Timer> mConnected; ///< cancelled by an outcome
  };

  Shared(asio::io_context& aContext,
         transport::ChannelIdentity aIdentity,
         const EngineNewsClientSettings& aSettings,
         EventLog& aLog,
         Handler aOnNews,
         PartReadingHandler aOnPartReading,
         CrashReportsHandler aOnCrashReports,
         RateNewsHandler aOnRateNews,
         ConnectionEndHandler aOnConnectionEnd,
         ConnectionEndHandler aOnUnfollowed,
         RolloutNoticeHandler aOnRolloutNotice)
    : mContext(aContext)
    , mIdentity(std::move(aIdentity))
    , mSettings(aSettings)
    , mFollowed(aSettings.mFollow)
    , mLog(aLog)
    , mOnNews(std::move(aOnNews))
    , mOnPartReading(std::move(aOnPartReading))
    , mOnCrashReports(std::move(aOnCrashReports))
    , mOnRateNews(std::move(aOnRateNews))
    , mOnConnectionEnd(std::move(aOnConnectionEnd))
    , mOnUnfollowed(std::move(aOnUnfollowed))
    , mOnRolloutNotice(std::move(aOnRolloutNotice))
  {
  }

  /// Number of companions that are connected.
  std::size_t Connected() const
  {
    return static_cast<std::size_t>(
      std::count_if(mLinks.begin(), mLinks.end(), [](const auto& aItem) {
        return aItem.second->mChannel != nullptr;
      }));
  }

  /// Logs when engines are listed and no companion is connected: then nobody
  /// does what companions do.
  void CheckForAbsence()
  {
    const bool isAbsent = !mLinks.empty() && Connected() == 0;
    if (std::exchange(mAreCompanionsAbsent, isAbsent) == isAbsent) {
      return;
    }
    if (isAbsent) {
      mLog.Write(EventLine(kPart, "companions-absent")
                   .Add("followed", mLinks.size())
                   .Add("missing",
                        "orders of weights, limits, retries from the slack, "
                        "crash reports to other relays"));
    } else {
      mLog.Write(
        EventLine(kPart, "companions-present").Add("followed", mLinks.size()));
    }
  }

  static Task<void> WatchForAbsence(std::weak_ptr<Shared> aShared)
  {
    while (!aShared.expired()) {
      co_await transport::Sleep(kAbsenceCheckInterval);
      if (const auto shared = aShared.lock()) {
        shared->CheckForAbsence();
      }
    }
  }

  /// The link to a companion, which is opened if need be; null when it is not
  /// listed.
  std::shared_ptr<CompanionLink> Use(const std::string& aHost)
  {
    if (!mFollowed.IsListed(aHost)) {
      return nullptr;
    }
    if (const auto dropped = mFollowed.Use(aHost)) {
      Drop(*dropped);
    }
    return Open(aHost);
  }

  std::shared_ptr<CompanionLink> Open(const std::string& aHost)
  {
    auto& link = mLinks[aHost];
    if (!link) {
      link = std::make_shared<CompanionLink>();
      link->mAddress = state::Address{ aHost, mSettings.mPort }.Text();
      link->mConnected = std::make_shared<transport::Timer>(mContext);
      transport::Spawn(mContext, Run(link));
    }
    return link;
  }

  void Drop(const std::string& aHost)
  {
    const auto found = mLinks.find(aHost);
    if (found == mLinks.end()) {
      return;
    }
    const auto link = found->second;
    mLinks.erase(found);
    link->mIsWanted = false;
    link->mConnected->cancel();
    if (link->mChannel) {
      link->mChannel->Close();
    }
    mOnUnfollowed(aHost);
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
        if (!aLink->mIsWanted) {
          break;
        }
        if (isEnded) {
          mOnConnectionEnd(address->mHost);
        }
        mLog.Write(EventLine(kPart, "companion-lost")
                     .Add("address", aLink->mAddress)
                     .Add("ended", isEnded));
      }
      aLink->mHasFailed = true;
      aLink->mConnected->cancel();
      co_await transport::Sleep(state::JitteredPause(pause, mRandom));
      pause = std::min(pause * 2, kLongestPause);
    }
  }

  /// Sends what was to be sent before the companion was connected.
  static void Flush(CompanionLink& aLink)
  {
    aLink.mHasFailed = false;
    aLink.mConnected->cancel();
    for (const auto& message : std::exchange(aLink.mUnsent, {})) {
      aLink.mChannel->Send(message);
    }
    for (const auto& part : std::exchange(aLink.mUnsentParts, {})) {
      aLink.mChannel->Send(protocol::RelayWaiting{ aLink.mWaiting, part });
    }
  }

  /// Sends a message, once the companion is connected if it is not yet.
  static void SendOrQueue(CompanionLink& aLink,
                          const protocol::Message& aMessage)
  {
    if (aLink.mChannel) {
      aLink.mChannel->Send(aMessage);
    } else if (aLink.mUnsent.size() < kMaxUnsent) {
      aLink.mUnsent.push_back(aMessage);
    }
  }

  /// Handles a companion's messages; returns whether its machine ended the
  /// connection, rather than going silent.
  Task<bool> ReceiveMessages(std::shared_ptr<CompanionLink> aLink,
                             std::shared_ptr<FrameChannel> aChannel)
  {
    aLink->mChannel = aChannel;
    aLink->mSentWaiting = {};
    Flush(*aLink);
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
      } else if (const auto* reply =
                   std::get_if<protocol::StreamReply>(&*message)) {
        CompleteRequest(reply->mId, *message);
      } else if (const auto* weights =
                   std::get_if<protocol::WeightsReply>(&*message)) {
        CompleteRequest(weights->mId, *message);
      } else if (const auto* query =
                   std::get_if<protocol::WeightsQuery>(&*message)) {
        if (mOnWeightsQuery) {
          aChannel->Send(protocol::WeightsReply{
            query->mId, mOnWeightsQuery(query->mModel) });
        }
      } else if (const auto* step =
                   std::get_if<protocol::RolloutNotice>(&*message)) {
        if (mOnRolloutNotice) {
          mOnRolloutNotice(step->mNotice);
        }
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
    if (!aLink.mChannel && !aPart.empty() &&
        aLink.mUnsentParts.size() < kMaxUnsentParts) {
      aLink.mUnsentParts.push_back(aPart);
    }
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
  /// @param aMinVersion  oldest protocol version that understands it
  /// @tparam Reply  type of the reply
  template<typename Reply, typename Make>
  Task<std::optional<Reply>> RequestFromCompanion(
    std::string aHost,
    Make aMake,
    std::uint16_t aMinVersion = protocol::kMinProtocolVersion)
  {
    const auto self = shared_from_this();
    const auto link = Use(aHost);
    if (link && !link->mChannel && !link->mHasFailed) {
      // It was not followed until now.
      link->mConnected->expires_after(kGrantTimeout);
      co_await link->mConnected->async_wait(transport::kAsTuple);
    }
    if (!link || !link->mChannel ||
        link->mChannel->ProtocolVersion() < aMinVersion) {
      co_return std::nullopt;
    }
    const auto id = ++mLastRequestId;
    const auto open = std::make_shared<PendingRequest>(mContext);
    mPendingRequests.emplace(id, open);
    link->mChannel->Send(aMake(id));
    co_await open->mSignal.async_wait(transport::kAsTuple);
    mPendingRequests.erase(id);
    const auto* reply =
      open->mReply ? std::get_if<Reply>(&*open->mReply) : nullptr;
    co_return reply == nullptr ? std::nullopt : std::optional(*reply);
  }

  /// Sends a companion a message without a reply; dropped while it is not
  /// connected.
  void Send(const std::string& aHost, const protocol::Message& aMessage)
  {
    const auto found = mLinks.find(aHost);
    if (found != mLinks.end() && found->second->mChannel) {
      found->second->mChannel->Send(aMessage);
    }
  }

  /// The link to an engine's companion; null when it is not followed.
  std::shared_ptr<CompanionLink> Find(const std::string& aEndpointAddress) const
  {
    const auto address = state::ParseAddress(aEndpointAddress);
    const auto found = address ? mLinks.find(address->mHost) : mLinks.end();
    return found == mLinks.end() ? nullptr : found->second;
  }

  /// The same, which is opened if need be; null when it is not listed.
  std::shared_ptr<CompanionLink> UseEngine(const std::string& aEndpointAddress)
  {
    const auto address = state::ParseAddress(aEndpointAddress);
    return address ? Use(address->mHost) : nullptr;
  }

  asio::io_context& mContext;
  transport::ChannelIdentity mIdentity;
  EngineNewsClientSettings mSettings;
  state::FollowedCompanions mFollowed;
  /// Companions that watch the store for their zones, of all zones.
  std::vector<std::string> mWatchers;
  EventLog& mLog;
  Handler mOnNews;
  PartReadingHandler mOnPartReading;
  CrashReportsHandler mOnCrashReports;
  RateNewsHandler mOnRateNews;
  ConnectionEndHandler mOnConnectionEnd;
  ConnectionEndHandler mOnUnfollowed;
  RolloutNoticeHandler mOnRolloutNotice;
  WeightsQueryHandler mOnWeightsQuery;
  transport::ChannelCounters mCounters;
  state::RandomSource mRandom{ std::random_device{}() };
  std::map<std::string, std::shared_ptr<CompanionLink>> mLinks; ///< by host
  bool mAreCompanionsAbsent = false;
  std::uint32_t mLastRequestId = 0;
  /// Requests that wait for a reply, by their id.
  std::map<std::uint32_t, std::shared_ptr<PendingRequest>> mPendingRequests;
};

EngineNewsClient::EngineNewsClient(asio::io_context& aContext,
                                   transport::ChannelIdentity aIdentity,
                                   const EngineNewsClientSettings& aSettings,
                                   EventLog& aLog,
                                   Handler aOnNews,
                                   PartReadingHandler aOnPartReading,
                                   CrashReportsHandler aOnCrashReports,
                                   RateNewsHandler aOnRateNews,
                                   ConnectionEndHandler aOnConnectionEnd,
                                   ConnectionEndHandler aOnUnfollowed,
                                   RolloutNoticeHandler aOnRolloutNotice)
  : mShared(std::make_shared<Shared>(aContext,
                                     std::move(aIdentity),
                                     aSettings,
                                     aLog,
                                     std::move(aOnNews),
                                     std::move(aOnPartReading),
                                     std::move(aOnCrashReports),
                                     std::move(aOnRateNews),
                                     std::move(aOnConnectionEnd),
                                     std::move(aOnUnfollowed),
                                     std::move(aOnRolloutNotice)))
{
  transport::Spawn(aContext, Shared::WatchForAbsence(mShared));
}

EngineNewsClient::~EngineNewsClient()
{
  Follow({});
}

std::size_t
EngineNewsClient::Connected() const
{
  return mShared->Connected();
}

void
EngineNewsClient::Follow(const std::vector<state::EndpointInfo>& aEndpoints)
{
  const auto& settings = mShared->mSettings;
  const auto& topology = settings.mTopology;
  std::set<std::string> listed;
  std::set<std::string> zones;
  std::vector<std::string> pinned;
  std::vector<std::pair<std::uint64_t, std::string>> elsewhere;
  const auto seed = state::PlacementHash(mShared->mIdentity.mNode);
  for (const auto& endpoint : aEndpoints) {
    const auto address = state::ParseAddress(endpoint.mAddress);
    if (!endpoint.mModels.empty() && address) {
      listed.insert(address->mHost);
      zones.insert(endpoint.mZone);
      const auto distance = topology.Between(settings.mZone, endpoint.mZone);
      if (topology.HasSeveralRegions() &&
          distance <= state::Distance::kSameRegion) {
        pinned.push_back(address->mHost);
      } else if (topology.HasSeveralRegions()) {
        elsewhere.emplace_back(state::PlacementHash(address->mHost, seed),
                               address->mHost);
      }
    }
  }
  // Each relay has a sample of its own, so that together they use all engines.
  std::sort(elsewhere.begin(), elsewhere.end());
  elsewhere.resize(std::min(elsewhere.size(), state::kPinnedElsewhere));
  for (const auto& [rank, host] : elsewhere) {
    pinned.push_back(host);
  }
  mShared->mWatchers.clear();
  for (const auto& zone : zones) {
    for (const auto& engine : state::SelectZoneWatchers(aEndpoints, zone, {})) {
      const auto host = state::ParseAddress(engine)->mHost;
      mShared->mWatchers.push_back(host);
      if (zone == settings.mZone) {
        pinned.push_back(host);
      }
    }
  }
  const auto dropped = mShared->mFollowed.SetListed(std::move(listed), pinned);
  for (const auto& host : dropped) {
    mShared->Drop(host);
  }
  for (const auto& host : mShared->mFollowed.Followed()) {
    mShared->Open(host);
  }
}

void
EngineNewsClient::SendPartReading(const std::string& aEndpointAddress,
                                  const protocol::PartReading& aReading)
{
  const auto link = mShared->UseEngine(aEndpointAddress);
  if (link) {
    Shared::SendOrQueue(*link, aReading);
  }
}

void
EngineNewsClient::SendCrashReports(std::uint64_t aEndpoint,
                                   const protocol::CrashReports& aReports)
{
  if (!mShared->mFollowed.FollowsAll()) {
    for (const auto& host : mShared->mWatchers) {
      if (const auto link = mShared->Use(host)) {
        Shared::SendOrQueue(*link, aReports);
      }
    }
    return;
  }
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

Task<bool>
EngineNewsClient::RecordStream(std::string aHost, state::StreamRecord aRecord)
{
  const auto reply =
    co_await mShared->RequestFromCompanion<protocol::StreamReply>(
      std::move(aHost),
      [&](std::uint32_t aId) {
        return protocol::StreamRecord{ aId, aRecord };
      },
      protocol::kStreamProtocolVersion);
  co_return reply.has_value();
}

Task<std::optional<state::OriginReply>>
EngineNewsClient::FindStream(std::string aHost, protocol::StreamQuery aQuery)
{
  const auto reply =
    co_await mShared->RequestFromCompanion<protocol::StreamReply>(
      std::move(aHost),
      [&](std::uint32_t aId) {
        auto query = aQuery;
        query.mId = aId;
        return query;
      },
      protocol::kStreamProtocolVersion);
  co_return reply ? std::optional(reply->mReply) : std::nullopt;
}

void
EngineNewsClient::OnWeightsQuery(WeightsQueryHandler aHandler)
{
  mShared->mOnWeightsQuery = std::move(aHandler);
}

Task<std::optional<std::vector<state::WeightsConfirmation>>>
EngineNewsClient::FindWeights(std::string aHost, std::string aModel)
{
  auto reply = co_await mShared->RequestFromCompanion<protocol::WeightsReply>(
    std::move(aHost),
    [&](std::uint32_t aId) {
      return protocol::WeightsQuery{ aId, aModel };
    },
    protocol::kWeightsProtocolVersion);
  if (!reply) {
    co_return std::nullopt;
  }
  co_return std::move(reply->mConfirmations);
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
  if (const auto link = mShared->Use(aHost)) {
    Shared::SendOrQueue(*link, protocol::RateReport{ aReport });
  }
}

void
EngineNewsClient::ReportRollout(const std::string& aHost,
                                const state::RolloutReport& aReport)
{
  const auto link = mShared->Use(aHost);
  if (link && link->mChannel &&
      link->mChannel->ProtocolVersion() >= protocol::kRolloutProtocolVersion) {
    link->mChannel->Send(protocol::RolloutReport{ aReport });
  }
}

void
EngineNewsClient::SetWaiting(const std::string& aEndpointAddress,
                             const state::WaitingTokens& aWaiting,
                             const std::string& aPart)
{
  // That nothing waits is no reason to follow a companion.
  const bool isUse = aWaiting.Total() != 0 || !aPart.empty();
  const auto link = isUse ? mShared->UseEngine(aEndpointAddress)
                          : mShared->Find(aEndpointAddress);
  if (link) {
    link->mWaiting = aWaiting;
    Shared::ReportWaiting(*link, aPart);
  }
}

} // namespace shuntjunction::coordination
