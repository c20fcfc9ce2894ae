#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/error.h"

/// Splits JSON text into its parts without parsing them.
///
/// Of each part only the extent is determined, which takes no memory for its
/// nesting: a part that a parser refuses does not affect the others.
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
/// @return kInvalidArgument if the text is no object, or the end of a member is
///         not found
Result<std::vector<JsonMember>>
SplitJsonObject(std::string_view aText);

/// Texts of an array's items, in order.
///
/// Thread safety: pure.
/// @return kInvalidArgument if the text is no array, or the end of an item is
///         not found
Result<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText);

} // namespace shuntjunction::state
