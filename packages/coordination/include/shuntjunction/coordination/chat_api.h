#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/error.h"
#include "shuntjunction/state/request_types.h"

/// The callers' API as existing client libraries expect it.
namespace shuntjunction::coordination {

/// What a router needs to know of a chat or text completion call.
struct ChatCall
{
  state::RequestKind mKind = state::RequestKind::kChat;
  std::string mModel;
  bool mIsStream = false;
  bool mWantsUsage = false;         ///< stream_options.include_usage
  std::vector<std::string> mLevels; ///< texts of the prompt's levels
};

/// Reads the body of a call.
state::Result<ChatCall>
ReadChatCall(state::RequestKind aKind, std::string_view aBody);

/// Texts of the levels of a prompt: one a message, or one of a text prompt.
std::vector<std::string>
PromptLevels(state::RequestKind aKind, const boost::json::object& aBody);

/// What all parts of one answer have in common.
struct ResponseMetadata
{
  state::RequestKind mKind = state::RequestKind::kChat;
  std::string mId;
  std::string mModel;
  std::int64_t mCreated = 0; ///< seconds since the Unix epoch
};

/// One piece of a streamed answer, as a server-sent event.
std::string
WriteChunk(const ResponseMetadata& aHead,
           std::string_view aText,
           std::string_view aFinishReason);

/// The piece that carries the usage counts, as a server-sent event.
std::string
WriteUsageChunk(const ResponseMetadata& aHead,
                const protocol::Finished& aFinished);

/// Last event of a complete stream.
inline constexpr std::string_view kStreamEnd = "data: [DONE]\n\n";

/// A whole answer.
std::string
WriteFullResponse(const ResponseMetadata& aHead,
                  std::string_view aText,
                  const protocol::Finished& aFinished);

/// Why a request got no answer.
struct ApiError
{
  unsigned mStatus = 500;
  std::string mType;     ///< as "invalid_request_error"
  std::string mCode;     ///< as "not_run"
  std::string mMessage;  ///< one sentence
  std::string mRunState; ///< name of a RunState; empty when it says nothing
  std::uint32_t mRetryAfterMs = 0; ///< when to come back; 0 when not to
};

/// The error object that client libraries expect.
std::string
WriteError(const ApiError& aError);

/// The list of models.
std::string
WriteModels(const std::vector<std::string>& aModels);

/// Class of a request by its Priority field (RFC 9218, "u=0" to "u=7").
///
/// @return empty when the field names no urgency
std::optional<state::Priority>
ReadPriorityField(std::string_view aValue);

} // namespace shuntjunction::coordination
