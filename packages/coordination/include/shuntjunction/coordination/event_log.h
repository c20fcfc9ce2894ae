#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <type_traits>
#include <utility>
#include <vector>

#include <boost/json/object.hpp>

#include "shuntjunction/state/clock.h"

/// Structured log: one JSON object a line on standard output.
namespace shuntjunction::coordination {

/// One line: what happened, in which part, to which request.
class EventLine
{
public:
  EventLine(std::string_view aPart,
            std::string_view aEvent,
            std::string_view aRequestId = {});

  /// Adds a field: a text, a number, or true or false.
  template<typename T>
  EventLine& Add(std::string_view aName, const T& aValue) &
  {
    if constexpr (std::is_convertible_v<const T&, std::string_view>) {
      mFields[aName] = std::string_view(aValue);
    } else {
      mFields[aName] = aValue;
    }
    return *this;
  }
  template<typename T>
  EventLine&& Add(std::string_view aName, const T& aValue) &&
  {
    return std::move(Add(aName, aValue));
  }

  /// The event's name, by which its volume is bounded.
  const std::string& Event() const { return mEvent; }

private:
  friend class EventLog;

  std::string mEvent;
  boost::json::object mFields;
};

/// Settings of an EventLog.
struct EventLogSettings
{
  std::size_t mMaxQueuedBytes = 512UL * 1024; ///< lines that wait to be written
  std::uint32_t mMaxPerSecond = 400;          ///< lines of one event
  state::Millis mFlushInterval{ 200 };        ///< lines are written in groups
};

/// Writes lines in the background; never blocks the thread that logs.
///
/// A line that finds the queue full, or its event over its limit, is dropped
/// and counted; the count is logged.
/// Thread safety: all methods may be called from any thread.
class EventLog
{
public:
  /// @param aClock  outlives the log
  EventLog(const EventLogSettings& aSettings, const state::Clock& aClock);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Logs a line.
  void Write(EventLine aLine);

  /// Lines that were dropped since the start.
  std::uint64_t Dropped() const { return mDropped.load(); }

private:
  struct Quota
  {
    std::int64_t mSecond = 0;
    std::uint32_t mUsed = 0;
    std::uint64_t mDropped = 0;
  };

  void Append(boost::json::object& aFields);
  bool TakeQuota(const std::string& aEvent);
  void ReportDropped(const std::string& aEvent, Quota& aQuota);
  void Run();

  EventLogSettings mSettings;
  const state::Clock& mClock;
  std::atomic<std::uint64_t> mDropped{ 0 };
  std::mutex mMutex;
  std::condition_variable mWake;
  std::string mQueued;
  std::map<std::string, Quota> mQuotas;
  bool mIsStopping = false;
  std::thread mWriter;
};

} // namespace shuntjunction::coordination
