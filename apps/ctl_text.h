#pragma once

#include <string>

#include <boost/json/value.hpp>

#include "ctl_commands.h"
#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/error.h"

/// Constants and text helpers that shuntctl's commands share.
namespace shuntjunction::ctl {

/// Timeout of a call to the platform or to a process.
inline constexpr state::Millis kCallTimeout{ 5000 };

/// Maximum size of a process's response.
inline constexpr std::size_t kMaxResponseBytes = 16UL * 1024 * 1024;

/// Converts an exit code to the value that main returns.
int
ToExitStatus(ExitCode aCode);

/// The platform's key of an object name such as "teams/riga"; a name that is a
/// key already stays as it is.
std::string
FullKey(const std::string& aName);

/// The object name in a key of the platform: the inverse of FullKey.
std::string
ShortKey(const std::string& aKey);

/// Serializes JSON text in one form, so that a diff ignores differences of
/// layout; text that is not JSON stays as it is.
std::string
CanonicalJson(const std::string& aText);

/// Formats a value for a table: a string without quotes, else as JSON.
std::string
FormatValue(const boost::json::value& aValue);

/// Reads a whole file. Errors: kInvalidArgument when it cannot be opened.
state::Result<std::string>
ReadTextFile(const std::string& aFile);

} // namespace shuntjunction::ctl
