#include "crash_memory.h"

namespace shuntjunction::coordination {

using protocol::CrashReports;
using state::TimePoint;

namespace {

/// Crashes that a relay is sent when it connects: about 80 KB. Those of the
/// requests with the most crashes come first.
constexpr std::size_t kMaxCrashesSent = 1024;

} // namespace

CrashReports
CrashMemory::Add(const CrashReports& aReports, TimePoint aNow)
{
  CrashReports news;
  for (const auto& update : aReports.mUpdates) {
    const auto& report = update.mReport.mReport;
    const auto at = aNow - update.mReport.mAge;
    const bool isNew = update.mIsCleared
                         ? !mRequests.Clear(report.mRequest, at).empty()
                         : mRequests.Note(report, at);
    if (isNew) {
      news.mUpdates.push_back(update);
    }
  }
  for (const auto& update : aReports.mParts) {
    const auto& crash = update.mReport.mCrash;
    const auto at = aNow - update.mReport.mAge;
    const bool isNew =
      update.mIsCleared
        ? !mParts.Clear(crash.mParts.front(), crash.mTeam, at).empty()
        : mParts.Note(crash, at).mIsNew;
    if (isNew) {
      news.mParts.push_back(update);
    }
  }
  return news;
}

CrashReports
CrashMemory::Known(TimePoint aNow) const
{
  CrashReports known;
  for (auto& report : mRequests.Reports(aNow)) {
    if (known.mUpdates.size() >= kMaxCrashesSent) {
      break;
    }
    known.mUpdates.push_back({ std::move(report), false });
  }
  for (auto& report : mParts.Reports(aNow)) {
    if (known.mParts.size() >= kMaxCrashesSent) {
      break;
    }
    known.mParts.push_back({ std::move(report), false });
  }
  return known;
}

} // namespace shuntjunction::coordination
