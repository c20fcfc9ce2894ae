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
    for (const auto& piece : mPieces) {
      std::string copy = piece;
      co_await aExchange.Write(std::move(copy));
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

  /// What was read of a stream.
  struct Reading
  {
    std::string mText;
    bool mHasEnded = false; ///< false: it was interrupted
  };

  Reading Read()
  {
    const auto read = [](Backend* aBackend) -> Task<Reading> {
      BackendCall call;
      auto response = co_await aBackend->Open(std::move(call));
      Reading reading;
      while (response) {
        const auto event = co_await (*response)->Next(Millis(2000));
        const auto* tokens =
          event ? std::get_if<BackendTokens>(&*event) : nullptr;
        if (tokens == nullptr) {
          reading.mHasEnded = event.has_value();
          break;
        }
        reading.mText += tokens->mText;
      }
      co_return reading;
    };
    return transport::RunTask(mContext, read(mBackend.get()));
  }

  /// An event; `aEnd` ends each of its lines.
  static std::string Event(std::string aLine, const std::string& aEnd)
  {
    return aLine.append(aEnd).append(aEnd);
  }

  static std::string Chunk(std::string_view aText, const std::string& aEnd)
  {
    std::string line = R"(data: {"choices":[{"text":")";
    line.append(aText).append(R"(","finish_reason":"stop"}]})");
    return Event(std::move(line), aEnd);
  }

  static std::string Comment(const std::string& aEnd)
  {
    return std::string(": still here").append(aEnd);
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
                         Comment(end).append(Chunk("b", end)),
                         Event("data: [DONE]", end) };
    const auto reading = Read();
    EXPECT_EQ(reading.mText, "ab");
    EXPECT_TRUE(reading.mHasEnded);
  }
}

TEST_F(GivenAnEngine, ALineEndMayArriveInTwoPieces)
{
  const auto chunk = Chunk("a", "\r\n");
  mHandler.mPieces = { chunk.substr(0, chunk.size() - 1),
                       "\n" + Chunk("b", "\r\n"),
                       Event("data: [DONE]", "\r\n") };
  const auto reading = Read();
  EXPECT_EQ(reading.mText, "ab");
  EXPECT_TRUE(reading.mHasEnded);
}

TEST_F(GivenAnEngine, AStreamWithoutItsEndMarkIsInterrupted)
{
  mHandler.mPieces = { Chunk("a", "\n"), "data: [DO" };
  const auto reading = Read();
  EXPECT_EQ(reading.mText, "a");
  EXPECT_FALSE(reading.mHasEnded);
}

} // namespace
} // namespace shuntjunction::coordination
