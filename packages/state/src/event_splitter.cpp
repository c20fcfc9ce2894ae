#include "shuntjunction/state/event_splitter.h"

#include <algorithm>
#include <array>
#include <utility>

#include "shuntjunction/state/field_value.h"

namespace shuntjunction::state {

namespace {

constexpr char kLf = '\n';
constexpr char kCr = '\r';
constexpr std::string_view kLineEnds = "\r\n";
constexpr std::string_view kIdName = "id";
constexpr std::string_view kDataName = "data";
constexpr std::array<std::string_view, 4> kFieldNames{ kIdName,
                                                       kDataName,
                                                       "event",
                                                       "retry" };

} // namespace

std::string
EventSplitter::Put(std::string_view aBytes)
{
  std::size_t next = mPending.size();
  std::size_t complete = 0;
  mPending += aBytes;
  while (next < mPending.size()) {
    const bool isSecondOfCrLf =
      std::exchange(mIsAfterCr, false) && mPending[next] == kLf;
    const auto end =
      isSecondOfCrLf ? next : mPending.find_first_of(kLineEnds, next);
    if (end == std::string::npos) {
      break;
    }
    if (!isSecondOfCrLf) {
      EndLine(std::string_view(mPending).substr(mLineStart, end - mLineStart));
    }
    mIsAfterCr = mPending[end] == kCr;
    next = end + 1;
    mLineStart = next;
    if (!mHasFields) {
      complete = next;
    }
  }
  std::string events = mPending.substr(0, complete);
  mPending.erase(0, complete);
  mLineStart -= complete;
  return events;
}

void
EventSplitter::EndLine(std::string_view aLine)
{
  if (aLine.empty()) {
    mHasFields = false;
    mHasEvents = mHasEvents || std::exchange(mHasKnownField, false);
    const bool hasData = std::exchange(mHasData, false);
    if (mId) {
      mPosition.mLastEventId = *std::exchange(mId, std::nullopt);
      // Only an id that a request can carry names a position to go on from.
      mPosition.mIsExact =
        !mPosition.mLastEventId.empty() && IsFieldValue(mPosition.mLastEventId);
    } else if (hasData) {
      mPosition.mIsExact = false;
    }
    return;
  }
  const auto colon = aLine.find(':');
  if (colon == 0) {
    return; // a comment
  }
  mHasFields = true;
  const auto name = aLine.substr(0, colon);
  mHasKnownField =
    mHasKnownField || std::find(kFieldNames.begin(), kFieldNames.end(), name) !=
                        kFieldNames.end();
  mHasData = mHasData || name == kDataName;
  if (name != kIdName) {
    return;
  }
  auto value = colon == std::string_view::npos ? std::string_view()
                                               : aLine.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (value.find('\0') == std::string_view::npos) {
    mId = value;
  }
}

std::string
UnifyLineEnds(std::string_view aText)
{
  std::string text;
  text.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool isCrLf =
      aText[i] == kCr && i + 1 < aText.size() && aText[i + 1] == kLf;
    if (!isCrLf) {
      text += aText[i] == kCr ? kLf : aText[i];
    }
  }
  return text;
}

std::string
EventData(std::string_view aEvent)
{
  constexpr std::string_view kName = "data:";
  std::string data;
  bool isFirst = true;
  while (!aEvent.empty()) {
    auto line = aEvent.substr(0, aEvent.find(kLf));
    aEvent.remove_prefix(std::min(line.size() + 1, aEvent.size()));
    if (!line.starts_with(kName)) {
      continue;
    }
    line.remove_prefix(kName.size());
    line.remove_prefix(line.starts_with(' ') ? 1 : 0);
    data += std::exchange(isFirst, false) ? "" : "\n";
    data += line;
  }
  return data;
}

} // namespace shuntjunction::state
