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

constexpr std::size_t kMaxAnswerBytes = 64UL * 1024 * 1024;
constexpr std::string_view kData = "data: ";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "[DONE]";

/// Reads a streamed answer event by event.
class StreamReader
{
public:
  explicit StreamReader(CallerOutcome& aOutcome, SteadyClock::time_point aBegun)
    : mOutcome(aOutcome)
    , mBegun(aBegun)
    , mLast(aBegun)
  {
  }

  void Take(const std::string& aPiece)
  {
    mText += aPiece;
    for (std::size_t end = mText.find(kEventEnd); end != std::string::npos;
         end = mText.find(kEventEnd)) {
      const std::string event = mText.substr(0, end);
      mText.erase(0, end + kEventEnd.size());
      if (event.starts_with(kData)) {
        TakeData(event.substr(kData.size()));
      }
    }
  }

  bool IsDone() const { return mIsDone && mHasReason; }

private:
  void TakeData(const std::string& aData)
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
    mHasReason = mHasReason || choice.at("finish_reason").is_string();
    const auto* content = choice.at("delta").as_object().if_contains("content");
    if (content == nullptr || content->as_string().empty()) {
      return;
    }
    const auto now = SteadyClock::now();
    if (mOutcome.mText.empty()) {
      mOutcome.mFirstToken = now - mBegun;
    } else {
      mOutcome.mLongestGap = std::max<std::chrono::duration<double>>(
        mOutcome.mLongestGap, now - mLast);
    }
    mLast = now;
    mOutcome.mText += std::string(content->as_string());
  }

  CallerOutcome& mOutcome;
  SteadyClock::time_point mBegun;
  SteadyClock::time_point mLast;
  std::string mText;
  bool mIsDone = false;
  bool mHasReason = false;
};

std::string
TextOfWhole(const std::string& aBody)
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
ChatBody(const CallerCall& aCall)
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

Task<CallerOutcome>
MakeCall(CallerCall aCall)
{
  CallerOutcome outcome;
  const auto address = state::ParseAddress(aCall.mRouter);
  transport::HttpClient client(*address, kMaxAnswerBytes);
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/v1/chat/completions";
  request.mContentType = "application/json";
  request.mFields = aCall.mFields;
  request.mFields.push_back({ "authorization", "Bearer " + aCall.mKey });
  request.mBody = ChatBody(aCall);
  const std::string expected = AnswerText(
    aCall.mModel, aCall.mWeights, PromptHash(request.mBody), aCall.mTokens);
  const auto begun = SteadyClock::now();
  const auto stream = co_await client.Open(
    std::move(request), aCall.mTimeout, aCall.mTimeout, nullptr);
  if (!stream) {
    outcome.mBody = stream.error().Describe();
    co_return outcome;
  }
  outcome.mStatus = (*stream)->Status();
  outcome.mRunState = (*stream)->Field("x-run-state");
  outcome.mHasRetryAfter = !(*stream)->Field("retry-after").empty();
  StreamReader reader(outcome, begun);
  std::string whole;
  bool isCut = false;
  while (true) {
    const auto piece = co_await (*stream)->Read(aCall.mTimeout);
    if (!piece || piece->empty()) {
      isCut = !piece;
      break;
    }
    if (outcome.mStatus == 200 && aCall.mIsStream) {
      reader.Take(*piece);
    } else {
      whole += *piece;
    }
    if (aCall.mReadPause > Millis(0)) {
      co_await transport::Sleep(aCall.mReadPause);
    }
  }
  outcome.mWholeTime = SteadyClock::now() - begun;
  if (outcome.mStatus != 200) {
    outcome.mEnd = isCut ? CallerEnd::kNoConnection : CallerEnd::kRefused;
    outcome.mBody = whole;
    co_return outcome;
  }
  bool looksWhole = !isCut;
  if (aCall.mIsStream) {
    looksWhole = looksWhole && reader.IsDone();
  } else if (looksWhole) {
    outcome.mText = TextOfWhole(whole);
    outcome.mFirstToken = outcome.mWholeTime;
  }
  if (!looksWhole) {
    outcome.mEnd = CallerEnd::kBroken;
  } else {
    outcome.mEnd =
      outcome.mText == expected ? CallerEnd::kWhole : CallerEnd::kWrong;
  }
  co_return outcome;
}

std::vector<CallerOutcome>
MakeCalls(const std::vector<CallerCall>& aCalls,
          Millis aWhen,
          const std::function<void()>& aMeanwhile)
{
  boost::asio::io_context context(1);
  std::vector<CallerOutcome> outcomes(aCalls.size());
  const auto run = [](CallerCall aCall, CallerOutcome* aOutcome) -> Task<void> {
    *aOutcome = co_await MakeCall(std::move(aCall));
  };
  for (std::size_t i = 0; i < aCalls.size(); ++i) {
    transport::Spawn(context, run(aCalls[i], &outcomes[i]));
  }
  transport::Timer timer(context, aWhen);
  timer.async_wait([&](auto) { aMeanwhile(); });
  context.run();
  return outcomes;
}

} // namespace shuntjunction::standins
