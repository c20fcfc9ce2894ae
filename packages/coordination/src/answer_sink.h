#pragma once

// Private to the coordination package.

#include <string>

#include "shuntjunction/coordination/chat_api.h"
#include "shuntjunction/transport/http_server.h"

namespace shuntjunction::coordination {

/// Writes a request's answer in the form that its caller asked for.
class AnswerSink
{
public:
  virtual ~AnswerSink() = default;

  /// Writes the next tokens of the answer.
  virtual transport::Task<state::Result<void>> WriteTokens(
    std::string aText) = 0;

  /// Completes the answer.
  virtual transport::Task<void> Finish(protocol::Finished aFinished) = 0;

  /// Ends the answer in an error, which never looks like a complete answer.
  virtual transport::Task<void> Fail(ApiError aError) = 0;
};

/// The HTTP response for an error.
transport::HttpResponse
ErrorResponse(const ApiError& aError, std::string_view aRequestId);

/// Sends an answer as server-sent events, each as it arrives.
std::unique_ptr<AnswerSink>
MakeStreamSink(transport::HttpExchange& aExchange,
               ResponseMetadata aHead,
               bool aWantsUsage);

/// Sends the answer of a model as one JSON object.
std::unique_ptr<AnswerSink>
MakeBufferedSink(transport::HttpExchange& aExchange, ResponseMetadata aHead);

/// Forwards the answer of a plain service as it came.
std::unique_ptr<AnswerSink>
MakeServiceSink(transport::HttpExchange& aExchange, std::string aRequestId);

} // namespace shuntjunction::coordination
