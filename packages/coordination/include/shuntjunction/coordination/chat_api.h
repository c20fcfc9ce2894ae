#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/error.h"
#include "shuntjunction/state/request_types.h"

/// The callers' API, compatible with existing client libraries.
namespace shuntjunction::coordination {

/// The fields of a chat or text completion request that a router uses.
struct ChatCall
{
  state::RequestKind mKind = state::RequestKind::kChat;
  std::string mModel;
  bool mIsStream = false;
  bool mWantsUsage = false;         ///< stream_options.include_usage
  std::vector<std::string> mLevels; ///< text of each prompt level
};

/// Parses a request body.
state::Result<ChatCall>
ReadChatCall(state::RequestKind aKind, std::string_view aBody);

/// Text of each prompt level: one per message, or one for a text prompt.
std::vector<std::string>
PromptLevels(state::RequestKind aKind, const boost::json::object& aBody);

/// Fields that all chunks of one response share.
struct ResponseMetadata
{
  state::RequestKind mKind = state::RequestKind::kChat;
  std::string mId;
  std::string mModel;
  std::int64_t mCreated = 0; ///< seconds since the Unix epoch
};

/// Serializes a chunk of a streamed response as a server-sent event.
std::string
WriteChunk(const ResponseMetadata& aMetadata,
           std::string_view aText,
           std::string_view aFinishReason);

/// Serializes the chunk with the usage counts as a server-sent event.
std::string
WriteUsageChunk(const ResponseMetadata& aMetadata,
                const protocol::Finished& aFinished);

/// The last event of a complete stream.
inline constexpr std::string_view kStreamEnd = "data: [DONE]\n\n";

/// Serializes a complete response that is not streamed.
std::string
WriteFullResponse(const ResponseMetadata& aMetadata,
                  std::string_view aText,
                  const protocol::Finished& aFinished);

/// An error response.
struct ApiError
{
  unsigned mStatus = 500;
  std::string mType;     ///< e.g. "invalid_request_error"
  std::string mCode;     ///< e.g. "not_run"
  std::string mMessage;  ///< one sentence
  std::string mRunState; ///< name of a RunState; empty if not applicable
  std::uint32_t mRetryAfterMs = 0; ///< advised delay of a retry; 0 if none
};

/// Serializes an error object in the format that client libraries expect.
std::string
WriteError(const ApiError& aError);

/// Serializes the list of models.
std::string
WriteModels(const std::vector<std::string>& aModels);

/// Priority class for a Priority header field (RFC 9218, "u=0" to "u=7").
///
/// @return empty if the field contains no valid urgency
std::optional<state::Priority>
ReadPriorityField(std::string_view aValue);

} // namespace shuntjunction::coordination
