// Backend for a model engine over HTTP: completions as server-sent events;
// state, cache events and orders as JSON.

#include <charconv>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/coordination/backend.h"
#include "shuntjunction/state/event_splitter.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/http_client.h"

namespace shuntjunction::coordination {

namespace json = boost::json;
using state::ErrorCode;
using state::Fail;
using state::JsonReader;
using state::Millis;
using state::Result;
using transport::HttpRequest;
using transport::HttpStream;
using transport::Task;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "[DONE]";

/// Distance between the engine priorities of two classes; lower numbers run
/// first.
constexpr int kPriorityStep = 10;

/// Long, since the engine responds only when the weights are loaded.
constexpr Millis kOrderTimeout{ 60000 };

std::string
FormatBlockHash(state::PrefixHash aHash)
{
  std::array<char, 16> digits{};
  const auto [end, error] =
    std::to_chars(digits.data(), digits.data() + digits.size(), aHash, 16);
  return { digits.data(), end };
}

state::PrefixHash
ParseBlockHash(const std::string& aName)
{
  state::PrefixHash hash = 0;
  std::from_chars(aName.data(), aName.data() + aName.size(), hash, 16);
  return hash;
}

std::uint64_t
ParseNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

/// The caller's request body with the fields that the engine needs in addition.
std::string
EngineBody(const BackendCall& aCall)
{
  const auto& submit = aCall.mSubmit;
  auto value = state::ParseJson(submit.mBody, "body");
  json::object body =
    value && value->is_object() ? value->as_object() : json::object();
  body["stream"] = true;
  body["stream_options"] = json::object{ { "include_usage", true } };
  body["cache_salt"] = aCall.mSalt;
  body["priority"] = static_cast<int>(submit.mPriority) * kPriorityStep;
  json::array blocks;
  blocks.reserve(aCall.mChain.size());
  for (const auto hash : aCall.mChain) {
    blocks.emplace_back(FormatBlockHash(hash));
  }
  body["block_ids"] = std::move(blocks);
  if (submit.mResumeOffset > 0) {
    body["resume"] = json::object{ { "offset", submit.mResumeOffset },
                                   { "text", submit.mResumeText } };
  }
  return json::serialize(body);
}

/// Reads the events of one response stream.
class EngineResponse final : public BackendResponse
{
public:
  EngineResponse(std::unique_ptr<HttpStream> aStream,
                 std::uint32_t aOffset,
                 std::string aPeer)
    : mStream(std::move(aStream))
    , mPeer(std::move(aPeer))
    , mNextOffset(aOffset)
  {
    mIncarnation = ParseNumber(mStream->Field("x-engine-incarnation"));
    mWeights = static_cast<std::uint32_t>(
      ParseNumber(mStream->Field("x-weights-version")));
    mCachedBlocks = static_cast<std::uint32_t>(
      ParseNumber(mStream->Field("x-cached-blocks")));
  }

  state::Incarnation CurrentIncarnation() const override
  {
    return mIncarnation;
  }
  std::uint32_t Weights() const override { return mWeights; }
  std::uint32_t CachedBlocks() const override { return mCachedBlocks; }

  Task<Result<BackendEvent>> Next(Millis aTimeout) override
  {
    while (true) {
      const std::size_t end = mText.find(kEventEnd, mReadOffset);
      if (end == std::string::npos) {
        mText.erase(0, mReadOffset);
        mReadOffset = 0;
        auto piece = co_await mStream->Read(aTimeout);
        if (!piece) {
          co_return tl::unexpected(piece.error());
        }
        if (piece->empty()) {
          co_return Interrupted("the stream ended without its end mark");
        }
        mText += state::UnifyLineEnds(mEvents.Put(*piece));
        continue;
      }
      const std::string_view event =
        std::string_view(mText).substr(mReadOffset, end - mReadOffset);
      mReadOffset = end + kEventEnd.size();
      const auto data = state::EventData(event);
      if (data.empty()) {
        continue;
      }
      if (data == kDone) {
        if (mEnd.mFinishReason.empty()) {
          co_return Interrupted("the stream ended without a finish reason");
        }
        mEnd.mTotalTokens = mNextOffset;
        co_return BackendEvent(mEnd);
      }
      auto tokens = ReadChunk(data);
      if (!tokens) {
        co_return tl::unexpected(tokens.error());
      }
      if (tokens->mCount > 0) {
        co_return BackendEvent(std::move(*tokens));
      }
    }
  }

private:
  tl::unexpected<state::Error> Interrupted(std::string_view aReason) const
  {
    return Fail(ErrorCode::kProtocol, "engine.stream", mPeer, aReason);
  }

