#include "shuntjunction/state/field_value.h"

#include <algorithm>

namespace shuntjunction::state {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool
IsBlank(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == '\t';
}

bool
IsAllowed(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return aCharacter == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

} // namespace

bool
IsFieldValue(std::string_view aText)
{
  const bool isTrimmed =
    aText.empty() || (!IsBlank(aText.front()) && !IsBlank(aText.back()));
  return isTrimmed && std::all_of(aText.begin(), aText.end(), IsAllowed);
}

} // namespace shuntjunction::state
