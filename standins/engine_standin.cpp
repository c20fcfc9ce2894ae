#include "engine_standin.h"

#include <boost/json/array.hpp>

#include "answer_text.h"
#include "chance.h"
#include "json_reply.h"
#include "shuntjunction/coordination/chat_api.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/settings.h"

namespace shuntjunction::standins {

namespace json = boost::json;
using state::Millis;
using state::RequestKind;
using state::Result;
using transport::HttpExchange;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Task;

namespace {

constexpr Millis kSlotPollInterval{ 1 };
constexpr Millis kEventPollInterval{ 5 };
constexpr std::size_t kMaxEvents = 50000;
constexpr std::size_t kMaxEventsPerResponse = 5000;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kTokensPerBlock = state::kBlockBytes / kBytesPerToken;

} // namespace

EngineStandin::EngineStandin(boost::asio::io_context& aContext,
                             const EngineSettings& aSettings)
  : mContext(aContext)
  , mSettings(aSettings)
  , mModel(aSettings.mModel)
  , mWeights(aSettings.mWeights)
  , mRandom(aSettings.mSeed)
{
  // The start time identifies the incarnation; it differs from earlier ones.
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  mIncarnation = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

HttpResponse
EngineStandin::Refusal(unsigned aStatus, std::string_view aText)
{
  return Reply(aStatus, json::object{ { "error", json::string(aText) } });
}

Task<void>
EngineStandin::Handle(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  if (path == "/v1/chat/completions") {
    co_await Complete(aExchange, RequestKind::kChat);
  } else if (path == "/v1/completions") {
    co_await Complete(aExchange, RequestKind::kCompletion);
  } else if (path == "/engine/state") {
    co_await aExchange.Respond(StateResponse());
  } else if (path == "/engine/events") {
    auto response = co_await EventsResponse(request);
    co_await aExchange.Respond(std::move(response));
  } else if (path == "/engine/orders") {
    auto response = co_await ApplyOrder(request);
    co_await aExchange.Respond(std::move(response));
  } else if (path == "/engine/audit") {
    co_await aExchange.Respond(AuditResponse());
  } else {
    co_await aExchange.Respond(Refusal(404, "no such path"));
  }
}

// Completions.

Result<EngineStandin::Job>
EngineStandin::ReadJob(const HttpRequest& aRequest, RequestKind aKind) const
{
  const auto value = state::ParseJson(aRequest.mBody, "body");
  const auto* body = value ? value->if_object() : nullptr;
  if (body == nullptr) {
    return state::Fail(
      state::ErrorCode::kInvalidArgument, "engine.read", "", "bad body");
  }
  Job job;
  job.mKind = aKind;
  job.mRequestId = std::string(aRequest.Field("x-request-id"));
  job.mPrompt = PromptHash(aRequest.mBody);
  std::string salt;
  if (const auto* given = body->if_contains("cache_salt")) {
    salt = std::string(given->as_string());
  }
  std::string text;
  for (const auto& level : coordination::PromptLevels(aKind, *body)) {
    text += level;
  }
  job.mPromptBytes = text.size();
  std::uint64_t parent = state::PlacementHash(salt);
  for (std::size_t at = 0; at + state::kBlockBytes <= text.size();
       at += state::kBlockBytes) {
    parent = state::PlacementHash(
      std::string_view(text).substr(at, state::kBlockBytes), parent);
    job.mBlockHashes.push_back(parent);
  }
  if (const auto* names = body->if_contains("block_ids")) {
    for (const auto& name : names->as_array()) {
      job.mBlockNames.emplace_back(name.as_string());
    }
  }
  job.mBlockNames.resize(job.mBlockHashes.size());
  if (const auto* priority = body->if_contains("priority")) {
    job.mPriority = static_cast<int>(priority->as_int64());
  }
  job.mTokens = mSettings.mDefaultTokens;
  if (const auto* tokens = body->if_contains("max_tokens")) {
    job.mTokens = tokens->to_number<std::uint32_t>();
  }
  if (const auto* resume = body->if_contains("resume")) {
    job.mOffset = resume->as_object().at("offset").to_number<std::uint32_t>();
    job.mResumeText = std::string(resume->as_object().at("text").as_string());
  }
  return job;
}

std::size_t
EngineStandin::CountCachedBlocks(const Job& aJob)
{
  std::size_t hits = 0;
  for (const std::uint64_t content : aJob.mBlockHashes) {
    const auto found = mCache.find(content);
    if (found == mCache.end()) {
      break;
    }
    mLruOrder.splice(mLruOrder.end(), mLruOrder, found->second.mLruPosition);
    ++hits;
  }
  return hits;
}

void
EngineStandin::StoreBlocks(const Job& aJob)
{
  for (std::size_t i = 0; i < aJob.mBlockHashes.size(); ++i) {
    const std::uint64_t content = aJob.mBlockHashes[i];
    if (mCache.contains(content)) {
      continue;
    }
    while (mCache.size() >= mSettings.mCacheBlocks && !mLruOrder.empty()) {
      const auto oldest = mCache.find(mLruOrder.front());
      AddEvent("evicted", oldest->second.mName);
      mCache.erase(oldest);
      mLruOrder.pop_front();
    }
    mLruOrder.push_back(content);
    mCache[content] = { aJob.mBlockNames[i], std::prev(mLruOrder.end()) };
    AddEvent("stored", aJob.mBlockNames[i]);
  }
}

Task<bool>
EngineStandin::AcquireSlot(Job& aJob)
{
  const auto position = mQueue.emplace(aJob.mPriority, ++mNextTicket);
  const std::uint64_t ticket = position->second;
  while (!aJob.mIsCancelled &&
         (mRunning >= mSettings.mSlots || mQueue.begin()->second != ticket)) {
    co_await transport::Sleep(kSlotPollInterval);
  }
  mQueue.erase(position);
  if (aJob.mIsCancelled) {
    co_return false;
  }
  ++mRunning;
  co_return true;
}

Task<void>
EngineStandin::Prefill(const Job& aJob, std::size_t aHits)
{
  const auto missed = aJob.mBlockHashes.size() - aHits;
  mPromptBlocks += aJob.mBlockHashes.size();
  mComputedBlocks += missed;
  const auto now = state::BootClock::now();
  const auto cost = std::chrono::microseconds(
    static_cast<std::int64_t>(missed) * mSettings.mMicrosPerBlock);
  mPrefillFreeAt = std::max(mPrefillFreeAt, now) + cost;
  if (missed > 0) {
    co_await transport::Sleep(mPrefillFreeAt - now);
  }
}

Task<void>
EngineStandin::Complete(HttpExchange& aExchange, RequestKind aKind)
{
  auto job = ReadJob(aExchange.Request(), aKind);
  if (!job || mModel.empty()) {
    co_await aExchange.Respond(Refusal(job ? 503 : 400, "not served"));
    co_return;
  }
  const std::string expected =
    AnswerText(mModel, mWeights, job->mPrompt, job->mOffset);
  if (job->mResumeText != expected) {
    co_await aExchange.Respond(Refusal(400, "cannot resume that text"));
    co_return;
  }
  ++mExecuted[job->mRequestId];
  aExchange.OnDisconnect([&job] { job->mIsCancelled = true; });
  if (!co_await AcquireSlot(*job)) {
    aExchange.Abort();
    co_return;
  }
  if (Chance(mRandom, mSettings.mFailShare)) {
    --mRunning;
    co_await aExchange.Respond(Refusal(500, "failed"));
    co_return;
  }
  const std::size_t hits = CountCachedBlocks(*job);
  co_await Prefill(*job, hits);
  StoreBlocks(*job);
  co_await Generate(aExchange, *job, hits);
  --mRunning;
}

Task<void>
EngineStandin::Generate(HttpExchange& aExchange, Job& aJob, std::size_t aHits)
{
  const std::string model = mModel;
  const std::uint32_t weights = mWeights;
  HttpResponse header;
  header.mContentType = "text/event-stream";
  header.mFields = { { "x-engine-incarnation", std::to_string(mIncarnation) },
                     { "x-weights-version", std::to_string(weights) },
                     { "x-cached-blocks", std::to_string(aHits) } };
  bool isConnected =
    (co_await aExchange.BeginStream(std::move(header))).has_value();
  const coordination::ResponseMetadata head{ aJob.mKind, "engine", model, 0 };
  for (std::uint32_t i = aJob.mOffset;
       i < aJob.mTokens && isConnected && !aJob.mIsCancelled;
       ++i) {
    if (i > aJob.mOffset) {
      co_await transport::Sleep(
        std::chrono::microseconds(mSettings.mMicrosPerToken));
    }
    isConnected = (co_await aExchange.Write(coordination::WriteChunk(
                     head, AnswerToken(model, weights, aJob.mPrompt, i), {})))
                    .has_value();
  }
  if (!isConnected || aJob.mIsCancelled) {
    aExchange.Abort();
    co_return;
  }
  protocol::Finished counts;
  counts.mTotalTokens = aJob.mTokens;
  counts.mPromptTokens =
    static_cast<std::uint32_t>(aJob.mPromptBytes / kBytesPerToken);
  counts.mCachedTokens = static_cast<std::uint32_t>(aHits * kTokensPerBlock);
  std::string tail = coordination::WriteChunk(head, {}, "stop") +
                     coordination::WriteUsageChunk(head, counts);
  tail += coordination::kStreamEnd;
  if (co_await aExchange.Write(std::move(tail))) {
    co_await aExchange.EndStream();
  }
}

// State, events and orders.

void
EngineStandin::AddEvent(std::string aKind, std::string aBlock)
{
  ++mSequence;
  if (Chance(mRandom, mSettings.mEventLoss)) {
    return;
  }
  mEvents.push_back(
    { mSequence,
      std::move(aKind),
      std::move(aBlock),
      state::BootClock::now() + Millis(mSettings.mEventDelayMs) });
  if (mEvents.size() > kMaxEvents) {
    mEvents.pop_front();
  }
}

Task<HttpResponse>
EngineStandin::EventsResponse(const HttpRequest& aRequest)
{
  const auto after = NumberOf<std::uint64_t>(aRequest.Query("after"), 0);
  const auto until =
    state::BootClock::now() +
    Millis(NumberOf<std::uint64_t>(aRequest.Query("wait_ms"), 0));
  while (true) {
    const auto now = state::BootClock::now();
    json::array events;
    const auto first =
      std::upper_bound(mEvents.begin(),
                       mEvents.end(),
                       after,
                       [](std::uint64_t aAfter, const Event& aEvent) {
                         return aAfter < aEvent.mSequence;
                       });
    for (auto at = first; at != mEvents.end() && at->mVisibleAt <= now &&
                          events.size() < kMaxEventsPerResponse;
         ++at) {
      events.push_back(json::object{ { "seq", at->mSequence },
                                     { "kind", at->mKind },
                                     { "block", at->mBlock } });
    }
    if (!events.empty() || now >= until) {
      co_return Reply(200,
                      json::object{ { "incarnation", mIncarnation },
                                    { "events", std::move(events) } });
    }
    co_await transport::Sleep(kEventPollInterval);
  }
}

HttpResponse
EngineStandin::StateResponse() const
{
  json::array adapters;
  for (const auto& adapter : mAdapters) {
    adapters.emplace_back(adapter);
  }
  return Reply(200,
               json::object{ { "incarnation", mIncarnation },
                             { "model", mModel },
                             { "weights", mWeights },
                             { "adapters", std::move(adapters) },
                             { "role", mRole },
                             { "fence", mFence },
                             { "running", mRunning },
                             { "waiting", mQueue.size() } });
}

HttpResponse
EngineStandin::AuditResponse() const
{
  json::object executed;
  for (const auto& [id, count] : mExecuted) {
    executed[id] = count;
  }
  return Reply(200,
               json::object{ { "executed", std::move(executed) },
                             { "promptBlocks", mPromptBlocks },
                             { "computedBlocks", mComputedBlocks },
                             { "orders", mOrders },
                             { "oldOrders", mStaleOrders } });
}

Task<HttpResponse>
EngineStandin::ApplyOrder(const HttpRequest& aRequest)
{
  const auto value = state::ParseJson(aRequest.mBody, "order");
  if (!value) {
    co_return Refusal(400, value.error().mText);
  }
  state::JsonReader reader(*value, "order");
  const auto fence =
    static_cast<std::uint64_t>(reader.Integer("fence", 0, INT64_MAX));
  const std::string model = reader.Text("model");
  const auto weights =
    static_cast<std::uint32_t>(reader.Integer("weights", 0, UINT32_MAX));
  const auto adapters = reader.Texts("adapters");
  const std::string role = reader.Text("role");
  if (const auto done = reader.Finish(); !done) {
    co_return Refusal(400, done.error().mText);
  }
  ++mOrders;
  if (fence < mFence) {
    ++mStaleOrders;
    if (mSettings.mChecksFences) {
      co_return Refusal(409, "an old fencing number");
    }
  }
  mFence = std::max(mFence, fence);
  if (model != mModel || weights != mWeights) {
    const auto store = state::ParseAddress(mSettings.mWeightStore);
    if (store) {
      transport::HttpClient client(*store,
                                   state::kBlockBytes * kTokensPerBlock);
      HttpRequest fetch;
      fetch.mTarget = "/v1/weights/" + model + "/" + std::to_string(weights);
      const auto fetched = co_await client.Send(fetch, Millis(2000));
      if (!fetched || fetched->mStatus != 200) {
        co_return Refusal(503, "the weight store gave nothing");
      }
    }
    co_await transport::Sleep(Millis(mSettings.mLoadMs));
    mCache.clear();
    mLruOrder.clear();
    AddEvent("cleared", "");
  }
  mModel = model;
  mWeights = weights;
  mAdapters = adapters;
  mRole = role;
  co_return Reply(200, json::object());
}

} // namespace shuntjunction::standins
