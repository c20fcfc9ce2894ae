#include "shuntjunction/coordination/part_store_teller.h"

#include <algorithm>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Companions that follow the store: one may be lost.
constexpr std::size_t kTellers = 2;

/// How often a companion looks whether it is one of them.
constexpr Millis kLookInterval{ 1000 };

/// How often it reads a configuration again that named no store: each reading
/// has a price, and most that name none never will.
constexpr Millis kNoStoreInterval{ 10000 };

} // namespace

PartStoreTeller::PartStoreTeller(const PartStoreTellerParts& aParts)
  : mParts(aParts)
{
}

void
PartStoreTeller::Start()
{
  transport::Spawn(mParts.mContext, Run());
}

void
PartStoreTeller::TakeView(std::shared_ptr<const RelayView> aView)
{
  mView = std::move(aView);
}

bool
PartStoreTeller::IsTeller() const
{
  std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
  for (const auto& endpoint : mView->mEndpoints) {
    if (!endpoint.mModels.empty() && !endpoint.mIsLeaving) {
      ranked.emplace_back(state::PlacementHash(endpoint.mAddress),
                          endpoint.mAddress);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kTellers));
  return std::any_of(ranked.begin(), ranked.end(), [&](const auto& aRank) {
    return aRank.second == mParts.mSettings.mEngine;
  });
}

Task<void>
PartStoreTeller::Run()
{
  while (!mFollower) {
    co_await transport::Sleep(kLookInterval);
    if (!IsTeller()) {
      continue;
    }
    const auto address = co_await FindStore();
    if (!address) {
      continue;
    }
    const auto parsed = state::ParseAddress(*address);
    if (!parsed) {
      co_await transport::Sleep(kNoStoreInterval);
      continue;
    }
    mParts.mNews.SetStore(*address);
    mStore = mParts.mMakeControl(*parsed);
    mFollower = std::make_unique<PartFollower>(
      mParts.mContext,
      *mStore,
      mParts.mLog,
      [this](const auto& aGained, const auto& aLost) {
        mParts.mNews.ChangeParts(PartHolder::kStore, aGained, aLost);
      },
      [this] { mParts.mNews.ClearParts(PartHolder::kStore); });
    mFollower->Start();
    mParts.mLog.Write(
      EventLine("parts", "tells-of-store").Add("store", *address));
  }
}

Task<std::optional<std::string>>
PartStoreTeller::FindStore()
{
  const auto list =
    co_await mParts.mPlatform.List(mParts.mCodec.ConfigPrefix());
  if (!list) {
    co_return std::nullopt;
  }
  for (const auto& object : list->mObjects) {
    if (!mParts.mCodec.IsConfig(object.mKey)) {
      continue;
    }
    const auto rules = mParts.mCodec.ReadRules(object.mValue);
    if (rules) {
      const auto& stores = rules->mPartStores;
      std::string address;
      if (!stores.empty()) {
        address = stores.front().mAddress;
      }
      co_return address;
    }
  }
  co_return std::nullopt;
}

} // namespace shuntjunction::coordination
