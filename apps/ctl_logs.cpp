#include "ctl_logs.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <ostream>
#include <set>
#include <sstream>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "ctl_text.h"
#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::ctl {

namespace json = boost::json;

namespace {

/// How many seconds of lines before a request are searched for its cause.
constexpr int kLeadSeconds = 10;

/// Length of a timestamp up to its seconds: "2026-06-29T19:57:24".
constexpr std::size_t kTimestampLength = 19;

/// Offset of the time of day in a timestamp.
constexpr std::size_t kTimeOfDayOffset = 11;

/// A parsed log line.
struct LogLine
{
  std::string mTime;
  std::string mFile;
  json::object mFields;
};

std::string
StringField(const json::object& aFields, std::string_view aKey)
{
  const auto* value = aFields.if_contains(aKey);
  return value != nullptr && value->is_string()
           ? std::string(value->as_string())
           : std::string();
}

/// Reads the lines that are JSON objects and skips others, which none of the
/// system's processes wrote.
void
ReadLines(const std::string& aFile,
          const std::string& aText,
          std::vector<LogLine>& aLines)
{
  std::istringstream stream(aText);
  for (std::string text; std::getline(stream, text);) {
    json::error_code error;
    auto value = json::parse(text, error);
    if (!error && value.is_object()) {
      auto& fields = value.as_object();
      aLines.push_back(
        { StringField(fields, "time"), aFile, std::move(fields) });
    }
  }
}

/// Second of the day of a timestamp; -1 when it cannot be parsed.
int
SecondOfDay(const std::string& aTime)
{
  int hour = 0;
  int minute = 0;
  int second = 0;
  const bool isTime = aTime.size() >= kTimestampLength &&
                      std::sscanf(aTime.c_str() + kTimeOfDayOffset,
                                  "%2d:%2d:%2d",
                                  &hour,
                                  &minute,
                                  &second) == 3;
  return isTime ? (hour * 60 + minute) * 60 + second : -1;
}

/// Selects the lines without a request id that may explain a request's course.
struct RequestContext
{
  std::set<std::string> mEndpoints; ///< that it was sent to
  std::set<std::string> mFiles;     ///< logs of the processes that served it
  int mFromSecond = 0;
  std::string mUntilTime; ///< timestamp of its last line

  bool Includes(const LogLine& aLine) const
  {
    const int second = SecondOfDay(aLine.mTime);
    if (second < mFromSecond || aLine.mTime > mUntilTime ||
        aLine.mFields.contains("request")) {
      return false;
    }
    const auto endpoint = StringField(aLine.mFields, "endpoint");
    if (!endpoint.empty()) {
      return mEndpoints.contains(endpoint);
    }
    return mFiles.contains(aLine.mFile);
  }
};

RequestContext
ContextOf(const std::vector<LogLine>& aRequestLines)
{
  RequestContext context;
  for (const auto& line : aRequestLines) {
    context.mFiles.insert(line.mFile);
    if (const auto endpoint = StringField(line.mFields, "endpoint");
        !endpoint.empty()) {
      context.mEndpoints.insert(endpoint);
    }
  }
  context.mFromSecond = SecondOfDay(aRequestLines.front().mTime) - kLeadSeconds;
  context.mUntilTime = aRequestLines.back().mTime;
  return context;
}

void
SortByTime(std::vector<LogLine>& aLines)
{
  std::stable_sort(aLines.begin(),
                   aLines.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.mTime < aRight.mTime;
                   });
}

/// The lines with a request's id, sorted by time.
std::vector<LogLine>
LinesOfRequest(const std::string& aRequestId,
               const std::vector<LogLine>& aLines)
{
  std::vector<LogLine> requestLines;
  std::copy_if(aLines.begin(),
               aLines.end(),
               std::back_inserter(requestLines),
               [&](const LogLine& aLine) {
                 return StringField(aLine.mFields, "request") == aRequestId;
               });
  SortByTime(requestLines);
  return requestLines;
}

} // namespace

int
TraceRequest(const std::string& aRequestId,
             const std::vector<std::string>& aFiles,
             std::ostream& aOut,
             std::ostream& aErrors)
{
  std::vector<LogLine> lines;
  for (const auto& file : aFiles) {
    const auto text = ReadTextFile(file);
    if (!text) {
      aErrors << text.error().Describe() << "\n";
      return ToExitStatus(ExitCode::kBadInput);
    }
    ReadLines(file, *text, lines);
  }
  auto shown = LinesOfRequest(aRequestId, lines);
  if (shown.empty()) {
    aErrors << "no line of request " << aRequestId << "\n";
    return ToExitStatus(ExitCode::kNotFound);
  }
  const RequestContext context = ContextOf(shown);
  std::copy_if(lines.begin(),
               lines.end(),
               std::back_inserter(shown),
               [&](const LogLine& aLine) { return context.Includes(aLine); });
  SortByTime(shown);
  for (const auto& line : shown) {
    aOut << line.mFile << " " << json::serialize(line.mFields) << "\n";
  }
  return ToExitStatus(ExitCode::kDone);
}

} // namespace shuntjunction::ctl
