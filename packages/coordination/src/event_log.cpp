#include "shuntjunction/coordination/event_log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

#include <unistd.h>

#include <boost/json/serialize.hpp>

namespace shuntjunction::coordination {

namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

/// Formats wall time as UTC with milliseconds.
std::string
TimeText(std::int64_t aMillis)
{
  const std::time_t seconds = aMillis / kMillisPerSecond;
  std::tm calendar{};
  gmtime_r(&seconds, &calendar);
  std::array<char, 32> day{};
  std::array<char, 48> text{};
  std::strftime(day.data(), day.size(), "%Y-%m-%dT%H:%M:%S", &calendar);
  std::snprintf(text.data(),
                text.size(),
                "%s.%03dZ",
                day.data(),
                static_cast<int>(aMillis % kMillisPerSecond));
  return text.data();
}

} // namespace

EventLine::EventLine(std::string_view aComponent,
                     std::string_view aEvent,
                     std::string_view aRequestId)
  : mEvent(aEvent)
{
  mFields.reserve(16);
  mFields["time"] = nullptr;
  mFields["part"] = aComponent;
  mFields["event"] = aEvent;
  if (!aRequestId.empty()) {
    mFields["request"] = aRequestId;
  }
}

EventLog::EventLog(const EventLogSettings& aSettings,
                   const state::Clock& aClock)
  : mSettings(aSettings)
  , mClock(aClock)
  , mWriter([this] { Run(); })
{
}

EventLog::~EventLog()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mWake.notify_one();
  mWriter.join();
}

void
EventLog::Write(EventLine aLine)
{
  const std::lock_guard lock(mMutex);
  if (!ConsumeQuota(aLine.mEvent)) {
    ++mDropped;
    return;
  }
  Append(aLine.mFields);
}

void
EventLog::Append(boost::json::object& aFields)
{
  if (mQueued.size() >= mSettings.mMaxQueuedBytes) {
    ++mDropped;
    return;
  }
  aFields["time"] = TimeText(mClock.WallMillis());
  mQueued += boost::json::serialize(aFields);
  mQueued += '\n';
}

bool
EventLog::ConsumeQuota(const std::string& aEvent)
{
  auto& quota = mQuotas[aEvent];
  const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                                mClock.Now().time_since_epoch())
                                .count();
  if (quota.mSecond != second) {
    ReportDropped(aEvent, quota);
    quota = Quota{ second };
  }
  if (quota.mUsed >= mSettings.mMaxPerSecond) {
    ++quota.mDropped;
    return false;
  }
  ++quota.mUsed;
  return true;
}

void
EventLog::ReportDropped(const std::string& aEvent, Quota& aQuota)
{
  if (aQuota.mDropped == 0) {
    return;
  }
  EventLine line("log", "lines-dropped");
  line.Add("of", aEvent).Add("lines", aQuota.mDropped);
  Append(line.mFields);
}

void
EventLog::Run()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping || !mQueued.empty()) {
    if (!mIsStopping) {
      mWake.wait_for(lock, mSettings.mFlushInterval);
    }
    std::string lines;
    lines.swap(mQueued);
    lock.unlock();
    std::string_view rest = lines;
    while (!rest.empty()) {
      const auto written = ::write(STDOUT_FILENO, rest.data(), rest.size());
      if (written <= 0) {
        // Standard output is closed, so the loss can only be counted.
        mDropped += static_cast<std::uint64_t>(
          std::count(rest.begin(), rest.end(), '\n'));
        break;
      }
      rest.remove_prefix(static_cast<std::size_t>(written));
    }
    lock.lock();
  }
}

} // namespace shuntjunction::coordination
