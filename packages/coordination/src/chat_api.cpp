#include "shuntjunction/coordination/chat_api.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::coordination {

namespace json = boost::json;
using state::ErrorCode;
using state::Fail;
using state::RequestKind;
using state::Result;

namespace {

/// Highest urgency values (RFC 9218) of the classes urgent and priority.
constexpr char kLastUrgent = '1';
constexpr char kLastPriority = '2';

std::string
TextOf(const json::value& aValue)
{
  if (const auto* text = aValue.if_string()) {
    return { text->begin(), text->end() };
  }
  return json::serialize(aValue);
}

std::string
SseEvent(const json::object& aObject)
{
  return "data: " + json::serialize(aObject) + "\n\n";
}

bool
IsChat(RequestKind aKind)
{
  return aKind == RequestKind::kChat;
}

json::object
Envelope(const ResponseMetadata& aMetadata, bool aIsChunk)
{
  std::string object = "text_completion";
  if (IsChat(aMetadata.mKind)) {
    object = aIsChunk ? "chat.completion.chunk" : "chat.completion";
  }
  return { { "id", aMetadata.mId },
           { "object", object },
           { "created", aMetadata.mCreated },
           { "model", aMetadata.mModel } };
}

json::object
UsageOf(const protocol::Finished& aFinished)
{
  return { { "prompt_tokens", aFinished.mPromptTokens },
           { "completion_tokens", aFinished.mTotalTokens },
           { "total_tokens", aFinished.mPromptTokens + aFinished.mTotalTokens },
           { "prompt_tokens_details",
             json::object{ { "cached_tokens", aFinished.mCachedTokens } } } };
}

json::value
ReasonOf(std::string_view aFinishReason)
{
  if (aFinishReason.empty()) {
    return nullptr;
  }
  return json::string(aFinishReason);
}

Result<void>
CheckPrompt(RequestKind aKind, const json::object& aBody)
{
  constexpr std::string_view kStep = "call.read";
  if (!IsChat(aKind)) {
    if (!aBody.contains("prompt")) {
      return Fail(
        ErrorCode::kInvalidArgument, kStep, "caller", "'prompt' is absent");
    }
    return {};
  }
  const auto* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->as_array().empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                kStep,
                "caller",
                "'messages' must be a list of one message or more");
  }
  for (const auto& message : messages->as_array()) {
    if (!message.is_object() || !message.as_object().contains("role")) {
      return Fail(ErrorCode::kInvalidArgument,
                  kStep,
                  "caller",
                  "each of 'messages' must be an object with a 'role'");
    }
  }
  return {};
}

} // namespace

std::vector<std::string>
PromptLevels(RequestKind aKind, const json::object& aBody)
{
  std::vector<std::string> levels;
  if (!IsChat(aKind)) {
    if (const auto* prompt = aBody.if_contains("prompt")) {
      levels.push_back(TextOf(*prompt));
    }
    return levels;
  }
  const auto* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return levels;
  }
  for (const auto& message : messages->as_array()) {
    const auto* object = message.if_object();
    if (object == nullptr) {
      continue;
    }
    std::string text;
    for (const std::string_view key : { "role", "content" }) {
      if (const auto* part = object->if_contains(key)) {
        text += TextOf(*part);
      }
      text += '\n';
    }
    levels.push_back(std::move(text));
  }
  return levels;
}

