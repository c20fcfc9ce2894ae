#include "shuntjunction/transport/relay_message.h"

#include <gtest/gtest.h>

// Tests responses without end, and announced lengths: each parser state stops
// at a bounded size.

namespace shuntjunction::transport {
namespace {

constexpr std::size_t kReadAhead = 64UL * 1024;

/// A connection's buffer before a reader, filled in pieces.
class Feed
{
public:
  /// Feeds a pattern until the reader refuses it or aMaxBytes were fed;
  /// returns the last status.
  ParseStatus Repeat(const std::string& aPattern, std::size_t aMaxBytes)
  {
    auto status = ParseStatus::kNeedMore;
    std::size_t fed = 0;
    while (fed < aMaxBytes && status != ParseStatus::kMalformed &&
           mBuffer.size() < kReadAhead) {
      mBuffer += aPattern.substr(0, kReadAhead - mBuffer.size());
      fed += aPattern.size();
      status = Parse();
    }
    return status;
  }

  ParseStatus Put(const std::string& aText)
  {
    mBuffer += aText;
    return Parse();
  }

  RelayResponseReader& Reader() { return mReader; }

private:
  ParseStatus Parse()
  {
    auto status = ParseStatus::kNeedMore;
    std::size_t consumed = 0;
    do {
      status = mReader.Put(mBuffer, consumed);
      mBuffer.erase(0, consumed);
      mBody += mReader.TakeBody();
    } while (status == ParseStatus::kNeedMore && consumed > 0 &&
             !mBuffer.empty());
    return status;
  }

  RelayResponseReader mReader{ false };
  std::string mBuffer;
  std::string mBody;
};

constexpr const char* kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A response's beginning and what follows without end.
struct EndlessResponse
{
  const char* mName;
  std::string mBegin;
  std::string mPattern;
};

class GivenAnEndlessResponse : public ::testing::TestWithParam<EndlessResponse>
{
protected:
  Feed mFeed;
};

TEST_P(GivenAnEndlessResponse, ItIsRefusedAtABoundedSize)
{
  constexpr std::size_t kMaxBytes = 4UL * 1024 * 1024;
  mFeed.Put(GetParam().mBegin);
  EXPECT_EQ(mFeed.Repeat(GetParam().mPattern, kMaxBytes),
            ParseStatus::kMalformed);
  EXPECT_FALSE(mFeed.Reader().Problem().empty());
}

INSTANTIATE_TEST_SUITE_P(
  Parser,
  GivenAnEndlessResponse,
  ::testing::Values(
    EndlessResponse{ "Reason", "HTTP/1.1 200 ", "xxxxxxx" },
    EndlessResponse{ "FieldName", "HTTP/1.1 200 OK\r\n", "xxxxxxx" },
    EndlessResponse{ "FieldValue", "HTTP/1.1 200 OK\r\nX: ", "xxxxxxx" },
    EndlessResponse{ "Fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" },
    EndlessResponse{ "Interim", "", "HTTP/1.1 102 Processing\r\n\r\n" },
    EndlessResponse{ "ChunkSize", kChunkedHead, "0000000" },
    EndlessResponse{ "ChunkExtension",
                     std::string(kChunkedHead) + "5;a=",
                     "xxxxxxx" },
    EndlessResponse{ "ChunkExtensions",
                     kChunkedHead,
                     "1;a=" + std::string(4096, 'x') + "\r\ny\r\n" },
    EndlessResponse{ "Trailer",
                     std::string(kChunkedHead) + "0\r\n",
                     "X-A: b\r\n" },
    EndlessResponse{ "TrailerField",
                     std::string(kChunkedHead) + "0\r\nX: ",
                     "xxxxxxx" }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

class GivenALongResponse : public ::testing::Test
{
protected:
  Feed mFeed;
};

TEST_F(GivenALongResponse, ABodyOfAnyLengthIsRead)
{
  mFeed.Put(kChunkedHead);
  EXPECT_EQ(
    mFeed.Repeat("1000\r\n" + std::string(4096, 'x') + "\r\n", 50000000),
    ParseStatus::kNeedMore);
  mFeed.Put("0\r\n\r\n");
  EXPECT_TRUE(mFeed.Reader().FinishAtEof());
}

TEST_F(GivenALongResponse, ChunksOfAByteAreRead)
{
  mFeed.Put(kChunkedHead);
  EXPECT_EQ(mFeed.Repeat("1\r\nx\r\n", 6000000), ParseStatus::kNeedMore);
}

TEST_F(GivenALongResponse, AFinalOneFollowsInterimOnes)
{
  mFeed.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 27UL * 20);
  EXPECT_EQ(mFeed.Put("HTTP/1.1 204 No\r\n\r\n"), ParseStatus::kDone);
}

/// A response whose head announces more than any memory holds.
class GivenAHugeLength : public ::testing::TestWithParam<const char*>
{
protected:
  ParseStatus PutHead()
  {
    return mFeed.Put("HTTP/1.1 200 OK\r\nContent-Length: " +
                     std::string(GetParam()) + "\r\n\r\n{\"ok\":");
  }

  Feed mFeed;
};

// Guards against memory that is reserved for bytes that never arrive.
TEST_P(GivenAHugeLength, ItIsReadAsFarAsItArrives)
{
  EXPECT_EQ(PutHead(), ParseStatus::kHead);
  EXPECT_EQ(mFeed.Reader().Head().mLength, std::stoull(GetParam()));
  EXPECT_EQ(mFeed.Repeat(std::string(4096, 'x'), 50000000),
            ParseStatus::kNeedMore);
  {
    SCOPED_TRACE("the peer closes before the announced end");
    EXPECT_FALSE(mFeed.Reader().FinishAtEof());
  }
}

INSTANTIATE_TEST_SUITE_P(Lengths,
                         GivenAHugeLength,
                         ::testing::Values("1000000000000",
                                           "9223372036854775807",
                                           "18446744073709551615"));

TEST(GivenALengthBeyond64Bits, ItIsRefused)
{
  Feed feed;
  EXPECT_EQ(feed.Put("HTTP/1.1 200 OK\r\n"
                     "Content-Length: 18446744073709551616\r\n\r\n"),
            ParseStatus::kMalformed);
}

} // namespace
} // namespace shuntjunction::transport