  /// Parses a chunk; the token count is 0 if it contains none.
  Result<BackendTokens> ReadChunk(std::string_view aData)
  {
    const auto value = state::ParseJson(aData, "chunk");
    const auto* chunk = value ? value->if_object() : nullptr;
    if (chunk == nullptr) {
      return Interrupted("a chunk is not a JSON object");
    }
    if (chunk->contains("error")) {
      return Interrupted("the engine reported an error");
    }
    ReadUsage(*chunk);
    BackendTokens tokens;
    const auto* choices = chunk->if_contains("choices");
    if (choices == nullptr || !choices->is_array() ||
        choices->as_array().empty()) {
      return tokens;
    }
    const auto* choice = choices->as_array().front().if_object();
    if (choice == nullptr) {
      return Interrupted("a choice is not a JSON object");
    }
    const auto* reason = choice->if_contains("finish_reason");
    if (reason != nullptr && reason->is_string()) {
      mEnd.mFinishReason = std::string(reason->as_string());
    }
    const auto* holder = choice;
    std::string_view key = "text";
    if (const auto* delta = choice->if_contains("delta")) {
      holder = delta->if_object();
      key = "content";
    }
    const auto* text = holder == nullptr ? nullptr : holder->if_contains(key);
    if (text == nullptr || !text->is_string() || text->as_string().empty()) {
      return tokens;
    }
    tokens.mText = std::string(text->as_string());
    tokens.mCount = 1;
    tokens.mOffset = mNextOffset++;
    return tokens;
  }

  void ReadUsage(const json::object& aChunk)
  {
    const auto* usage = aChunk.if_contains("usage");
    if (usage == nullptr || !usage->is_object()) {
      return;
    }
    const auto& counts = usage->as_object();
    const auto read = [](const json::value* aCount) {
      return aCount != nullptr && aCount->is_int64()
               ? static_cast<std::uint32_t>(aCount->as_int64())
               : 0U;
    };
    mEnd.mPromptTokens = read(counts.if_contains("prompt_tokens"));
    const auto* details = counts.if_contains("prompt_tokens_details");
    if (details != nullptr && details->is_object()) {
      mEnd.mCachedTokens =
        read(details->as_object().if_contains("cached_tokens"));
    }
  }

  std::unique_ptr<HttpStream> mStream;
  std::string mPeer;
  state::Incarnation mIncarnation = 0;
  std::uint32_t mWeights = 0;
  std::uint32_t mCachedBlocks = 0;
  std::uint32_t mNextOffset;
  state::EventSplitter mEvents;
  std::string mText; ///< whole events that were not read, with LF line ends
  std::size_t mReadOffset = 0;
  BackendEnd mEnd;
};

class EngineBackend final : public Backend
{
public:
  EngineBackend(const state::Address& aAddress,
                const state::CompanionSettings& aSettings,
                std::size_t aMaxResponseBytes)
    : mClient(aAddress, aMaxResponseBytes)
    , mTimeout(aSettings.mBackendTimeout)
  {
  }

  bool IsEngine() const override { return true; }

  Task<Result<std::unique_ptr<BackendResponse>>> Open(
    BackendCall aCall) override
  {
    HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = aCall.mSubmit.mKind == state::RequestKind::kChat
                        ? "/v1/chat/completions"
                        : "/v1/completions";
    request.mContentType = "application/json";
    request.mFields.push_back({ "x-request-id", aCall.mSubmit.mRequestId });
    request.mBody = EngineBody(aCall);
    const Millis deadline(aCall.mSubmit.mDeadlineMs);
    auto stream = co_await mClient.Open(std::move(request),
                                        mTimeout,
                                        std::max(mTimeout, deadline),
                                        aCall.mCancel);
    if (!stream) {
      co_return tl::unexpected(stream.error());
    }
    if ((*stream)->Status() != kOk) {
      const std::string status = std::to_string((*stream)->Status());
      // The engine reports a client error or an overload before it runs
      // anything.
      const bool isRefused = (*stream)->Status() < 500 || status == "503";
      const auto code =
        isRefused ? ErrorCode::kUnavailable : ErrorCode::kTimeout;
      co_return Fail(
        code, "engine.open", mClient.Peer().Text(), "status " + status);
    }
    std::unique_ptr<BackendResponse> response =
      std::make_unique<EngineResponse>(
        std::move(*stream), aCall.mSubmit.mResumeOffset, mClient.Peer().Text());
    co_return response;
  }

