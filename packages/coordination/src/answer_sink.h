#pragma once

// Private to the coordination package.

#include <string>

#include "shuntjunction/coordination/chat_api.h"
#include "shuntjunction/transport/http_server.h"

namespace shuntjunction::coordination {

/// Where a request's answer goes, in the form that its caller asked for.
class AnswerSink
{
public:
  virtual ~AnswerSink() = default;

  /// Takes the next tokens of the answer.
  virtual transport::Task<state::Result<void>> Tokens(std::string aText) = 0;

  /// Ends a complete answer.
  virtual transport::Task<void> Finish(protocol::Finished aFinished) = 0;

  /// Ends in an error, which never looks like a complete answer.
  virtual transport::Task<void> Fail(ApiError aError) = 0;
};

/// The HTTP response of an error.
transport::HttpResponse
ErrorResponse(const ApiError& aError, std::string_view aRequestId);

/// An answer as server-sent events, each sent as it comes.
std::unique_ptr<AnswerSink>
MakeStreamSink(transport::HttpExchange& aExchange,
               ResponseMetadata aHead,
               bool aWantsUsage);

/// An answer of a model as one JSON object.
std::unique_ptr<AnswerSink>
MakeBufferedSink(transport::HttpExchange& aExchange, ResponseMetadata aHead);

/// The answer of a plain service, passed on as it came.
std::unique_ptr<AnswerSink>
MakeServiceSink(transport::HttpExchange& aExchange, std::string aRequestId);

} // namespace shuntjunction::coordination
