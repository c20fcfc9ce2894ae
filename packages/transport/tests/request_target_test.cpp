#include "shuntjunction/transport/request_target.h"

#include <gtest/gtest.h>

// Tests the encoding of texts that other writers chose into a request's head.

namespace shuntjunction::transport {

namespace {

/// All bytes, each once.
std::string
AllBytes()
{
  std::string text;
  for (int byte = 0; byte < 256; ++byte) {
    text += static_cast<char>(byte);
  }
  return text;
}

} // namespace

TEST(GivenAnyText, APathSegmentCarriesIt)
{
  const auto encoded = EncodePathSegment(AllBytes());
  ASSERT_TRUE(encoded.has_value());
  EXPECT_TRUE(IsSendableTarget(*encoded));
  const auto target = ParseRequestTarget("/a/" + *encoded + "/b?c=d");
  ASSERT_TRUE(target.has_value());
  EXPECT_EQ(target->mSegments,
            (std::vector<std::string>{ "a", AllBytes(), "b" }));
  EXPECT_EQ(target->mQuery.at("c"), "d");
}

TEST(GivenAnyText, AQueryValueCarriesIt)
{
  const auto encoded = EncodeQueryValue(AllBytes());
  EXPECT_TRUE(IsSendableTarget(encoded));
  const auto target = ParseRequestTarget("/a?b=" + encoded + "&c=d");
  ASSERT_TRUE(target.has_value());
  EXPECT_EQ(target->mQuery.at("b"), AllBytes());
  EXPECT_EQ(target->mQuery.at("c"), "d");
}

TEST(GivenAnyText, OrdinaryNamesStayAsTheyAre)
{
  EXPECT_EQ(EncodePathSegment("edge-zone-1.a_b~c:80").value_or(""),
            "edge-zone-1.a_b~c:80");
  EXPECT_EQ(EncodeQueryValue("edge-zone-1.a_b~c"), "edge-zone-1.a_b~c");
}

TEST(GivenASegmentThatPathsDrop, ItIsRefused)
{
  for (const char* text : { "", ".", ".." }) {
    EXPECT_FALSE(EncodePathSegment(text).has_value()) << text;
  }
  EXPECT_TRUE(EncodePathSegment("...").has_value());
}

TEST(GivenARequestTarget, ItsQueryIsAForm)
{
  const auto target = ParseRequestTarget("/a?b=c+d%2B&b=e&f=#g&h=i");
  ASSERT_TRUE(target.has_value());
  EXPECT_EQ(target->mQuery.at("b"), "c d+");
  EXPECT_EQ(target->mQuery.at("f"), "");
  EXPECT_FALSE(target->mQuery.contains("h"));
}

TEST(GivenARequestTarget, AMalformedOneIsRefused)
{
  for (const char* target : { "",
                              "a",
                              "/a b",
                              "/a%",
                              "/a%zz",
                              "/a?b=%1",
                              "/a\x7f",
                              "/a\"",
                              "/\\" }) {
    EXPECT_FALSE(ParseRequestTarget(target).has_value()) << target;
  }
}

TEST(GivenATarget, OneThatEndsItsLineIsNotSendable)
{
  EXPECT_TRUE(IsSendableTarget("/a?b=%20\xc3\xa4"));
  for (const char* target :
       { "", "/a b", "/a\r\nb: c", "/a\n", "/a\t", "/\x7f" }) {
    EXPECT_FALSE(IsSendableTarget(target)) << target;
  }
  EXPECT_FALSE(IsSendableTarget(std::string_view("/a\0b", 4)));
}

} // namespace shuntjunction::transport
