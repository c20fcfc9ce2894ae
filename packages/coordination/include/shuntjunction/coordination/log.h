#pragma once

#include <string>
#include <string_view>

#include <log4cplus/logger.h>

#include "shuntjunction/state/settings.h"

/// Text log: short messages, each prefixed with its component.
namespace shuntjunction::coordination {

/// Configures the process's log: one line per message on standard error.
void
StartLog(state::LogFormat aFormat, state::LogLevel aLevel);

/// The log of one component.
///
/// Thread safety: all methods may be called from any thread.
class Log
{
public:
  /// @param aComponent  prefix of each message, e.g. "router"
  explicit Log(std::string aComponent);

  void Debug(std::string_view aText, std::string_view aRequestId = {}) const;
  void Info(std::string_view aText, std::string_view aRequestId = {}) const;
  void Warn(std::string_view aText, std::string_view aRequestId = {}) const;
  void Error(std::string_view aText, std::string_view aRequestId = {}) const;

private:
  void Write(log4cplus::LogLevel aLevel,
             std::string_view aText,
             std::string_view aRequestId) const;

  std::string mComponent;
  log4cplus::Logger mLogger;
};

} // namespace shuntjunction::coordination
