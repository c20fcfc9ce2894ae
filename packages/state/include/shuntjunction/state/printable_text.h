#pragma once

#include <string>
#include <string_view>

/// Texts of other writers in log lines and tables.
namespace shuntjunction::state {

/// A text with its control characters as escapes such as "\x0a", so that it
/// begins no line of its own and moves no cursor.
///
/// Thread safety: may be called from any thread.
std::string
PrintableText(std::string_view aText);

} // namespace shuntjunction::state
