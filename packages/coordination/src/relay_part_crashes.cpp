#include "relay_part_crashes.h"

#include <algorithm>
#include <utility>

#include "relay_core.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using protocol::PartCrashUpdate;
using state::Millis;
using state::PartSuspicion;
using state::RequestDigest;
using transport::Task;

namespace {

/// Crashes of the same moment are reported together.
constexpr Millis kReportBatchDelay{ 10 };

/// Time for which a quarantine has to stand before it is stored: a part that
/// was refused in place of the one that always goes with it is released as soon
/// as that one crashes another endpoint.
constexpr Millis kStoreDelay{ 5000 };

} // namespace

RelayPartCrashes::RelayPartCrashes(const RelayDependencies& aDependencies,
                                   RelayCrashes& aCrashes)
  : mDependencies(aDependencies)
  , mCrashes(aCrashes)
  , mTracker(state::PartCrashSettings{})
{
}

PartSuspicion
RelayPartCrashes::SuspicionOf(const RequestParts& aParts) const
{
  auto highest = PartSuspicion::kNone;
  for (const auto& part : aParts.mParts) {
    highest =
      std::max(highest, mTracker.SuspicionOf(part, aParts.mTeam, Now()));
  }
  return highest;
}

Millis
RelayPartCrashes::QuarantineLeft(const RequestParts& aParts) const
{
  Millis left{ 0 };
  for (const auto& part : aParts.mParts) {
    left = std::max(left, mTracker.QuarantineLeft(part, aParts.mTeam, Now()));
  }
  return left;
}

std::vector<RelayPartCrashes::Waiting::iterator>
RelayPartCrashes::Begin(const RequestParts& aParts,
                        const std::function<void()>& aEnd)
{
  std::vector<Waiting::iterator> waiting;
  waiting.reserve(aParts.mParts.size());
  for (const auto& part : aParts.mParts) {
    waiting.push_back(mWaiting.emplace(part, aEnd));
  }
  return waiting;
}

void
RelayPartCrashes::End(std::vector<Waiting::iterator>& aWaiting)
{
  for (const auto& entry : aWaiting) {
    mWaiting.erase(entry);
  }
  aWaiting.clear();
}

std::optional<std::vector<RequestDigest>>
RelayPartCrashes::AcquireTrials(const RequestParts& aParts,
                                std::size_t aRelays,
                                double aDraw)
{
  const auto now = Now();
  std::vector<RequestDigest> restricted;
  bool isDue = true;
  for (const auto& part : aParts.mParts) {
    const auto suspicion = mTracker.SuspicionOf(part, aParts.mTeam, now);
    if (suspicion < PartSuspicion::kRestricted) {
      continue;
    }
    const auto [next, isNew] = mNextTrials.try_emplace(part);
    if (isNew) {
      next->second = now + mTracker.TrialDelay(aRelays, aDraw);
    }
    isDue =
      isDue && now >= next->second && now >= mTracker.NextTrialAt(part, now);
    restricted.push_back(part);
  }
  const bool isFree = restricted.empty() || (isDue && !mIsTrialRunning);
  if (!isFree) {
    return std::nullopt;
  }
  mIsTrialRunning = mIsTrialRunning || !restricted.empty();
  return restricted;
}

void
RelayPartCrashes::ReleaseTrials(std::vector<RequestDigest>& aTrials)
{
  if (aTrials.empty()) {
    return;
  }
  mIsTrialRunning = false;
  for (const auto& part : aTrials) {
    mNextTrials.erase(part);
  }
  aTrials.clear();
}

void
RelayPartCrashes::NoteCrash(const RequestParts& aParts,
                            const RelayEndpoint& aEndpoint,
                            bool aIsTrial,
                            state::TimePoint aAt)
{
  if (aParts.mParts.empty()) {
    return;
  }
  const state::PartCrash crash{ aParts.mParts,
                                aParts.mTeam,
                                state::PlacementHash(aEndpoint.mInfo.mAddress),
                                aIsTrial };
  const auto changes = mTracker.Note(crash, aAt);
  if (!changes.mIsNew) {
    return;
  }
  std::erase_if(mNextTrials, [this](const auto& aItem) {
    return mTracker.Crashes(aItem.first) <
           mTracker.Settings().mRestrictedCrashes;
  });
  for (const auto& part : aParts.mParts) {
    if (mOwnCrashes.size() >= mTracker.Settings().mMaxParts) {
      mOwnCrashes.clear();
    }
    mOwnCrashes.insert(part);
    const auto suspicion = mTracker.SuspicionOf(part, aParts.mTeam, Now());
    mDependencies.mLog.Write(
      EventLine(kRelayComponent, "part-crash")
        .Add("endpoint", aEndpoint.mInfo.mId)
        .Add("content", part.Text())
        .Add("crashes", mTracker.Crashes(part))
        .Add("trial", aIsTrial)
        .Add("suspicion", state::kPartSuspicionNames.Name(suspicion)));
  }
  const auto age = std::chrono::duration_cast<Millis>(Now() - aAt);
  QueueReport({ { crash, age }, false });
  Apply(changes, "own");
}

