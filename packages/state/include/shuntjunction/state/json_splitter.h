#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/error.h"

/// Splits JSON text into its parts without parsing them.
///
/// Of each part only the extent is determined: it may be nested to any depth
/// and hold any number, and a parser that refuses it refuses nothing else.
/// Splitting takes no memory for the nesting.
namespace shuntjunction::state {

/// A member of an object.
struct JsonMember
{
  std::string mKey;
  std::string_view mText; ///< of the value, in the text that was split
};

/// Members of an object, in order.
///
/// Thread safety: pure.
/// @return kInvalidArgument if the text is no object, or its members can't be
///         separated
Result<std::vector<JsonMember>>
SplitJsonObject(std::string_view aText);

/// Texts of an array's items, in order.
///
/// Thread safety: pure.
/// @return kInvalidArgument if the text is no array, or its items can't be told
///         apart
Result<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText);

} // namespace shuntjunction::state
