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

/// A cause is looked for in the lines of so many seconds before a request.
constexpr int kSecondsBefore = 10;

/// Length of a time up to its seconds: "2026-06-29T19:57:24".
constexpr std::size_t kSecondsEnd = 19;

/// Where the time of day begins in it.
constexpr std::size_t kTimeOfDay = 11;

/// A line of a log.
struct Line
{
  std::string mTime;
  std::string mFile;
  json::object mFields;
};

std::string
TextOf(const json::object& aFields, std::string_view aKey)
{
  const auto* value = aFields.if_contains(aKey);
  return value != nullptr && value->is_string()
           ? std::string(value->as_string())
           : std::string();
}

/// Reads the lines that are JSON objects; others are of no process of ours.
void
ReadLines(const std::string& aFile,
          const std::string& aText,
          std::vector<Line>& aLines)
{
  std::istringstream stream(aText);
  for (std::string text; std::getline(stream, text);) {
    json::error_code error;
    auto value = json::parse(text, error);
    if (!error && value.is_object()) {
      auto& fields = value.as_object();
      aLines.push_back({ TextOf(fields, "time"), aFile, std::move(fields) });
    }
  }
}

/// Seconds of a day; -1 when it is no time.
int
SecondOfDay(const std::string& aTime)
{
  int hour = 0;
  int minute = 0;
  int second = 0;
  const bool isTime =
    aTime.size() >= kSecondsEnd &&
    std::sscanf(
      aTime.c_str() + kTimeOfDay, "%2d:%2d:%2d", &hour, &minute, &second) == 3;
  return isTime ? (hour * 60 + minute) * 60 + second : -1;
}

/// Which lines of other matters belong to a request's story.
struct Story
{
  std::set<std::string> mEndpoints; ///< that it met
  std::set<std::string> mFiles;     ///< whose process served it
  int mFrom = 0;
  std::string mUntil; ///< time of its last line

  bool Has(const Line& aLine) const
  {
    const int second = SecondOfDay(aLine.mTime);
    if (second < mFrom || aLine.mTime > mUntil ||
        aLine.mFields.contains("request")) {
      return false;
    }
    const auto endpoint = TextOf(aLine.mFields, "endpoint");
    if (!endpoint.empty()) {
      return mEndpoints.contains(endpoint);
    }
    return mFiles.contains(aLine.mFile);
  }
};

Story
StoryOf(const std::vector<Line>& aOwn)
{
  Story story;
  for (const auto& line : aOwn) {
    story.mFiles.insert(line.mFile);
    if (const auto endpoint = TextOf(line.mFields, "endpoint");
        !endpoint.empty()) {
      story.mEndpoints.insert(endpoint);
    }
  }
  story.mFrom = SecondOfDay(aOwn.front().mTime) - kSecondsBefore;
  story.mUntil = aOwn.back().mTime;
  return story;
}

void
SortByTime(std::vector<Line>& aLines)
{
  std::stable_sort(
    aLines.begin(), aLines.end(), [](const Line& aLeft, const Line& aRight) {
      return aLeft.mTime < aRight.mTime;
    });
}

/// The lines that name a request, by time.
std::vector<Line>
LinesOf(const std::string& aRequestId, const std::vector<Line>& aAll)
{
  std::vector<Line> own;
  std::copy_if(
    aAll.begin(), aAll.end(), std::back_inserter(own), [&](const Line& aLine) {
      return TextOf(aLine.mFields, "request") == aRequestId;
    });
  SortByTime(own);
  return own;
}

} // namespace

int
TraceRequest(const std::string& aRequestId,
             const std::vector<std::string>& aFiles,
             std::ostream& aOut,
             std::ostream& aErrors)
{
  std::vector<Line> all;
  for (const auto& file : aFiles) {
    const auto text = ReadFile(file);
    if (!text) {
      aErrors << text.error().Describe() << "\n";
      return Code(ExitCode::kBadInput);
    }
    ReadLines(file, *text, all);
  }
  auto shown = LinesOf(aRequestId, all);
  if (shown.empty()) {
    aErrors << "no line of request " << aRequestId << "\n";
    return Code(ExitCode::kNotFound);
  }
  const Story story = StoryOf(shown);
  std::copy_if(all.begin(),
               all.end(),
               std::back_inserter(shown),
               [&](const Line& aLine) { return story.Has(aLine); });
  SortByTime(shown);
  for (const auto& line : shown) {
    aOut << line.mFile << " " << json::serialize(line.mFields) << "\n";
  }
  return Code(ExitCode::kDone);
}

} // namespace shuntjunction::ctl
