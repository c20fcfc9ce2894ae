#include "shuntjunction/coordination/router.h"

#include <algorithm>

#include "request_run.h"
#include "shuntjunction/state/digest.h"

namespace shuntjunction::coordination {

namespace asio = boost::asio;
using state::ChoiceQuery;
using state::EndpointHandle;
using state::Millis;
using state::Priority;
using state::RequestKind;
using state::Result;
using state::TimePoint;
using transport::HttpExchange;
using transport::HttpResponse;
using transport::Task;

namespace {

constexpr Millis kLinkTickInterval{ 250 };
constexpr std::string_view kServicesPath = "/services/";

} // namespace

/// An endpoint and its reply to a probe.
struct Router::ProbeResult
{
  EndpointHandle mHandle;
  bool mHasReplied = false;
  protocol::ProbeReply mReply;
};

/// Probes that are sent and awaited together.
struct Router::ProbeRound
{
  explicit ProbeRound(const asio::any_io_executor& aExecutor)
    : mCompletions(aExecutor)
  {
  }

  std::vector<ProbeResult> mResults;
  transport::Mailbox<bool> mCompletions; ///< one message per completed probe
  TimePoint mDeadline;
};

Router::Router(asio::io_context& aContext,
               const state::Settings& aSettings,
               const state::Clock& aClock,
               Metrics& aMetrics,
               PeerSnapshotHandler aOnPeerSnapshot)
  : mContext(aContext)
  , mSettings(aSettings)
  , mClock(aClock)
  , mMetrics(aMetrics)
  , mOnPeerSnapshot(std::move(aOnPeerSnapshot))
  , mLog("router")
  , mRandom(state::PlacementHash(state::RandomNonce()))
  , mTable(aSettings.mRouter.mEndpoints)
  , mChooser(
      state::MakeChooser(aSettings.mRouter.mChooser, mTable, mRouters, mRandom))
  , mLimiter(aClock.Now())
  , mRetries(aSettings.mRouter.mRetry, aClock.Now())
{
}

Router::~Router() = default;

void
Router::Start()
{
  transport::Spawn(mContext, TickLinks());
}

// Configuration and gauges.

void
Router::ApplyConfig(PublishedConfig aConfig)
{
  mConfig = std::move(aConfig);
  const auto& instances = *mConfig.mInstances;
  const auto routers = std::count_if(
    instances.begin(), instances.end(), [](const auto& aInstance) {
      return aInstance.mRole == state::kRouterRole && !aInstance.mIsLeaving;
    });
  mRouters = std::max<std::size_t>(1, static_cast<std::size_t>(routers));
  mTable.Update(*mConfig.mSnapshot, instances);
}

bool
Router::IsReady() const
{
  const auto& entries = mTable.Entries();
  return mConfig.mText != nullptr &&
         std::any_of(entries.begin(), entries.end(), [](const auto& aEntry) {
           return aEntry.mIsListed;
         });
}

void
Router::UpdateGauges()
{
  std::uint64_t dropped = 0;
  std::size_t open = 0;
  for (const auto& [name, link] : mLinks) {
    dropped += link->Dropped();
    open += link->IsOpen() ? 1 : 0;
  }
  mMetrics.Set("shuntjunction_router_active", static_cast<double>(mActive));
  mMetrics.Set("shuntjunction_links_open", static_cast<double>(open));
  mMetrics.Set("shuntjunction_late_frames_dropped",
               static_cast<double>(dropped));
  SetChannelGauges(mMetrics, mChannelCounters);
  for (const auto& entry : mTable.Entries()) {
    mMetrics.Set("shuntjunction_endpoint_usable",
                 mTable.IsUsable(entry, mClock.Now()) ? 1 : 0,
                 { { "endpoint", entry.mInstance.mName } });
  }
}

// Links to companions.

std::shared_ptr<PeerLink>
Router::Link(EndpointHandle aHandle)
{
  const auto& instance = mTable.At(aHandle).mInstance;
  const std::string key = instance.mName + "@" + instance.mAddress;
  auto& link = mLinks[key];
  if (!link) {
    link = std::make_shared<PeerLink>(
      mContext,
      instance.mName,
      state::ParseAddress(instance.mAddress).value_or(state::Address{}),
      mSettings,
      *this,
      mChannelCounters,
      mClock);
  }
  return link;
}

Task<void>
Router::TickLinks()
{
  while (true) {
    co_await transport::Sleep(kLinkTickInterval);
    const TimePoint now = mClock.Now();
    for (const auto& [key, link] : mLinks) {
      link->Tick(now);
    }
    // Remove closed links of endpoints that were replaced.
    std::erase_if(mLinks, [&](const auto& aItem) {
      const std::size_t at = aItem.first.find('@');
      const auto handle = mTable.Find(aItem.first.substr(0, at));
      const bool isCurrent =
        handle.IsValid() && mTable.At(handle).mIsListed &&
        mTable.At(handle).mInstance.mAddress == aItem.first.substr(at + 1);
      return !isCurrent && !aItem.second->IsOpen();
    });
  }
}

void
Router::OnPeerVersion(const std::string& aEndpoint, std::uint64_t aVersion)
{
  const std::uint64_t own = mConfig.Version();
  if (aVersion <= own || aVersion <= mNewestPeerVersion) {
    return;
  }
  mNewestPeerVersion = aVersion;
  const auto handle = mTable.Find(aEndpoint);
  if (handle.IsValid()) {
    Link(handle)->Send(mConfig.RequestNewer());
  }
}

void
Router::OnPeerLeaving(const std::string& aEndpoint)
{
  const auto handle = mTable.Find(aEndpoint);
  if (handle.IsValid()) {
    mLog.Info("endpoint " + aEndpoint + " is leaving.");
    mTable.NoteLeaving(handle, mClock.Now());
  }
}

void
Router::OnPeerOpen(const std::string& aEndpoint)
{
  const auto handle = mTable.Find(aEndpoint);
  if (handle.IsValid()) {
    mTable.NoteReconnected(handle);
  }
}

void
Router::OnPeerSnapshot(const std::string& aEndpoint,
                       protocol::SnapshotReply aReply)
{
  mOnPeerSnapshot(std::move(aReply), aEndpoint);
}

protocol::SnapshotReply
Router::Snapshot(const protocol::SnapshotRequest& aHave)
{
  return mConfig.ReplyTo(aHave);
}

// Endpoint selection.

std::uint32_t
Router::WeightsOf(const std::string& aModel) const
{
  const auto model = mConfig.mSnapshot->mModels.find(aModel);
  return model == mConfig.mSnapshot->mModels.end() ? 0 : model->second.mWeights;
}

Task<void>
Router::SendProbe(std::shared_ptr<ProbeRound> aRound,
                  std::size_t aIndex,
                  protocol::Probe aProbe)
{
  const auto link = Link(aRound->mResults[aIndex].mHandle);
  const auto ready = co_await link->Ready();
  if (!ready) {
    mTable.At(aRound->mResults[aIndex].mHandle).mHealth.Failed(mClock.Now());
  } else if (mClock.Now() < aRound->mDeadline) {
    const auto mailbox =
      std::make_shared<AttemptMailbox>(mContext.get_executor());
    aProbe.mId = link->Open(mailbox);
    aProbe.mConfigVersion = link->UnannouncedVersion(mConfig.Version());
    link->Send(aProbe);
    auto event = co_await mailbox->Receive(aRound->mDeadline);
    link->Close(aProbe.mId);
    auto* message = event ? std::get_if<protocol::Message>(&*event) : nullptr;
    auto* reply =
      message ? std::get_if<protocol::ProbeReply>(message) : nullptr;
    if (reply != nullptr) {
      ProbeResult& probed = aRound->mResults[aIndex];
      probed.mReply = *reply;
      probed.mHasReplied = true;
    }
  }
  aRound->mCompletions.Push(true);
}

Task<std::vector<Router::ProbeResult>>
Router::ProbeAll(ChoiceQuery aQuery,
                 Priority aPriority,
                 std::vector<EndpointHandle> aCandidates)
{
  const auto round = std::make_shared<ProbeRound>(mContext.get_executor());
  round->mDeadline = mClock.Now() + mSettings.mRouter.mProbeTimeout;
  for (const EndpointHandle handle : aCandidates) {
    round->mResults.push_back({ handle });
  }
  protocol::Probe probe;
  probe.mServedNameHash = protocol::ServedNameHash(aQuery.mServedName);
  probe.mPriority = aPriority;
  probe.mLevels.assign(aQuery.mLevels.begin(), aQuery.mLevels.end());
  for (std::size_t i = 0; i < round->mResults.size(); ++i) {
    transport::Spawn(mContext, SendProbe(round, i, probe));
  }
  mMetrics.Count("shuntjunction_probes_total",
                 {},
                 static_cast<double>(round->mResults.size()));
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto completion =
      co_await round->mCompletions.Receive(round->mDeadline);
    if (!completion) {
      break;
    }
  }
  for (const auto& probed : round->mResults) {
    if (!probed.mHasReplied) {
      mMetrics.Count("shuntjunction_probes_unanswered_total");
      continue;
    }
    mTable.NoteLoad(probed.mHandle,
                    { static_cast<std::int64_t>(probed.mReply.mWaitMicros),
                      probed.mReply.mMicrosPerBlock,
                      mClock.Now() });
  }
  co_return round->mResults;
}

