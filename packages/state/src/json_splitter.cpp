#include "shuntjunction/state/json_splitter.h"

#include <algorithm>

#include <boost/json/value.hpp>

#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::state {

namespace {

constexpr std::string_view kBlanks = " \t\r\n";
constexpr std::string_view kScalarEnds = ",]} \t\r\n";

/// Takes the parts of a text from its front; empty views mark an error.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : mRest(aText)
  {
  }

  bool IsAtEnd()
  {
    SkipBlanks();
    return mRest.empty();
  }

  /// Takes a character if it is the next one.
  bool Take(char aCharacter)
  {
    SkipBlanks();
    const bool isNext = !mRest.empty() && mRest.front() == aCharacter;
    mRest.remove_prefix(isNext ? 1 : 0);
    return isNext;
  }

  /// Takes a string with its quotes.
  std::string_view TakeString()
  {
    SkipBlanks();
    return TakePrefix(StringSize(0));
  }

  /// Takes a value of any type.
  std::string_view TakeValue()
  {
    SkipBlanks();
    if (mRest.empty()) {
      return {};
    }
    switch (mRest.front()) {
      case '"':
        return TakePrefix(StringSize(0));
      case '{':
      case '[':
        return TakePrefix(ContainerSize());
      default:
        return TakePrefix(
          std::min(mRest.find_first_of(kScalarEnds), mRest.size()));
    }
  }

private:
  void SkipBlanks()
  {
    mRest.remove_prefix(
      std::min(mRest.find_first_not_of(kBlanks), mRest.size()));
  }

  std::string_view TakePrefix(std::size_t aSize)
  {
    const auto prefix = mRest.substr(0, aSize);
    mRest.remove_prefix(prefix.size());
    return prefix;
  }

  /// Size of the string that begins at an offset; 0 if none does or it has no
  /// end.
  std::size_t StringSize(std::size_t aFrom) const
  {
    if (aFrom >= mRest.size() || mRest[aFrom] != '"') {
      return 0;
    }
    auto at = mRest.find_first_of("\"\\", aFrom + 1);
    while (at != std::string_view::npos && mRest[at] == '\\') {
      // The character after a backslash ends no string.
      at = mRest.find_first_of("\"\\", at + 2);
    }
    return at == std::string_view::npos ? 0 : at + 1 - aFrom;
  }

  /// Size of the object or array at the front; 0 if it has no end.
  std::size_t ContainerSize() const
  {
    std::size_t depth = 0;
    auto at = mRest.find_first_of("\"[]{}");
    while (at != std::string_view::npos) {
      const char character = mRest[at];
      std::size_t size = 1;
      if (character == '"') {
        size = StringSize(at);
      } else if (character == '[' || character == '{') {
        ++depth;
      } else {
        --depth;
      }
      if (size == 0 || depth == 0) {
        return size == 0 ? 0 : at + 1;
      }
      at = mRest.find_first_of("\"[]{}", at + size);
    }
    return 0;
  }

  std::string_view mRest;
};

tl::unexpected<Error>
Invalid(std::string_view aExpected)
{
  return Fail(ErrorCode::kInvalidArgument,
              "json.split",
              "",
              "not " + std::string(aExpected));
}

/// Text of a key, given with its quotes; empty if it is no valid string.
std::string
KeyText(std::string_view aQuoted)
{
  if (aQuoted.find('\\') == std::string_view::npos) {
    return std::string(aQuoted.substr(1, aQuoted.size() - 2));
  }
  const auto key = ParseUntrustedJson(aQuoted, "key");
  return key && key->is_string() ? std::string(key->as_string())
                                 : std::string();
}

} // namespace

Result<std::vector<JsonMember>>
SplitJsonObject(std::string_view aText)
{
  std::vector<JsonMember> members;
  Scanner scanner(aText);
  if (!scanner.Take('{')) {
    return Invalid("a JSON object");
  }
  bool hasMore = !scanner.Take('}');
  while (hasMore) {
    const auto key = scanner.TakeString();
    if (key.empty() || !scanner.Take(':')) {
      return Invalid("a list of members");
    }
    const auto value = scanner.TakeValue();
    if (value.empty()) {
      return Invalid("a list of members");
    }
    members.push_back({ KeyText(key), value });
    hasMore = scanner.Take(',');
    if (!hasMore && !scanner.Take('}')) {
      return Invalid("a list of members");
    }
  }
  if (!scanner.IsAtEnd()) {
    return Invalid("a single JSON object");
  }
  return members;
}

Result<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText)
{
  std::vector<std::string_view> items;
  Scanner scanner(aText);
  if (!scanner.Take('[')) {
    return Invalid("a JSON array");
  }
  bool hasMore = !scanner.Take(']');
  while (hasMore) {
    const auto item = scanner.TakeValue();
    if (item.empty()) {
      return Invalid("a list of items");
    }
    items.push_back(item);
    hasMore = scanner.Take(',');
    if (!hasMore && !scanner.Take(']')) {
      return Invalid("a list of items");
    }
  }
  if (!scanner.IsAtEnd()) {
    return Invalid("a single JSON array");
  }
  return items;
}

} // namespace shuntjunction::state
