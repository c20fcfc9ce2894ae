#include "shuntjunction/coordination/backend.h"

#include <gtest/gtest.h>

#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/http_server.h"
#include "shuntjunction/transport/run_task.h"

// Tests answers of a plain service whose end is that of their connection.

namespace shuntjunction::coordination {
namespace {

using state::Millis;
using state::Result;
using transport::HttpExchange;
using transport::HttpResponse;
using transport::Task;

/// A service with one answer; it may stop listening before the answer ends.
class OneAnswer final : public transport::HttpHandler
{
public:
  Task<void> Handle(HttpExchange& aExchange) override
  {
    if (mStopsListening) {
      mStopsListening();
    }
    const HttpResponse answer = mAnswer;
    co_await aExchange.Respond(answer);
  }

  HttpResponse Refusal(unsigned aStatus, std::string_view /*aText*/) override
  {
    HttpResponse response;
    response.mStatus = aStatus;
    return response;
  }

  HttpResponse mAnswer;
  std::function<void()> mStopsListening;
};

class GivenAServiceWithoutLengths : public ::testing::Test
{
protected:
  GivenAServiceWithoutLengths()
  {
    mHandler.mAnswer.mEndsWithConnection = true;
    mServer = std::make_unique<transport::HttpServer>(
      mContext, state::LimitSettings{}, mHandler);
    const auto address = mServer->Start({ "127.0.0.1", 0 });
    constexpr std::size_t kMaxBytes = 1024;
    mBackend =
      MakeServiceBackend(*address, state::CompanionSettings{}, kMaxBytes);
  }

  /// Body of the service's answer; empty if the answer is interrupted.
  std::string Ask()
  {
    const auto ask = [](Backend* aBackend) -> Task<std::string> {
      BackendCall call;
      call.mSubmit.mMethod = "GET";
      call.mSubmit.mTarget = "/";
      auto response = co_await aBackend->Open(std::move(call));
      if (!response) {
        co_return "";
      }
      const auto event = co_await (*response)->Next(Millis(2000));
      co_return event ? std::get<BackendEnd>(*event).mBody : "";
    };
    return transport::RunTask(mContext, ask(mBackend.get()));
  }

  transport::asio::io_context mContext{ 1 };
  OneAnswer mHandler;
  std::unique_ptr<transport::HttpServer> mServer;
  std::unique_ptr<Backend> mBackend;
};

TEST_F(GivenAServiceWithoutLengths, AWholeAnswerIsReturned)
{
  mHandler.mAnswer.mBody = "{}";
  EXPECT_EQ(Ask(), "{}");
}

// Guards against a cut answer that is returned as a complete one.
TEST_F(GivenAServiceWithoutLengths, AnAnswerWithIncompleteJsonIsInterrupted)
{
  mHandler.mAnswer.mBody = "{\"a\": ";
  EXPECT_EQ(Ask(), "");
}

TEST_F(GivenAServiceWithoutLengths, SoIsOneAfterWhichNothingListens)
{
  mHandler.mAnswer.mContentType = "text/plain";
  mHandler.mAnswer.mBody = "half";
  mHandler.mStopsListening = [this] { mServer->Stop(); };
  EXPECT_EQ(Ask(), "");
}

} // namespace
} // namespace shuntjunction::coordination