std::int64_t
Router::CostMicros(const ProbeResult& aProbed, const ChoiceQuery& aQuery) const
{
  const auto& entry = mTable.At(aProbed.mHandle);
  const auto& reply = aProbed.mReply;
  const std::int64_t missing =
    std::max<std::int64_t>(0,
                           static_cast<std::int64_t>(aQuery.mBlocks) -
                             static_cast<std::int64_t>(reply.mCachedBlocks));
  const bool isNear = entry.mInstance.mZone == mSettings.mZone;
  return static_cast<std::int64_t>(reply.mWaitMicros) +
         missing * reply.mMicrosPerBlock +
         (isNear ? 0 : mSettings.mRouter.mChooser.mZoneCostMicros);
}

std::optional<Router::ProbeResult>
Router::Cheapest(const std::vector<ProbeResult>& aProbed,
                 const ChoiceQuery& aQuery) const
{
  std::optional<ProbeResult> best;
  for (const auto& candidate : aProbed) {
    if (!candidate.mHasReplied || !candidate.mReply.mIsAccepting) {
      continue;
    }
    if (!best || CostMicros(candidate, aQuery) < CostMicros(*best, aQuery)) {
      best = candidate;
    }
  }
  return best;
}

Task<EndpointHandle>
Router::Choose(ChoiceQuery aQuery,
               Priority aPriority,
               std::vector<EndpointHandle> aExcluded)
{
  const TimePoint now = mClock.Now();
  auto usable = mTable.Usable(aQuery.mServedName, now);
  std::erase_if(usable, [&](EndpointHandle aHandle) {
    return std::find(aExcluded.begin(), aExcluded.end(), aHandle) !=
           aExcluded.end();
  });
  if (usable.empty()) {
    co_return EndpointHandle{};
  }
  const bool shouldProbe = mChooser->ProbesFirst(aQuery);
  const std::size_t limit =
    shouldProbe ? mSettings.mRouter.mChooser.mProbes : 1;
  const auto candidates = mChooser->Candidates(aQuery, usable, limit, now);
  if (!shouldProbe || candidates.size() < 2) {
    co_return candidates.empty() ? EndpointHandle{} : candidates.front();
  }
  const auto probed = co_await ProbeAll(aQuery, aPriority, candidates);
  if (const auto best = Cheapest(probed, aQuery)) {
    co_return best->mHandle;
  }
  // No probed candidate accepts the request: use the endpoint with the lowest
  // known load.
  const auto least = std::min_element(
    usable.begin(), usable.end(), [&](auto aLeft, auto aRight) {
      return state::EstimatedWaitMicros(mTable.At(aLeft), now) <
             state::EstimatedWaitMicros(mTable.At(aRight), now);
    });
  co_return *least;
}

