#include "shuntjunction/state/json_text_checker.h"

#include <boost/json/basic_parser_impl.hpp>

namespace shuntjunction::state {

namespace json = boost::json;

namespace {

/// Accepts all values and keeps none. Names and constants are those that
/// boost::json::basic_parser requires.
struct NullHandler
{
  static constexpr std::size_t max_object_size = SIZE_MAX; // NOLINT
  static constexpr std::size_t max_array_size = SIZE_MAX;  // NOLINT
  static constexpr std::size_t max_key_size = SIZE_MAX;    // NOLINT
  static constexpr std::size_t max_string_size = SIZE_MAX; // NOLINT

  using Code = json::error_code;
  using Text = json::string_view;

  // NOLINTBEGIN(readability-identifier-naming)
  bool on_document_begin(Code&) { return true; }
  bool on_document_end(Code&) { return true; }
  bool on_array_begin(Code&) { return true; }
  bool on_array_end(std::size_t, Code&) { return true; }
  bool on_object_begin(Code&) { return true; }
  bool on_object_end(std::size_t, Code&) { return true; }
  bool on_string_part(Text, std::size_t, Code&) { return true; }
  bool on_string(Text, std::size_t, Code&) { return true; }
  bool on_key_part(Text, std::size_t, Code&) { return true; }
  bool on_key(Text, std::size_t, Code&) { return true; }
  bool on_number_part(Text, Code&) { return true; }
  bool on_int64(std::int64_t, Text, Code&) { return true; }
  bool on_uint64(std::uint64_t, Text, Code&) { return true; }
  bool on_double(double, Text, Code&) { return true; }
  bool on_bool(bool, Code&) { return true; }
  bool on_null(Code&) { return true; }
  bool on_comment_part(Text, Code&) { return true; }
  bool on_comment(Text, Code&) { return true; }
  // NOLINTEND(readability-identifier-naming)
};

} // namespace

struct JsonTextChecker::Parser
{
  json::basic_parser<NullHandler> mParser{ json::parse_options() };
  json::error_code mError;
};

JsonTextChecker::JsonTextChecker()
  : mParser(std::make_unique<Parser>())
{
}

JsonTextChecker::~JsonTextChecker() = default;

void
JsonTextChecker::Put(std::string_view aPiece)
{
  if (!mParser->mError) {
    mParser->mParser.write_some(
      true, aPiece.data(), aPiece.size(), mParser->mError);
  }
}

bool
JsonTextChecker::IsTruncated()
{
  if (mParser->mError) {
    return false;
  }
  mParser->mParser.write_some(false, "", 0, mParser->mError);
  return mParser->mError == json::error::incomplete;
}

} // namespace shuntjunction::state
