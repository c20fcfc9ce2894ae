#include "shuntjunction/coordination/log.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/mdc.h>
#include <log4cplus/spi/loggingevent.h>

#include "shuntjunction/state/printable_text.h"

namespace shuntjunction::coordination {

namespace {

constexpr auto* kTimeFormat = LOG4CPLUS_TEXT("%Y-%m-%dT%H:%M:%S.%qZ");
constexpr auto* kTextPattern =
  LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %m%n");

/// Writes one JSON object per line.
class JsonLayout final : public log4cplus::Layout
{
public:
  void formatAndAppend(
    log4cplus::tostream& aOutput,
    const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    boost::json::object line{ { "time",
                                log4cplus::helpers::getFormattedTime(
                                  kTimeFormat, aEvent.getTimestamp(), true) },
                              { "level",
                                log4cplus::getLogLevelManager().toString(
                                  aEvent.getLogLevel()) },
                              { "part", aEvent.getLoggerName() },
                              { "message", aEvent.getMessage() } };
    const auto& request = aEvent.getMDC("request");
    if (!request.empty()) {
      line["request"] = request;
    }
    aOutput << boost::json::serialize(line) << '\n';
  }
};

log4cplus::LogLevel
ToLog4cplus(state::LogLevel aLevel)
{
  switch (aLevel) {
    case state::LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case state::LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case state::LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case state::LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

} // namespace

void
StartLog(state::LogFormat aFormat, state::LogLevel aLevel)
{
  static const log4cplus::Initializer sInitializer;
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(true, true));
  if (aFormat == state::LogFormat::kJson) {
    appender->setLayout(std::make_unique<JsonLayout>());
  } else {
    appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(kTextPattern));
  }
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ToLog4cplus(aLevel));
}

Log::Log(std::string aComponent)
  : mComponent(std::move(aComponent))
  , mLogger(log4cplus::Logger::getInstance(mComponent))
{
}

void
Log::Write(log4cplus::LogLevel aLevel,
           std::string_view aText,
           std::string_view aRequestId) const
{
  if (!mLogger.isEnabledFor(aLevel)) {
    return;
  }
  std::string line = mComponent + ": ";
  if (!aRequestId.empty()) {
    line += "[" + std::string(aRequestId) + "] ";
    log4cplus::getMDC().put("request", std::string(aRequestId));
  }
  line += aText;
  line = state::PrintableText(line);
  mLogger.forcedLog(aLevel, line);
  if (!aRequestId.empty()) {
    log4cplus::getMDC().remove("request");
  }
}

void
Log::Debug(std::string_view aText, std::string_view aRequestId) const
{
  Write(log4cplus::DEBUG_LOG_LEVEL, aText, aRequestId);
}

void
Log::Info(std::string_view aText, std::string_view aRequestId) const
{
  Write(log4cplus::INFO_LOG_LEVEL, aText, aRequestId);
}

void
Log::Warn(std::string_view aText, std::string_view aRequestId) const
{
  Write(log4cplus::WARN_LOG_LEVEL, aText, aRequestId);
}

void
Log::Error(std::string_view aText, std::string_view aRequestId) const
{
  Write(log4cplus::ERROR_LOG_LEVEL, aText, aRequestId);
}

} // namespace shuntjunction::coordination