Task<Result<std::vector<Explanation>>>
Router::Explain(std::string aTeam, RequestKind aKind, std::string aBody)
{
  const auto call = ReadChatCall(aKind, aBody);
  if (!call) {
    co_return tl::unexpected(call.error());
  }
  const state::CacheScope scope{ aTeam, call->mModel, WeightsOf(call->mModel) };
  const auto chain = state::BuildPrefixChain(scope, call->mLevels);
  ChoiceQuery query;
  query.mTeam = aTeam;
  query.mServedName = call->mModel;
  query.mLevels = chain.mLevels;
  query.mBlocks = static_cast<std::uint32_t>(chain.mBlocks.size());
  const TimePoint now = mClock.Now();
  const auto usable = mTable.Usable(query.mServedName, now);
  const auto candidates = mChooser->Candidates(
    query, usable, mSettings.mRouter.mChooser.mProbes, now);
  const auto probed = co_await ProbeAll(query, Priority::kOrdinary, candidates);
  std::vector<Explanation> rows;
  for (const EndpointHandle handle : usable) {
    const auto& entry = mTable.At(handle);
    Explanation row;
    row.mEndpoint = entry.mInstance.mName;
    row.mZone = entry.mInstance.mZone;
    row.mHealth =
      std::string(state::kHealthStateNames.Name(entry.mHealth.State()));
    for (const auto& candidate : probed) {
      if (candidate.mHandle == handle) {
        row.mIsCandidate = true;
        row.mHasReplied =
          candidate.mHasReplied && candidate.mReply.mIsAccepting;
        row.mCachedBlocks = candidate.mReply.mCachedBlocks;
        row.mWaitMicros = candidate.mReply.mWaitMicros;
        row.mCostMicros = CostMicros(candidate, query);
      }
    }
    rows.push_back(std::move(row));
  }
  Explanation* best = nullptr;
  for (auto& row : rows) {
    if (row.mHasReplied &&
        (best == nullptr || row.mCostMicros < best->mCostMicros)) {
      best = &row;
    }
  }
  if (best != nullptr) {
    best->mIsChosen = true;
  }
  co_return rows;
}

