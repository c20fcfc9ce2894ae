#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/request_digest.h"

/// Tracks which requests make endpoints crash.
namespace shuntjunction::state {

/// Settings of a CrashTracker.
struct CrashTrackerSettings
{
  /// Number of endpoint crashes during one request after which the request is
  /// quarantined. A request that crashes every endpoint must not reach a fourth
  /// one; a request that merely ran alongside it rarely sees three crashes.
  int mQuarantineThreshold = 3;
  /// Reports about one endpoint that are closer together than this describe the
  /// same crash: several relays see it, and a restart takes at least a few
  /// seconds.
  Millis mDuplicateWindow{ 2000 };
  /// Crashes at several endpoints that are closer together than this may have
  /// one cause. Relays notice a crash within 350 ms.
  Millis mMoment{ 500 };
  /// A request with no crash for this long is no longer suspected: callers that
  /// retry do so within minutes.
  Millis mSuspicionPeriod{ std::chrono::minutes(10) };
  /// How long a quarantined request is refused. A crash ends every request on
  /// the endpoint, so a fleet can afford only one trial per hour.
  Millis mQuarantine{ std::chrono::hours(1) };
  /// Maximum number of tracked requests; 4,096 requests with three crashes each
  /// take about 1.1 MB.
  std::size_t mMaxRequests = 4096;
};

/// Reports that an endpoint crashed while a request was running on it.
struct CrashReport
{
  RequestDigest mRequest;
  std::uint64_t mEndpoint = 0; ///< hash of the endpoint id, see PlacementHash
};

/// A crash report as it is sent to another process.
struct AgedCrashReport
{
  CrashReport mReport;
  Millis mAge{ 0 }; ///< since the crash
};

/// Tracks the endpoint crashes that occurred during each request.
///
/// A request that completes on any endpoint is cleared of suspicion: it does
/// not crash every endpoint, so crashes during it had another cause.
/// Thread safety: none; owned by one thread.
class CrashTracker
{
public:
  explicit CrashTracker(const CrashTrackerSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Adds a report.
  ///
  /// @param aAt  time of the crash
  /// @return whether the crash was not yet known for this request
  bool Note(const CrashReport& aReport, TimePoint aAt);

  /// Clears a request that completed on an endpoint. Reports of earlier crashes
  /// that arrive later don't count.
  ///
  /// @param aAt  when it completed
  /// @return the reports that were dropped, so that other processes can drop
  /// them too
  std::vector<CrashReport> Clear(const RequestDigest& aRequest, TimePoint aAt);

  /// Quarantines a request for some time, regardless of its known crashes.
  ///
  /// @return whether it was not quarantined before
  bool Quarantine(const RequestDigest& aRequest,
                  TimePoint aNow,
                  Millis aDuration);

  /// Withdraws the quarantine of a request whose crashes seem to have another
  /// cause; a single further crash quarantines it.
  void Release(const RequestDigest& aRequest);

  /// Time of the first crash if all that quarantined a request came at the same
  /// moment; empty if they did not, or if it is not quarantined by crashes.
  std::optional<TimePoint> CommonMoment(const RequestDigest& aRequest,
                                        TimePoint aNow) const;

  /// Endpoints that crashed while a request ran there.
  std::vector<std::uint64_t> CrashedEndpoints(
    const RequestDigest& aRequest) const;

  /// Number of known crashes during a request.
  int Crashes(const RequestDigest& aRequest, TimePoint aNow) const;

  /// Remaining quarantine of a request; zero if it is not quarantined.
  Millis QuarantineLeft(const RequestDigest& aRequest, TimePoint aNow) const;

  /// All known reports, ordered by the number of crashes of their request,
  /// highest first.
  std::vector<AgedCrashReport> Reports(TimePoint aNow) const;

  /// Number of tracked requests, and how many of them are quarantined.
  std::size_t Suspects() const;
  std::size_t Quarantined(TimePoint aNow) const;

  const CrashTrackerSettings& Settings() const { return mSettings; }

private:
  struct Crash
  {
    std::uint64_t mEndpoint = 0;
    TimePoint mAt;
  };

  /// State of one tracked request.
  struct Record
  {
    std::vector<Crash> mCrashes; ///< latest, up to mQuarantineThreshold
    TimePoint mLatest;
    TimePoint mQuarantinedUntil;
    std::optional<TimePoint> mClearedAt;
  };

  bool IsForgotten(const Record& aRecord, TimePoint aNow) const;
  Record& RecordOf(const RequestDigest& aRequest, TimePoint aNow);
  void EvictLowestRanked(TimePoint aNow);

  CrashTrackerSettings mSettings;
  std::map<RequestDigest, Record> mRequests;
};

} // namespace shuntjunction::state
