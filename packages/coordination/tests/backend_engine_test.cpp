#include "shuntjunction/coordination/backend.h"

#include <gtest/gtest.h>

#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/http_server.h"
#include "shuntjunction/transport/run_task.h"

// Tests how the events of an engine's stream are read.

namespace shuntjunction::coordination {
namespace {

using state::Millis;
using transport::HttpExchange;
using transport::HttpResponse;
using transport::Task;

/// An engine that sends the pieces of one stream.
class OneStream final : public transport::HttpHandler
{
public:
  Task<void> Handle(HttpExchange& aExchange) override
  {
    const HttpResponse head;
    co_await aExchange.BeginStream(head);
    for (std::size_t i = 0; i < mPieces.size(); ++i) {
      std::string piece = mPieces[i];
      co_await aExchange.Write(std::move(piece));
      co_await transport::Sleep(Millis(5));
    }
    co_await aExchange.EndStream();
  }

  HttpResponse Refusal(unsigned aStatus, std::string_view /*aText*/) override
  {
    HttpResponse response;
    response.mStatus = aStatus;
    return response;
  }

  std::vector<std::string> mPieces;
};

class GivenAnEngine : public ::testing::Test
{
protected:
  GivenAnEngine()
  {
    mServer = std::make_unique<transport::HttpServer>(
      mContext, state::LimitSettings{}, mHandler);
    const auto address = mServer->Start({ "127.0.0.1", 0 });
    constexpr std::size_t kMaxBytes = 1024;
    mBackend =
      MakeEngineBackend(*address, state::CompanionSettings{}, kMaxBytes);
  }

  /// Text of the stream; empty if it is interrupted.
  std::string Ask()
  {
    const auto ask = [](Backend* aBackend) -> Task<std::string> {
      BackendCall call;
      auto response = co_await aBackend->Open(std::move(call));
      std::string text;
      while (response) {
        const auto event = co_await (*response)->Next(Millis(2000));
        const auto* tokens =
          event ? std::get_if<BackendTokens>(&*event) : nullptr;
        if (tokens == nullptr) {
          co_return event ? text : "";
        }
        text += tokens->mText;
      }
      co_return "";
    };
    return transport::RunTask(mContext, ask(mBackend.get()));
  }

  static std::string Chunk(const std::string& aText, const std::string& aEnd)
  {
    return R"(data: {"choices":[{"text":")" + aText +
           R"(","finish_reason":"stop"}]})" + aEnd + aEnd;
  }

  transport::asio::io_context mContext{ 1 };
  OneStream mHandler;
  std::unique_ptr<transport::HttpServer> mServer;
  std::unique_ptr<Backend> mBackend;
};

// Guards against a stream that is read to its end before any event is found.
TEST_F(GivenAnEngine, EventsAreReadWhateverTheirLineEnds)
{
  const std::vector<std::string> ends{ "\n", "\r\n", "\r" };
  for (const auto& end : ends) {
    SCOPED_TRACE(end.size());
    mHandler.mPieces = { Chunk("a", end),
                         ": still here" + end + Chunk("b", end),
                         "data: [DONE]" + end + end };
    EXPECT_EQ(Ask(), "ab");
  }
}

TEST_F(GivenAnEngine, ALineEndMayArriveInTwoPieces)
{
  const auto chunk = Chunk("a", "\r\n");
  mHandler.mPieces = { chunk.substr(0, chunk.size() - 1),
                       "\n" + Chunk("b", "\r\n"),
                       "data: [DONE]\r\n\r\n" };
  EXPECT_EQ(Ask(), "ab");
}

TEST_F(GivenAnEngine, AStreamWithoutItsEndMarkIsInterrupted)
{
  mHandler.mPieces = { Chunk("a", "\n"), "data: [DO" };
  EXPECT_EQ(Ask(), "");
}

} // namespace
} // namespace shuntjunction::coordination