// Callers' requests.

HttpResponse
Router::Refusal(unsigned aStatus, std::string_view aText)
{
  mMetrics.Count("shuntjunction_http_refusals_total",
                 { { "status", std::to_string(aStatus) } });
  ApiError error;
  error.mStatus = aStatus;
  error.mType = aStatus == 503 ? "overloaded_error" : "invalid_request_error";
  error.mCode = "bad_request";
  error.mMessage = aText;
  error.mRunState = state::kRunStateNames.Name(state::RunState::kNotRun);
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = WriteError(error);
  if (aStatus == 503) {
    response.mFields.push_back({ "retry-after", "1" });
  }
  return response;
}

Task<void>
Router::Handle(HttpExchange& aExchange)
{
  ++mActive;
  RequestRun run(*this, aExchange);
  const auto& request = aExchange.Request();
  const std::string_view path = request.Path();
  const bool isPost = request.mMethod == "POST";
  if (path == "/v1/chat/completions" && isPost) {
    co_await run.RunModelCall(RequestKind::kChat);
  } else if (path == "/v1/completions" && isPost) {
    co_await run.RunModelCall(RequestKind::kCompletion);
  } else if (path == "/v1/models" && request.mMethod == "GET") {
    co_await run.RunModelList();
  } else if (path.starts_with(kServicesPath)) {
    co_await run.RunServiceCall(path.substr(kServicesPath.size()));
  } else {
    co_await run.RunUnknownPath();
  }
  --mActive;
}

} // namespace shuntjunction::coordination
