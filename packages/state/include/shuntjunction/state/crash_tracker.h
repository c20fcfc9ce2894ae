#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/request_digest.h"

/// Which requests endpoints crash under.
namespace shuntjunction::state {

/// Settings of a CrashTracker.
struct CrashTrackerSettings
{
  /// Crashes of endpoints under one request after which it is quarantined. A
  /// request that crashes every endpoint has no better use of a fourth; one
  /// that only ran beside it is seldom there three times.
  int mQuarantineThreshold = 3;
  /// Reports of one endpoint that differ by less are of one crash: several
  /// relays see it, and an endpoint is back after some seconds at the earliest.
  Millis mDuplicateWindow{ 2000 };
  /// A request under which nothing crashed for so long is suspected no more:
  /// callers who come again do so within minutes.
  Millis mSuspicionPeriod{ std::chrono::minutes(10) };
  /// How long a quarantined request is refused. A crash costs everybody who
  /// runs there, so that one trial an hour is what a fleet can bear.
  Millis mQuarantine{ std::chrono::hours(1) };
  /// Requests that are remembered; 4,096 with three crashes took 1.1 MB.
  std::size_t mMaxRequests = 4096;
};

/// An endpoint crashed while a request ran there.
struct CrashReport
{
  RequestDigest mRequest;
  std::uint64_t mEndpoint = 0; ///< hash of its id, as PlacementHash
};

/// A report as one process tells it to another.
struct AgedCrashReport
{
  CrashReport mReport;
  Millis mAge{ 0 }; ///< since the crash
};

/// Remembers under which requests endpoints crashed.
///
/// A request that ends well anywhere is innocent: whatever crashed beside it,
/// it crashes not every endpoint.
/// Thread safety: none; owned by one thread.
class CrashTracker
{
public:
  explicit CrashTracker(const CrashTrackerSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Takes a report.
  ///
  /// @param aAt  when the endpoint crashed
  /// @return whether it is news: the crash was not known for this request
  bool Note(const CrashReport& aReport, TimePoint aAt);

  /// Takes that a request ended well at an endpoint.
  ///
  /// @return what was known of its crashes, for those who know it too
  std::vector<CrashReport> Clear(const RequestDigest& aRequest);

  /// Quarantines a request for a time, whatever is known of its crashes.
  ///
  /// @return whether it was not quarantined before
  bool Quarantine(const RequestDigest& aRequest, TimePoint aNow, Millis aFor);

  /// Crashes under a request that are remembered.
  int Crashes(const RequestDigest& aRequest, TimePoint aNow) const;

  /// How long a request is refused from now on; zero: it may run.
  Millis QuarantineLeft(const RequestDigest& aRequest, TimePoint aNow) const;

  /// All reports that are remembered, those of the requests with the most
  /// crashes first.
  std::vector<AgedCrashReport> Reports(TimePoint aNow) const;

  /// Requests that are remembered, and those of them that are refused.
  std::size_t Suspects() const { return mRequests.size(); }
  std::size_t Quarantined(TimePoint aNow) const;

  const CrashTrackerSettings& Settings() const { return mSettings; }

private:
  struct Crash
  {
    std::uint64_t mEndpoint = 0;
    TimePoint mAt;
  };

  /// What is known of one request.
  struct Record
  {
    std::vector<Crash>
      mCrashes; ///< the latest of them, at most mQuarantineThreshold
    TimePoint mLatest;
    TimePoint mRefusedUntil;
  };

  bool IsForgotten(const Record& aRecord, TimePoint aNow) const;
  Record& RecordOf(const RequestDigest& aRequest, TimePoint aNow);
  void DropLeast(TimePoint aNow);

  CrashTrackerSettings mSettings;
  std::map<RequestDigest, Record> mRequests;
};

} // namespace shuntjunction::state
