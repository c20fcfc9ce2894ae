#pragma once

#include <string_view>

/// Texts of other writers in header fields.
namespace shuntjunction::state {

/// Whether a header field carries a text unchanged: it has no control
/// characters but tabs, and no blanks at its ends, which receivers remove
/// (RFC 9110, 5.5). Any other text could end its field and begin another.
///
/// Thread safety: may be called from any thread.
bool
IsFieldValue(std::string_view aText);

} // namespace shuntjunction::state
