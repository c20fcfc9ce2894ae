#include "shuntjunction/coordination/part_follower.h"

#include <map>

namespace shuntjunction::coordination {

using state::Millis;
using state::PartName;
using transport::Task;

namespace {

/// Longest wait of one call; a source does not hold it any longer.
constexpr Millis kWait{ 1000 };

/// Pause between two calls, so that each returns several changes.
constexpr Millis kBatchPause{ 60 };

/// Pause after a failed call.
constexpr Millis kRetryPause{ 400 };

} // namespace

PartFollower::PartFollower(transport::asio::io_context& aContext,
                           EngineControl& aSource,
                           EventLog& aLog,
                           Handler aOnChanges,
                           std::function<void()> aOnClear)
  : mContext(aContext)
  , mSource(aSource)
  , mLog(aLog)
  , mOnChanges(std::move(aOnChanges))
  , mOnClear(std::move(aOnClear))
{
}

void
PartFollower::Start()
{
  transport::Spawn(mContext, Run());
}

Task<void>
PartFollower::Run()
{
  bool isLost = false;
  while (true) {
    const auto changes = co_await mSource.Changes(mNext, kWait);
    if (!changes) {
      if (!std::exchange(isLost, true)) {
        mLog.Write(EventLine("parts", "source-lost")
                     .Add("error", changes.error().Describe()));
      }
      co_await transport::Sleep(kRetryPause);
      continue;
    }
    if (std::exchange(isLost, false)) {
      mLog.Write(EventLine("parts", "source-regained"));
    }
    Deliver(*changes);
    co_await transport::Sleep(kBatchPause);
  }
}

void
PartFollower::Deliver(const PartChanges& aChanges)
{
  if (aChanges.mEpoch != mEpoch) {
    const bool wasFollowingFormer = mNext != 0;
    mEpoch = aChanges.mEpoch;
    mOnClear();
    if (wasFollowingFormer) {
      // The request named a position of the former incarnation; request
      // everything of this one.
      mNext = 0;
      return;
    }
  }
  if (aChanges.mIsGap) {
    mLog.Write(EventLine("parts", "gap").Add("next", aChanges.mNext));
  }
  mNext = aChanges.mNext;
  // Only the last of several changes of a part counts.
  std::map<std::string, bool> last;
  for (const auto& change : aChanges.mChanges) {
    last[PartName(change.mSalt, change.mPart)] = change.mIsStored;
  }
  std::vector<std::string> gained;
  std::vector<std::string> lost;
  for (const auto& [name, isKept] : last) {
    (isKept ? gained : lost).push_back(name);
  }
  if (!gained.empty() || !lost.empty()) {
    mOnChanges(aChanges.mEndpointIncarnation, gained, lost);
  }
}

} // namespace shuntjunction::coordination
