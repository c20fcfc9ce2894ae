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

/// Structured log: one JSON object per line on standard output.
namespace shuntjunction::coordination {

/// A log line: an event, its component and optionally a request.
class EventLine
{
public:
  EventLine(std::string_view aComponent,
            std::string_view aEvent,
            std::string_view aRequestId = {});

  /// Adds a field: a string, number or boolean.
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

  /// Name of the event; the rate limit applies per name.
  const std::string& Event() const { return mEvent; }

private:
  friend class EventLog;

  std::string mEvent;
  boost::json::object mFields;
};

/// Settings of an EventLog.
struct EventLogSettings
{
  std::size_t mMaxQueuedBytes = 512UL * 1024; ///< limit of the write queue
  std::uint32_t mMaxPerSecond = 400;          ///< lines per event name
  state::Millis mFlushInterval{ 200 };        ///< interval of batched writes
};

/// Writes lines on a background thread; logging never blocks on output.
///
/// A line is dropped if the queue is full or its event exceeds the rate limit.
/// Dropped lines are counted, and those over the rate limit are reported in the
/// log.
/// Thread safety: all methods may be called from any thread.
class EventLog
{
public:
  /// @param aClock  outlives the log
  EventLog(const EventLogSettings& aSettings, const state::Clock& aClock);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Queues a line.
  void Write(EventLine aLine);

  /// Number of lines dropped since the start.
  std::uint64_t Dropped() const { return mDropped.load(); }

private:
  struct Quota
  {
    std::int64_t mSecond = 0;
    std::uint32_t mUsed = 0;
    std::uint64_t mDropped = 0;
  };

  void Append(boost::json::object& aFields);
  bool ConsumeQuota(const std::string& aEvent);
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
