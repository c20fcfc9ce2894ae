#pragma once

#include <string>
#include <string_view>

#include <log4cplus/logger.h>

#include "shuntjunction/state/settings.h"

/// Logs: short sentences with a fixed prefix a part.
namespace shuntjunction::coordination {

/// Sets the log of the process up: one line an event on standard error.
void
StartLog(state::LogFormat aFormat, state::LogLevel aLevel);

/// The log of one part.
///
/// Thread safety: all methods may be called from any thread.
class Log
{
public:
  /// @param aPart  the fixed prefix, as "router"
  explicit Log(std::string aPart);

  void Debug(std::string_view aText, std::string_view aRequestId = {}) const;
  void Info(std::string_view aText, std::string_view aRequestId = {}) const;
  void Warn(std::string_view aText, std::string_view aRequestId = {}) const;
  void Error(std::string_view aText, std::string_view aRequestId = {}) const;

private:
  void Write(log4cplus::LogLevel aLevel,
             std::string_view aText,
             std::string_view aRequestId) const;

  std::string mPart;
  log4cplus::Logger mLogger;
};

} // namespace shuntjunction::coordination
