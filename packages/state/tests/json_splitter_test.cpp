#include "shuntjunction/state/json_splitter.h"

#include <gtest/gtest.h>

// Tests splitting of JSON: each part is found whatever the others hold, and
// what is no JSON object or array is refused.

namespace shuntjunction::state {
namespace {

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

std::string_view
MemberText(const std::vector<JsonMember>& aMembers, std::string_view aKey)
{
  for (const auto& member : aMembers) {
    if (member.mKey == aKey) {
      return member.mText;
    }
  }
  return {};
}

} // namespace

TEST(GivenAnObject, ItsMembersAreFoundInOrder)
{
  const std::string text =
    " { \"a\" : 1 ,\n\t\"b\":\"x,}]\", \"c\":{\"d\":[1,{}]},\"e\":null}\r\n";
  const auto members = SplitJsonObject(text);
  ASSERT_TRUE(members.has_value());
  ASSERT_EQ(members->size(), 4U);
  EXPECT_EQ(members->front().mKey, "a");
  EXPECT_EQ(MemberText(*members, "a"), "1");
  EXPECT_EQ(MemberText(*members, "b"), R"("x,}]")");
  EXPECT_EQ(MemberText(*members, "c"), R"({"d":[1,{}]})");
  EXPECT_EQ(MemberText(*members, "e"), "null");
}

TEST(GivenAnObject, AnEmptyOneHasNone)
{
  const auto members = SplitJsonObject(" { } ");
  ASSERT_TRUE(members.has_value());
  EXPECT_TRUE(members->empty());
}

TEST(GivenAnObject, EscapesInItsKeysAreDecoded)
{
  const std::string text = R"({"\u0061\"b":"\\","c\\":"\"}"})";
  const auto members = SplitJsonObject(text);
  ASSERT_TRUE(members.has_value());
  ASSERT_EQ(members->size(), 2U);
  EXPECT_EQ(MemberText(*members, "a\"b"), R"("\\")");
  EXPECT_EQ(MemberText(*members, "c\\"), R"("\"}")");
}

TEST(GivenAnObject, MembersBesideOneThatNoParserAcceptsAreFound)
{
  for (const auto& value : { Nested(1000000),
                             "1e" + std::string(40, '9'),
                             std::string(300, '1') }) {
    const std::string text = R"({"a":)" + value + R"(,"b":2})";
    const auto members = SplitJsonObject(text);
    ASSERT_TRUE(members.has_value());
    EXPECT_EQ(MemberText(*members, "a"), value);
    EXPECT_EQ(MemberText(*members, "b"), "2");
  }
}

TEST(GivenAnArray, ItsItemsAreFoundInOrder)
{
  const std::string text = R"([1, "]" ,[[]],{"a":[]},true])";
  const auto items = SplitJsonArray(text);
  ASSERT_TRUE(items.has_value());
  const std::vector<std::string_view> expected{
    "1", R"("]")", "[[]]", R"({"a":[]})", "true"
  };
  EXPECT_EQ(*items, expected);
  EXPECT_TRUE(SplitJsonArray("[]")->empty());
}

TEST(GivenOtherText, NoObjectIsFound)
{
  for (const char* text : { "",
                            "[]",
                            "1",
                            "{",
                            "{]",
                            R"({"a"})",
                            R"({"a":})",
                            R"({"a":1)",
                            R"({"a":1,})",
                            R"({"a" 1})",
                            R"({"a":1 "b":2})",
                            "{a:1}",
                            R"({"a:1})",
                            R"({"a":"x})",
                            R"({"a":[1})",
                            R"({"a":"\)",
                            R"({"a":1}})",
                            R"({"a":1} x)" }) {
    EXPECT_FALSE(SplitJsonObject(text).has_value()) << text;
  }
}

TEST(GivenOtherText, NoArrayIsFound)
{
  for (const char* text :
       { "", "{}", "[", "[1", "[1,]", "[,1]", "[1 2]", "[1]]", R"(["a])" }) {
    EXPECT_FALSE(SplitJsonArray(text).has_value()) << text;
  }
}

// A cut text must never look like a shorter one.
TEST(GivenOtherText, NoBeginningOfAnObjectIsOne)
{
  const std::string text = R"({"a":[1,{"b":"}\""}],"c":{"d":"]"},"e":-1e5})";
  ASSERT_TRUE(SplitJsonObject(text).has_value());
  for (std::size_t size = 0; size < text.size(); ++size) {
    EXPECT_FALSE(SplitJsonObject(text.substr(0, size)).has_value()) << size;
  }
}

} // namespace shuntjunction::state