void
RelayPartCrashes::NoteAnswered(const RequestParts& aParts)
{
  // The clock is that of this relay's own reports.
  const auto at = Now() + mTracker.Settings().mMaxSkew;
  for (const auto& part : aParts.mParts) {
    for (const auto endpoint : mTracker.Clear(part, aParts.mTeam, at)) {
      QueueReport(
        { { { { part }, aParts.mTeam, endpoint, false }, Millis(0) }, true });
      mNextTrials.erase(part);
    }
    EndQuarantine(part);
  }
}

void
RelayPartCrashes::ApplyReports(const protocol::CrashReports& aReports)
{
  for (const auto& update : aReports.mParts) {
    const auto& crash = update.mReport.mCrash;
    const auto at = Now() - update.mReport.mAge;
    if (update.mIsCleared) {
      mTracker.Clear(crash.mParts.front(), crash.mTeam, at);
      mNextTrials.erase(crash.mParts.front());
      EndQuarantine(crash.mParts.front());
    } else {
      Apply(mTracker.Note(crash, at), "relays");
    }
  }
}

void
RelayPartCrashes::Release(const RequestDigest& aDigest)
{
  const auto part = mTracker.FindRefused(aDigest);
  if (!part) {
    return;
  }
  for (const auto& crash : mTracker.Forget(*part)) {
    QueueReport(
      { { { { *part }, crash.mTeam, crash.mEndpoint, false }, Millis(0) },
        true });
  }
}

void
RelayPartCrashes::SetGauges()
{
  mDependencies.mMetrics.Set("shuntjunction_relay_suspect_parts",
                             static_cast<double>(mTracker.Suspects()));
  mDependencies.mMetrics.Set("shuntjunction_relay_quarantined_parts",
                             static_cast<double>(mTracker.Condemned(Now())));
}

void
RelayPartCrashes::Apply(const state::PartChanges& aChanges,
                        std::string_view aSource)
{
  for (const auto& part : aChanges.mCondemned) {
    transport::Spawn(mDependencies.mContext,
                     BeginQuarantine(part, std::string(aSource)));
  }
  for (const auto& part : aChanges.mReleased) {
    EndQuarantine(part);
  }
}

void
RelayPartCrashes::EndQuarantine(const RequestDigest& aPart)
{
  const auto refused = mRefused.find(aPart);
  if (refused == mRefused.end() ||
      mTracker.RefusalLeft(aPart, Now()) > Millis(0)) {
    return;
  }
  mDependencies.mLog.Write(EventLine(kRelayComponent, "part-released")
                             .Add("content", refused->second.Text()));
  mCrashes.Forget(refused->second);
  mRefused.erase(refused);
}

Task<void>
RelayPartCrashes::BeginQuarantine(RequestDigest aPart, std::string aSource)
{
  co_await transport::Sleep(mTracker.Settings().mSettlePeriod);
  if (mTracker.RefusalLeft(aPart, Now()) == Millis(0)) {
    co_return;
  }
  const auto digest = mTracker.RefusedDigest(aPart);
  mRefused[aPart] = digest;
  mDependencies.mLog.Write(EventLine(kRelayComponent, "part-quarantined")
                             .Add("content", digest.Text())
                             .Add("shared", aPart.Text())
                             .Add("source", aSource)
                             .Add("crashes", mTracker.Crashes(aPart))
                             .Add("all_teams", digest == aPart));
  mDependencies.mMetrics.Count("shuntjunction_relay_part_quarantines_total",
                               { { "source", aSource } });
  if (mOwnCrashes.contains(aPart) && mDependencies.mStoreQuarantine) {
    transport::Spawn(mDependencies.mContext, StoreSoon(aPart));
  }
  // Its callback decides by the request's team.
  const auto [first, last] = mWaiting.equal_range(aPart);
  std::vector<std::function<void()>> ends;
  for (auto waiting = first; waiting != last; ++waiting) {
    ends.push_back(waiting->second);
  }
  for (const auto& end : ends) {
    end();
  }
}

Task<void>
RelayPartCrashes::StoreSoon(RequestDigest aPart)
{
  co_await transport::Sleep(kStoreDelay);
  const auto digest = mTracker.RefusedDigest(aPart);
  const auto left = mTracker.RefusalLeft(aPart, Now());
  if (left > Millis(0)) {
    mDependencies.mStoreQuarantine(digest, left);
  }
}

void
RelayPartCrashes::QueueReport(PartCrashUpdate aUpdate)
{
  if (!mDependencies.mSendCrashReports) {
    return;
  }
  const bool isFirst = mPendingReports.empty();
  mPendingReports[aUpdate.mReport.mCrash.mEndpoint].mParts.push_back(
    std::move(aUpdate));
  if (isFirst) {
    transport::Spawn(mDependencies.mContext, FlushSoon());
  }
}

Task<void>
RelayPartCrashes::FlushSoon()
{
  co_await transport::Sleep(kReportBatchDelay);
  for (const auto& [endpoint, reports] : std::exchange(mPendingReports, {})) {
    mDependencies.mSendCrashReports(endpoint, reports);
  }
}

} // namespace shuntjunction::coordination
