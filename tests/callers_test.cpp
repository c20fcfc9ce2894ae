// The caller API of a router: valid requests, and a specific error for each
// kind of invalid request, for a rate limit and for a missed deadline.

#include "given_a_fleet.h"

namespace shuntjunction::standins {
namespace {

class GivenACaller : public GivenAFleet
{
protected:
  static transport::HttpRequest Chat(const std::string& aBody)
  {
    transport::HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = "/v1/chat/completions";
    request.mContentType = "application/json";
    request.mBody = aBody;
    return request;
  }

  void ExpectError(const transport::HttpResponse& aAnswer,
                   unsigned aStatus,
                   const std::string& aCode)
  {
    EXPECT_EQ(aAnswer.mStatus, aStatus) << aAnswer.mBody;
    EXPECT_NE(aAnswer.mBody.find("\"code\":\"" + aCode + "\""),
              std::string::npos)
      << aAnswer.mBody;
  }

  static constexpr const char* kGood =
    R"({"model":"crew-notes","max_tokens":3,
        "messages":[{"role":"user","content":"hello"}]})";
};

TEST_F(GivenACaller, ChatAndTextCompletionsAreAnsweredWithUsage)
{
  const auto chat = Send("router-1", Chat(kGood));
  EXPECT_EQ(chat.mStatus, 200U) << chat.mBody;
  EXPECT_NE(chat.mBody.find("\"completion_tokens\":3"), std::string::npos);
  EXPECT_NE(Field(chat, "x-request-id"), "");
  auto completion = Chat(R"({"model":"crew-notes","max_tokens":3,
                             "prompt":"hello"})");
  completion.mTarget = "/v1/completions";
  const auto text = Send("router-1", completion);
  EXPECT_EQ(text.mStatus, 200U) << text.mBody;
  EXPECT_NE(text.mBody.find("text_completion"), std::string::npos);
}

TEST_F(GivenACaller, ModelsAreListed)
{
  transport::HttpRequest request;
  request.mTarget = "/v1/models";
  const auto answer = Send("router-1", request);
  EXPECT_NE(answer.mBody.find("\"id\":\"crew-notes\""), std::string::npos);
}

TEST_F(GivenACaller, EachInvalidRequestGetsASpecificError)
{
  ExpectError(Send("router-1", Chat(kGood), "wrong"), 401, "invalid_key");
  const auto none =
    Fleet::Call(mFleet.Process("router-1").mTraffic, Chat(kGood));
  ExpectError(*none, 401, "missing_key");
  ExpectError(Send("router-1", Chat("{\"model\":")), 400, "invalid_body");
  ExpectError(Send("router-1", Chat("[]")), 400, "invalid_body");
  ExpectError(Send("router-1", Chat(R"({"messages":[{"role":"user"}]})")),
              400,
              "invalid_body");
  ExpectError(
    Send("router-1", Chat(R"({"model":"crew-notes"})")), 400, "invalid_body");
  ExpectError(Send("router-1", Chat(R"({"model":"none",
                "messages":[{"role":"user","content":"x"}]})")),
              404,
              "model_not_found");
  auto priority = Chat(kGood);
  priority.mFields = { { "priority", "u=9" } };
  ExpectError(Send("router-1", priority), 400, "invalid_header");
  auto timeout = Chat(kGood);
  timeout.mFields = { { "x-request-timeout-ms", "soon" } };
  ExpectError(Send("router-1", timeout), 400, "invalid_header");
  auto unknown = Chat(kGood);
  unknown.mTarget = "/v1/embeddings";
  ExpectError(Send("router-1", unknown), 404, "unknown_path");
  auto service = Chat(kGood);
  service.mTarget = "/services/none/x";
  ExpectError(Send("router-1", service), 404, "service_not_found");
  auto model = Chat(kGood);
  model.mFields = { { "x-template", "none" } };
  ExpectError(Send("router-1", model), 400, "unknown_template");
}

// Guards against a time limit that overflows and has passed at once.
TEST_F(GivenACaller, ATimeLimitBeyondAnyIsTheLongest)
{
  for (const char* field : { "x-request-timeout-ms", "x-stainless-timeout" }) {
    SCOPED_TRACE(field);
    auto chat = Chat(kGood);
    chat.mFields = { { field, "9223372036854775807" } };
    EXPECT_EQ(Send("router-1", chat).mStatus, 200U);
  }
}

TEST_F(GivenACaller, AnOversizedHeaderIsRefusedAndAffectsNoOthers)
{
  auto request = Chat(kGood);
  request.mFields = { { "x-long", std::string(32000, 'x') } };
  EXPECT_EQ(Send("router-1", request).mStatus, 431U);
  EXPECT_EQ(Send("router-1", Chat(kGood)).mStatus, 200U);
}

TEST_F(GivenACaller, ATeamOverItsLimitIsToldWhenToRetry)
{
  mFleet.Apply("config/teams/south",
               R"({"keyDigests":[")" + KeyDigest("south-key") +
                 R"("],"limit":{"requestsPerSecond":0.2,"burst":2}})");
  transport::HttpResponse answer;
  for (int i = 0; i < 2000 && answer.mStatus != 429; ++i) {
    answer = Send("router-1", Chat(kGood), "south-key");
  }
  ExpectError(answer, 429, "rate_limited");
  EXPECT_EQ(Field(answer, "x-run-state"), "not-run");
  EXPECT_NE(Field(answer, "retry-after"), "");
  {
    SCOPED_TRACE("the other team is not affected");
    EXPECT_EQ(Send("router-1", Chat(kGood)).mStatus, 200U);
  }
}

class WithOneBusyEndpoint : public GivenACaller
{
protected:
  std::vector<std::string> EngineOptions() override
  {
    return { "--slots", "1", "--micros-per-block", "60000" };
  }
};

TEST_F(WithOneBusyEndpoint, RequestsThatWouldMissTheirDeadlineAreRefused)
{
  auto calls = Calls(30);
  for (std::size_t i = 0; i < calls.size(); ++i) {
    calls[i].mTokens = 2;
    calls[i].mLevels[0] = "rules " + std::to_string(i) + std::string(8000, 'r');
    calls[i].mFields = { { "x-request-timeout-ms", "4000" } };
  }
  int complete = 0;
  for (const auto& outcome : MakeCalls(calls)) {
    if (outcome.mEnd == CallEnd::kComplete) {
      ++complete;
      continue;
    }
    EXPECT_EQ(outcome.mEnd, CallEnd::kRefused) << outcome.mBody;
    EXPECT_TRUE(outcome.mHasRetryAfter) << outcome.mBody;
  }
  EXPECT_GT(complete, 0);
  EXPECT_LT(complete, 30);
}

} // namespace
} // namespace shuntjunction::standins
