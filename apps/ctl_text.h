#pragma once

#include <string>

#include <boost/json/value.hpp>

#include "ctl_commands.h"
#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/error.h"

/// Small things that shuntctl's commands share.
namespace shuntjunction::ctl {

/// Longest wait for one answer.
inline constexpr state::Millis kTimeout{ 5000 };

/// Longest answer of a process.
inline constexpr std::size_t kMaxAnswerBytes = 16UL * 1024 * 1024;

/// An exit code as main returns it.
int
Code(ExitCode aCode);

/// "teams/riga" as the platform's key, and back.
std::string
FullKey(const std::string& aName);
std::string
ShortKey(const std::string& aKey);

/// One spelling for equal values, so that a diff shows only real changes.
std::string
Canonical(const std::string& aText);

/// A value as a table shows it.
std::string
Shown(const boost::json::value& aValue);

/// The whole text of a file.
state::Result<std::string>
ReadFile(const std::string& aFile);

} // namespace shuntjunction::ctl
