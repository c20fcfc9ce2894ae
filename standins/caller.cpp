#include "caller.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "answer_text.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/settings.h"

namespace shuntjunction::standins {

namespace json = boost::json;
using state::Millis;
using transport::HttpRequest;
using transport::Task;

namespace {

using SteadyClock = state::BootClock;

constexpr std::size_t kMaxResponseBytes = 64UL * 1024 * 1024;
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "[DONE]";

/// Parses a server-sent event stream incrementally.
class StreamReader
{
public:
  explicit StreamReader(CallOutcome& aOutcome,
                        SteadyClock::time_point aStartedAt)
    : mOutcome(aOutcome)
    , mStartedAt(aStartedAt)
    , mLastTokenAt(aStartedAt)
  {
  }

  void Append(const std::string& aChunk)
  {
    mText += aChunk;
    for (std::size_t end = mText.find(kEventEnd); end != std::string::npos;
         end = mText.find(kEventEnd)) {
      const std::string event = mText.substr(0, end);
      mText.erase(0, end + kEventEnd.size());
      if (event.starts_with(kDataPrefix)) {
        HandleData(event.substr(kDataPrefix.size()));
      }
    }
  }

  bool IsDone() const { return mIsDone && mHasFinishReason; }

private:
  void HandleData(const std::string& aData)
  {
    if (aData == kDone) {
      mIsDone = true;
      return;
    }
    const auto value = state::ParseJson(aData, "event");
    const auto* event = value ? value->if_object() : nullptr;
    if (event == nullptr || event->contains("error")) {
      mOutcome.mBody = aData;
      return;
    }
    const auto& choices = event->at("choices").as_array();
    if (choices.empty()) {
      return;
    }
    const auto& choice = choices.front().as_object();
    mHasFinishReason =
      mHasFinishReason || choice.at("finish_reason").is_string();
    const auto* content = choice.at("delta").as_object().if_contains("content");
    if (content == nullptr || content->as_string().empty()) {
      return;
    }
    const auto now = SteadyClock::now();
    if (mOutcome.mText.empty()) {
      mOutcome.mFirstToken = now - mStartedAt;
    } else {
      mOutcome.mLongestGap = std::max<std::chrono::duration<double>>(
        mOutcome.mLongestGap, now - mLastTokenAt);
    }
    mLastTokenAt = now;
    mOutcome.mText += std::string(content->as_string());
  }

  CallOutcome& mOutcome;
  SteadyClock::time_point mStartedAt;
  SteadyClock::time_point mLastTokenAt;
  std::string mText;
  bool mIsDone = false;
  bool mHasFinishReason = false;
};

std::string
AnswerOfResponse(const std::string& aBody)
{
  const auto value = state::ParseJson(aBody, "answer");
  if (!value || !value->is_object()) {
    return {};
  }
  const auto& choice =
    value->as_object().at("choices").as_array().at(0).as_object();
  return std::string(
    choice.at("message").as_object().at("content").as_string());
}

} // namespace

std::string
ChatBody(const ModelCall& aCall)
{
  json::array messages;
  for (std::size_t i = 0; i < aCall.mLevels.size(); ++i) {
    const bool isLast = i + 1 == aCall.mLevels.size();
    messages.push_back(json::object{ { "role", isLast ? "user" : "system" },
                                     { "content", aCall.mLevels[i] } });
  }
  return json::serialize(json::object{ { "model", aCall.mModel },
                                       { "stream", aCall.mIsStream },
                                       { "max_tokens", aCall.mTokens },
                                       { "messages", std::move(messages) } });
}

Task<CallOutcome>
MakeCall(ModelCall aCall)
{
  CallOutcome outcome;
  const auto address = state::ParseAddress(aCall.mRouter);
  transport::HttpClient client(*address, kMaxResponseBytes);
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/chat/completions";
  request.mContentType = "application/json";
  request.mFields = aCall.mFields;
  request.mFields.push_back({ "authorization", "Bearer " + aCall.mKey });
  request.mBody = ChatBody(aCall);
  const std::string expected = AnswerText(
    aCall.mModel, aCall.mWeights, PromptHash(request.mBody), aCall.mTokens);
  const auto startedAt = SteadyClock::now();
  const auto stream = co_await client.Open(
    std::move(request), aCall.mTimeout, aCall.mTimeout, nullptr);
  if (!stream) {
    outcome.mBody = stream.error().Describe();
    co_return outcome;
  }
  outcome.mStatus = (*stream)->Status();
  outcome.mRunState = (*stream)->Field("x-run-state");
  outcome.mHasRetryAfter = !(*stream)->Field("retry-after").empty();
  StreamReader reader(outcome, startedAt);
  std::string body;
  bool isAborted = false;
  while (true) {
    const auto chunk = co_await (*stream)->Read(aCall.mTimeout);
    if (!chunk || chunk->empty()) {
      isAborted = !chunk;
      break;
    }
    if (outcome.mStatus == 200 && aCall.mIsStream) {
      reader.Append(*chunk);
    } else {
      body += *chunk;
    }
    if (aCall.mReadPause > Millis(0)) {
      co_await transport::Sleep(aCall.mReadPause);
    }
  }
  outcome.mTotalTime = SteadyClock::now() - startedAt;
  if (outcome.mStatus != 200) {
    outcome.mEnd = isAborted ? CallEnd::kNoConnection : CallEnd::kRefused;
    outcome.mBody = body;
    co_return outcome;
  }
  bool looksComplete = !isAborted;
  if (aCall.mIsStream) {
    looksComplete = looksComplete && reader.IsDone();
  } else if (looksComplete) {
    outcome.mText = AnswerOfResponse(body);
    outcome.mFirstToken = outcome.mTotalTime;
  }
  if (!looksComplete) {
    outcome.mEnd = CallEnd::kIncomplete;
  } else {
    outcome.mEnd =
      outcome.mText == expected ? CallEnd::kComplete : CallEnd::kWrong;
  }
  co_return outcome;
}

std::vector<CallOutcome>
MakeCalls(const std::vector<ModelCall>& aCalls,
          Millis aDelay,
          const std::function<void()>& aAction)
{
  boost::asio::io_context context(1);
  std::vector<CallOutcome> outcomes(aCalls.size());
  const auto run = [](ModelCall aCall, CallOutcome* aOutcome) -> Task<void> {
    *aOutcome = co_await MakeCall(std::move(aCall));
  };
  for (std::size_t i = 0; i < aCalls.size(); ++i) {
    transport::Spawn(context, run(aCalls[i], &outcomes[i]));
  }
  transport::Timer timer(context, aDelay);
  timer.async_wait([&](auto) { aAction(); });
  context.run();
  return outcomes;
}

} // namespace shuntjunction::standins
