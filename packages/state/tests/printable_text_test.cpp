#include "shuntjunction/state/printable_text.h"

#include <gtest/gtest.h>

// Tests the text of other writers as it is printed.

namespace shuntjunction::state {

TEST(GivenATextToPrint, ItsControlCharactersAreEscaped)
{
  EXPECT_EQ(PrintableText("a\r\nb\t\x1b[2J\x7f"),
            "a\\x0d\\x0ab\\x09\\x1b[2J\\x7f");
  EXPECT_EQ(PrintableText(std::string("\0", 1)), "\\x00");
}

TEST(GivenATextToPrint, AllElseStaysAsItIs)
{
  const std::string text = "a b\"\\{}%\xc3\xa4";
  EXPECT_EQ(PrintableText(text), text);
}

} // namespace shuntjunction::state