  Task<Result<BackendState>> State() override
  {
    HttpRequest request;
    request.mTarget = "/engine/state";
    const auto value = co_await Fetch("engine.state", request, mTimeout);
    if (!value) {
      co_return tl::unexpected(value.error());
    }
    JsonReader reader(*value, "state");
    BackendState found;
    found.mIncarnation =
      static_cast<std::uint64_t>(reader.Integer("incarnation", 1, INT64_MAX));
    found.mModel = reader.Text("model", "");
    found.mWeights =
      static_cast<std::uint32_t>(reader.Integer("weights", 0, UINT32_MAX, 0));
    found.mAdapters = reader.Texts("adapters");
    found.mRole = reader.Name(
      "role", state::kEngineRoleNames, std::optional(state::EngineRole::kBoth));
    found.mFence =
      static_cast<std::uint64_t>(reader.Integer("fence", 0, INT64_MAX, 0));
    // Known fields that are not used here.
    reader.Find("running");
    reader.Find("waiting");
    if (const auto done = reader.Finish(); !done) {
      co_return tl::unexpected(done.error());
    }
    co_return found;
  }

  Task<Result<CacheEvents>> Events(std::uint64_t aAfter, Millis aWait) override
  {
    HttpRequest request;
    request.mTarget = "/engine/events?after=" + std::to_string(aAfter) +
                      "&wait_ms=" + std::to_string(aWait.count());
    const auto value =
      co_await Fetch("engine.events", request, aWait + mTimeout);
    if (!value) {
      co_return tl::unexpected(value.error());
    }
    JsonReader reader(*value, "events");
    CacheEvents found;
    found.mIncarnation =
      static_cast<std::uint64_t>(reader.Integer("incarnation", 1, INT64_MAX));
    const auto* events = reader.Find("events");
    if (events == nullptr || !events->is_array()) {
      reader.AddError("events", "absent", "a list of events");
    } else {
      for (const auto& item : events->as_array()) {
        found.mEvents.push_back(ReadEvent(item, reader));
      }
    }
    if (const auto done = reader.Finish(); !done) {
      co_return tl::unexpected(done.error());
    }
    for (auto& event : found.mEvents) {
      event.mIncarnation = found.mIncarnation;
    }
    co_return found;
  }

  Task<Result<void>> Order(BackendOrder aOrder) override
  {
    json::array adapters;
    for (const auto& adapter : aOrder.mAdapters) {
      adapters.emplace_back(adapter);
    }
    HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = "/engine/orders";
    request.mContentType = "application/json";
    request.mBody = json::serialize(json::object{
      { "fence", aOrder.mFence },
      { "model", aOrder.mModel },
      { "weights", aOrder.mWeights },
      { "adapters", std::move(adapters) },
      { "role", std::string(state::kEngineRoleNames.Name(aOrder.mRole)) } });
    const auto value = co_await Fetch("engine.order", request, kOrderTimeout);
    if (!value) {
      co_return tl::unexpected(value.error());
    }
    co_return Result<void>{};
  }

private:
  static state::CacheEvent ReadEvent(const json::value& aValue,
                                     JsonReader& aOuter)
  {
    JsonReader reader(aValue, "event");
    state::CacheEvent event;
    event.mSequence =
      static_cast<std::uint64_t>(reader.Integer("seq", 1, INT64_MAX));
    event.mBlock = ParseBlockHash(reader.Text("block", ""));
    const std::string kind = reader.Text("kind");
    if (kind == "stored") {
      event.mKind = state::CacheEventKind::kStored;
    } else if (kind == "evicted") {
      event.mKind = state::CacheEventKind::kEvicted;
    } else {
      event.mKind = state::CacheEventKind::kCleared;
    }
    aOuter.Merge(reader.Finish());
    return event;
  }

  Task<Result<json::value>> Fetch(std::string_view aStep,
                                  HttpRequest aRequest,
                                  Millis aTimeout)
  {
    const std::string peer = mClient.Peer().Text();
    const auto response = co_await mClient.Send(std::move(aRequest), aTimeout);
    if (!response) {
      co_return tl::unexpected(response.error());
    }
    if (response->mStatus != kOk) {
      const auto code = response->mStatus == kConflict
                          ? ErrorCode::kConflict
                          : ErrorCode::kUnavailable;
      co_return Fail(code,
                     aStep,
                     peer,
                     "status " + std::to_string(response->mStatus) + ": " +
                       response->mBody);
    }
    co_return state::ParseJson(response->mBody, aStep);
  }

  transport::HttpClient mClient;
  Millis mTimeout;
};

} // namespace

std::unique_ptr<Backend>
MakeEngineBackend(const state::Address& aAddress,
                  const state::CompanionSettings& aSettings,
                  std::size_t aMaxResponseBytes)
{
  return std::make_unique<EngineBackend>(
    aAddress, aSettings, aMaxResponseBytes);
}

} // namespace shuntjunction::coordination
