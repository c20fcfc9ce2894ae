#include "answer_sink.h"

namespace shuntjunction::coordination {

using state::Result;
using transport::HttpExchange;
using transport::HttpResponse;
using transport::Task;

namespace {

constexpr std::string_view kRequestIdField = "x-request-id";
constexpr unsigned kMillisPerSecond = 1000;

class StreamSink final : public AnswerSink
{
public:
  StreamSink(HttpExchange& aExchange, ResponseMetadata aHead, bool aWantsUsage)
    : mExchange(aExchange)
    , mHead(std::move(aHead))
    , mWantsUsage(aWantsUsage)
  {
  }

  Task<Result<void>> WriteTokens(std::string aText) override
  {
    const auto begun = co_await Begin();
    if (!begun) {
      co_return begun;
    }
    co_return co_await mExchange.Write(WriteChunk(mHead, aText, {}));
  }

  Task<void> Finish(protocol::Finished aFinished) override
  {
    std::string tail = WriteChunk(mHead, {}, aFinished.mFinishReason);
    if (mWantsUsage) {
      tail += WriteUsageChunk(mHead, aFinished);
    }
    tail += kStreamEnd;
    const auto begun = co_await Begin();
    const auto written = co_await mExchange.Write(std::move(tail));
    if (begun && written) {
      co_await mExchange.EndStream();
    } else {
      mExchange.Abort();
    }
  }

  Task<void> Fail(ApiError aError) override
  {
    if (!mIsBegun) {
      co_await mExchange.Respond(ErrorResponse(aError, mHead.mId));
      co_return;
    }
    // Without end marker and last chunk it cannot be taken for a complete
    // answer.
    co_await mExchange.Write("data: " + WriteError(aError) + "\n\n");
    mExchange.Abort();
  }

private:
  Task<Result<void>> Begin()
  {
    if (std::exchange(mIsBegun, true)) {
      co_return Result<void>{};
    }
    HttpResponse header;
    header.mContentType = "text/event-stream";
    header.mFields = { { std::string(kRequestIdField), mHead.mId },
                       { "cache-control", "no-cache" } };
    co_return co_await mExchange.BeginStream(std::move(header));
  }

  HttpExchange& mExchange;
  ResponseMetadata mHead;
  bool mWantsUsage;
  bool mIsBegun = false;
};

class BufferedSink final : public AnswerSink
{
public:
  BufferedSink(HttpExchange& aExchange, ResponseMetadata aHead)
    : mExchange(aExchange)
    , mHead(std::move(aHead))
  {
  }

  Task<Result<void>> WriteTokens(std::string aText) override
  {
    mText += aText;
    co_return Result<void>{};
  }

  Task<void> Finish(protocol::Finished aFinished) override
  {
    HttpResponse response;
    response.mFields = { { std::string(kRequestIdField), mHead.mId } };
    response.mBody = WriteFullResponse(mHead, mText, aFinished);
    co_await mExchange.Respond(std::move(response));
  }

  Task<void> Fail(ApiError aError) override
  {
    co_await mExchange.Respond(ErrorResponse(aError, mHead.mId));
  }

private:
  HttpExchange& mExchange;
  ResponseMetadata mHead;
  std::string mText;
};

class ServiceSink final : public AnswerSink
{
public:
  ServiceSink(HttpExchange& aExchange, std::string aRequestId)
    : mExchange(aExchange)
    , mRequestId(std::move(aRequestId))
  {
  }

  Task<Result<void>> WriteTokens(std::string /*aText*/) override
  {
    co_return Result<void>{};
  }

  Task<void> Finish(protocol::Finished aFinished) override
  {
    HttpResponse response;
    response.mStatus = aFinished.mStatus;
    response.mContentType = aFinished.mContentType;
    response.mFields = { { std::string(kRequestIdField), mRequestId } };
    if (aFinished.mIsReplayed) {
      response.mFields.push_back({ "idempotent-replayed", "true" });
    }
    response.mBody = std::move(aFinished.mBody);
    co_await mExchange.Respond(std::move(response));
  }

  Task<void> Fail(ApiError aError) override
  {
    co_await mExchange.Respond(ErrorResponse(aError, mRequestId));
  }

private:
  HttpExchange& mExchange;
  std::string mRequestId;
};

} // namespace

HttpResponse
ErrorResponse(const ApiError& aError, std::string_view aRequestId)
{
  HttpResponse response;
  response.mStatus = aError.mStatus;
  response.mFields = { { std::string(kRequestIdField),
                         std::string(aRequestId) } };
  if (aError.mRetryAfterMs > 0) {
    const auto seconds =
      (aError.mRetryAfterMs + kMillisPerSecond - 1) / kMillisPerSecond;
    response.mFields.push_back({ "retry-after", std::to_string(seconds) });
    response.mFields.push_back(
      { "retry-after-ms", std::to_string(aError.mRetryAfterMs) });
  }
  if (!aError.mRunState.empty()) {
    response.mFields.push_back({ "x-run-state", aError.mRunState });
  }
  response.mBody = WriteError(aError);
  return response;
}

std::unique_ptr<AnswerSink>
MakeStreamSink(HttpExchange& aExchange,
               ResponseMetadata aHead,
               bool aWantsUsage)
{
  return std::make_unique<StreamSink>(aExchange, std::move(aHead), aWantsUsage);
}

std::unique_ptr<AnswerSink>
MakeBufferedSink(HttpExchange& aExchange, ResponseMetadata aHead)
{
  return std::make_unique<BufferedSink>(aExchange, std::move(aHead));
}

std::unique_ptr<AnswerSink>
MakeServiceSink(HttpExchange& aExchange, std::string aRequestId)
{
  return std::make_unique<ServiceSink>(aExchange, std::move(aRequestId));
}

} // namespace shuntjunction::coordination
