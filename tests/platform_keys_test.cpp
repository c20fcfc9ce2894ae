#include "shuntjunction/coordination/http_platform.h"

#include <gtest/gtest.h>

#include "platform_standin.h"
#include "shuntjunction/transport/http_server.h"
#include "shuntjunction/transport/run_task.h"

// Tests calls to the platform for keys of any text: each reaches the object
// that it names.

namespace shuntjunction::standins {
namespace {

using state::ErrorCode;
using state::Millis;

struct KeyCase
{
  const char* mLabel;
  std::string mKey;
};

std::vector<KeyCase>
Keys()
{
  return { { "Ordinary", "config/templates/slot-1.2_3" },
           { "Nested", "config/parameters/north/slot" },
           { "Blank", "config/templates/slot a" },
           { "Ampersand", "config/templates/a&if_revision=9" },
           { "Plus", "config/templates/a+b" },
           { "Hash", "config/templates/a#b" },
           { "QuestionMark", "config/templates/a?b" },
           { "Percent", "config/templates/a%zz%00" },
           { "LineEndAndField", "config/templates/a\r\nX-Other: 1" },
           { "NonAscii", "claims/0ab/t\xc3\xa4/x" },
           { "Quotes", "claims/0ab/\"\\/x" } };
}

class GivenAPlatform : public ::testing::Test
{
protected:
  GivenAPlatform()
    : mPlatform(1)
    , mServer(mContext, state::LimitSettings{}, mPlatform)
    , mClient(*mServer.Start({ "127.0.0.1", 0 }), Millis(5000))
  {
  }

  template<typename T>
  T Run(transport::Task<T> aTask)
  {
    return transport::RunTask(mContext, std::move(aTask));
  }

  /// Whether a list of the objects with a prefix has just one, of a key.
  bool IsListedAlone(const std::string& aPrefix, const std::string& aKey)
  {
    const auto list = Run(mClient.List(aPrefix));
    return list && list->mObjects.size() == 1 &&
           list->mObjects.front().mKey == aKey;
  }

  transport::asio::io_context mContext;
  PlatformStandin mPlatform;
  transport::HttpServer mServer;
  coordination::HttpPlatform mClient;
};

// Guards against one value that hides all objects.
TEST_F(GivenAPlatform, AValueThatIsNoUtf8HidesNoOther)
{
  const auto odd = Run(mClient.Write("config/teams/odd", "\"\xff\"", 0));
  ASSERT_TRUE(odd.has_value());
  ASSERT_TRUE(Run(mClient.Write("config/teams/other", "1", 0)).has_value());
  const auto list = Run(mClient.List("config/"));
  ASSERT_TRUE(list.has_value()) << list.error().Describe();
  EXPECT_EQ(list->mObjects.size(), 2U);
  const auto watch = Run(mClient.Watch("config/", *odd - 1, Millis(0)));
  ASSERT_TRUE(watch.has_value()) << watch.error().Describe();
  EXPECT_EQ(watch->mChanges.size(), 2U);
  EXPECT_TRUE(Run(mClient.Read("config/teams/odd")).has_value());
}

class GivenAKey
  : public GivenAPlatform
  , public ::testing::WithParamInterface<KeyCase>
{};

} // namespace

TEST_P(GivenAKey, ItsCallsReachItsObject)
{
  const auto& key = GetParam().mKey;
  const auto made = Run(mClient.Write(key, "1", 0));
  ASSERT_TRUE(made.has_value()) << made.error().Describe();
  const auto read = Run(mClient.Read(key));
  ASSERT_TRUE(read.has_value() && *read);
  EXPECT_EQ((*read)->mKey, key);
  EXPECT_EQ((*read)->mRevision, *made);
  {
    SCOPED_TRACE("another one");
    ASSERT_TRUE(Run(mClient.Write("x/" + key, "2", 0)).has_value());
    EXPECT_TRUE(IsListedAlone(key, key));
  }
  {
    SCOPED_TRACE("it is replaced");
    const auto written = Run(mClient.Write(key, "3", *made));
    ASSERT_TRUE(written.has_value()) << written.error().Describe();
    const auto watch = Run(mClient.Watch(key, *made, Millis(0)));
    ASSERT_TRUE(watch.has_value());
    ASSERT_EQ(watch->mChanges.size(), 1U);
    EXPECT_EQ(watch->mChanges.front().mKey, key);
    EXPECT_TRUE(Run(mClient.Delete(key, *written)).has_value());
  }
  const auto deleted = Run(mClient.Read(key));
  ASSERT_TRUE(deleted.has_value());
  EXPECT_FALSE(deleted->has_value());
}

INSTANTIATE_TEST_SUITE_P(Keys,
                         GivenAKey,
                         ::testing::ValuesIn(Keys()),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mLabel);
                         });

class GivenAKeyThatNoPathCanContain : public GivenAKey
{};

TEST_P(GivenAKeyThatNoPathCanContain, ItsCallsFailWithoutARequest)
{
  const auto& key = GetParam().mKey;
  const auto isRefused = [](const auto& aResult) {
    return !aResult && aResult.error().mCode == ErrorCode::kInvalidArgument;
  };
  EXPECT_TRUE(isRefused(Run(mClient.Read(key))));
  EXPECT_TRUE(isRefused(Run(mClient.Write(key, "1", 0))));
  EXPECT_TRUE(isRefused(Run(mClient.Delete(key, 1))));
}

INSTANTIATE_TEST_SUITE_P(
  Keys,
  GivenAKeyThatNoPathCanContain,
  ::testing::Values(KeyCase{ "Empty", "" },
                    KeyCase{ "EndsWithASlash", "config/templates/" },
                    KeyCase{ "Dots", "claims/0ab/../x" }),
  [](const auto& aInfo) { return std::string(aInfo.param.mLabel); });

} // namespace shuntjunction::standins
