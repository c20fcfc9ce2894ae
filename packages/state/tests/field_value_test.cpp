#include "shuntjunction/state/field_value.h"

#include <gtest/gtest.h>

// Tests which texts a header field carries unchanged.

namespace shuntjunction::state {

TEST(GivenAText, AFieldCarriesOneWithoutControlCharacters)
{
  for (const char* text :
       { "", "a", "a b", "a\tb", "a\xc3\xa4", "a:b,c;d\"" }) {
    EXPECT_TRUE(IsFieldValue(text)) << text;
  }
}

TEST(GivenAText, AFieldCarriesNoneThatWouldEndItOrBeTrimmed)
{
  for (const char* text : { " ",
                            " a",
                            "a ",
                            "\ta",
                            "a\t",
                            "a\r\nb: c",
                            "a\n",
                            "a\x01",
                            "a\x7f" }) {
    EXPECT_FALSE(IsFieldValue(text)) << text;
  }
  EXPECT_FALSE(IsFieldValue(std::string_view("a\0b", 3)));
}

} // namespace shuntjunction::state
