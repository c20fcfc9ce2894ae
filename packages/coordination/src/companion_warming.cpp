// Cache warming ahead of an event's start; state/warming.h decides which
// companion warms which prompt.

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "companion_parts.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::TimePoint;
using transport::Task;

namespace {

constexpr Millis kWarmingInterval{ 1000 };
constexpr Millis kMinWarmTime{ 1000 };
constexpr std::uint32_t kWarmWindow = 16; ///< more than the one requested token

} // namespace

Task<void>
Companion::RunWarming()
{
  while (true) {
    co_await transport::Sleep(kWarmingInterval);
    if (mIsDraining || mIsPaused || mState.mIncarnation == 0) {
      continue;
    }
    for (const auto& task : state::DueWarmTasks(*mConfig.mSnapshot,
                                                *mConfig.mInstances,
                                                mSettings.mName,
                                                mClock.WallMillis())) {
      Warm(task);
    }
  }
}

void
Companion::Warm(const state::WarmTask& aTask)
{
  const state::CacheScope scope{ aTask.mTeam, aTask.mModel, mState.mWeights };
  const auto chain = state::BuildPrefixChain(scope, aTask.Levels());
  const auto blocks = static_cast<std::uint32_t>(chain.mBlocks.size());
  const TimePoint now = mClock.Now();
  if (blocks == 0 || aTask.mModel != mState.mModel ||
      mIndex.CachedBlocks(std::span(chain.mBlocks)) == blocks) {
    return;
  }
  // Warm only once per start, even if the cache events are late or the blocks
  // were evicted again.
  const auto warmed = mWarmedAt.find(chain.mBlocks.back());
  if (warmed != mWarmedAt.end() && now < warmed->second + state::kWarmLead) {
    return;
  }
  std::erase_if(mWarmedAt, [&](const auto& aItem) {
    return now >= aItem.second + state::kWarmLead;
  });
  mWarmedAt[chain.mBlocks.back()] = now;
  boost::json::array messages;
  for (const auto& text : aTask.mSharedText) {
    messages.push_back(
      boost::json::object{ { "role", "system" }, { "content", text } });
  }
  protocol::Submit submit;
  submit.mRequestId = "warming";
  submit.mTeam = aTask.mTeam;
  submit.mServedName = aTask.mModel;
  submit.mDeadlineMs = static_cast<std::uint32_t>(
    std::max(aTask.mUntilStart, kMinWarmTime).count());
  submit.mWindow = kWarmWindow;
  submit.mBody = boost::json::serialize(
    boost::json::object{ { "model", aTask.mModel },
                         { "max_tokens", 1 },
                         { "messages", std::move(messages) } });
  mMetrics.Count("shuntjunction_warmed_total");
  Admit(std::make_shared<Work>(
    mContext.get_executor(), nullptr, std::move(submit)));
}

} // namespace shuntjunction::coordination
