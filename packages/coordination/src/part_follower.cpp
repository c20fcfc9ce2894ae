#include "shuntjunction/coordination/part_follower.h"

#include <map>

namespace shuntjunction::coordination {

using state::Millis;
using state::PartName;
using transport::Task;

namespace {

/// Longest wait of one call: a source holds it no longer.
constexpr Millis kWait{ 1000 };

/// Between two calls, so that several changes come with each.
constexpr Millis kBatchPause{ 60 };

/// After a failed call.
constexpr Millis kRetryPause{ 400 };

} // namespace

PartFollower::PartFollower(transport::asio::io_context& aContext,
                           EngineControl& aSource,
                           EventLog& aLog,
                           Handler aTake,
                           std::function<void()> aOnClear)
  : mContext(aContext)
  , mSource(aSource)
  , mLog(aLog)
  , mTake(std::move(aTake))
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
    Take(*changes);
    co_await transport::Sleep(kBatchPause);
  }
}

void
PartFollower::Take(const PartChanges& aChanges)
{
  if (aChanges.mEpoch != mEpoch) {
    const bool isAskedFromBefore = mNext != 0;
    mEpoch = aChanges.mEpoch;
    mOnClear();
    if (isAskedFromBefore) {
      // Asked from a position of its former life: all of this one is wanted.
      mNext = 0;
      return;
    }
  }
  if (aChanges.mIsGap) {
    mLog.Write(EventLine("parts", "gap").Add("next", aChanges.mNext));
  }
  mNext = aChanges.mNext;
  // Of several changes of one part the last counts.
  std::map<std::string, bool> last;
  for (const auto& change : aChanges.mChanges) {
    last[PartName(change.mSalt, change.mPart)] = change.mIsKept;
  }
  std::vector<std::string> gained;
  std::vector<std::string> lost;
  for (const auto& [name, isKept] : last) {
    (isKept ? gained : lost).push_back(name);
  }
  if (!gained.empty() || !lost.empty()) {
    mTake(aChanges.mEndpointIncarnation, gained, lost);
  }
}

} // namespace shuntjunction::coordination