Result<ChatCall>
ReadChatCall(RequestKind aKind, std::string_view aBody)
{
  const auto value = state::ParseJson(aBody, "the body");
  if (!value) {
    return tl::unexpected(value.error());
  }
  const auto* body = value->if_object();
  if (body == nullptr) {
    return Fail(ErrorCode::kInvalidArgument,
                "call.read",
                "caller",
                "the body must be a JSON object");
  }
  if (const auto checked = CheckPrompt(aKind, *body); !checked) {
    return tl::unexpected(checked.error());
  }
  const auto* model = body->if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return Fail(ErrorCode::kInvalidArgument,
                "call.read",
                "caller",
                "'model' must be a text");
  }
  ChatCall call;
  call.mKind = aKind;
  call.mModel = std::string(model->as_string());
  if (const auto* stream = body->if_contains("stream")) {
    call.mIsStream = stream->is_bool() && stream->as_bool();
  }
  if (const auto* options = body->if_contains("stream_options")) {
    const auto* object = options->if_object();
    const auto* usage =
      object == nullptr ? nullptr : object->if_contains("include_usage");
    call.mWantsUsage = usage != nullptr && usage->is_bool() && usage->as_bool();
  }
  call.mLevels = PromptLevels(aKind, *body);
  return call;
}

std::string
WriteChunk(const ResponseMetadata& aMetadata,
           std::string_view aText,
           std::string_view aFinishReason)
{
  json::object choice{ { "index", 0 } };
  if (IsChat(aMetadata.mKind)) {
    json::object delta;
    if (aFinishReason.empty()) {
      delta["role"] = "assistant";
    }
    if (!aText.empty()) {
      delta["content"] = json::string(aText);
    }
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = json::string(aText);
  }
  choice["finish_reason"] = ReasonOf(aFinishReason);
  json::object chunk = Envelope(aMetadata, true);
  chunk["choices"] = json::array{ std::move(choice) };
  return SseEvent(chunk);
}

std::string
WriteUsageChunk(const ResponseMetadata& aMetadata,
                const protocol::Finished& aFinished)
{
  json::object chunk = Envelope(aMetadata, true);
  chunk["choices"] = json::array();
  chunk["usage"] = UsageOf(aFinished);
  return SseEvent(chunk);
}

std::string
WriteFullResponse(const ResponseMetadata& aMetadata,
                  std::string_view aText,
                  const protocol::Finished& aFinished)
{
  json::object choice{ { "index", 0 } };
  if (IsChat(aMetadata.mKind)) {
    choice["message"] = json::object{ { "role", "assistant" },
                                      { "content", json::string(aText) } };
  } else {
    choice["text"] = json::string(aText);
  }
  choice["finish_reason"] = ReasonOf(aFinished.mFinishReason);
  json::object response = Envelope(aMetadata, false);
  response["choices"] = json::array{ std::move(choice) };
  response["usage"] = UsageOf(aFinished);
  return json::serialize(response);
}

std::string
WriteError(const ApiError& aError)
{
  json::object error{ { "message", aError.mMessage },
                      { "type", aError.mType },
                      { "param", nullptr },
                      { "code", aError.mCode } };
  if (!aError.mRunState.empty()) {
    error["run_state"] = aError.mRunState;
  }
  if (aError.mRetryAfterMs > 0) {
    error["retry_after_ms"] = aError.mRetryAfterMs;
  }
  return json::serialize(json::object{ { "error", std::move(error) } });
}

std::string
WriteModels(const std::vector<std::string>& aModels)
{
  json::array data;
  for (const auto& model : aModels) {
    data.push_back(json::object{ { "id", model },
                                 { "object", "model" },
                                 { "created", 0 },
                                 { "owned_by", "shuntjunction" } });
  }
  return json::serialize(
    json::object{ { "object", "list" }, { "data", std::move(data) } });
}

std::optional<state::Priority>
ReadPriorityField(std::string_view aValue)
{
  const std::size_t at = aValue.find("u=");
  if (at == std::string_view::npos || at + 2 >= aValue.size()) {
    return std::nullopt;
  }
  const char urgency = aValue[at + 2];
  if (urgency < '0' || urgency > '7') {
    return std::nullopt;
  }
  if (urgency <= kLastUrgent) {
    return state::Priority::kUrgent;
  }
  return urgency <= kLastPriority ? state::Priority::kPriority
                                  : state::Priority::kOrdinary;
}

} // namespace shuntjunction::coordination
