#pragma once

#include <memory>
#include <string_view>

namespace shuntjunction::state {

/// Checks whether a JSON text, received in pieces, is complete.
///
/// Keeps no values: its memory grows with the depth of the text only.
///
/// Thread safety: none.
class JsonTextChecker
{
public:
  JsonTextChecker();
  ~JsonTextChecker();
  JsonTextChecker(const JsonTextChecker&) = delete;
  JsonTextChecker& operator=(const JsonTextChecker&) = delete;

  /// Adds a piece of the text.
  void Put(std::string_view aPiece);

  /// Whether the text so far is the beginning of a longer one. False for a text
  /// that is no JSON, of which nothing is known.
  ///
  /// @pre  nothing is added after it
  bool IsTruncated();

private:
  struct Parser;

  std::unique_ptr<Parser> mParser;
};

} // namespace shuntjunction::state
