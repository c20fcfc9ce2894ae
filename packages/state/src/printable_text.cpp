#include "shuntjunction/state/printable_text.h"

namespace shuntjunction::state {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr unsigned kDigitBits = 4;
constexpr unsigned kDigitMask = 0xf;

} // namespace

std::string
PrintableText(std::string_view aText)
{
  std::string text;
  text.reserve(aText.size());
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte >= kFirstPrintable && byte != kDelete) {
      text += character;
      continue;
    }
    text += "\\x";
    text += kHexDigits[byte >> kDigitBits];
    text += kHexDigits[byte & kDigitMask];
  }
  return text;
}

} // namespace shuntjunction::state
