#include "shuntjunction/coordination/part_store_reporter.h"

#include <algorithm>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Companions that follow each store: one may be lost.
constexpr std::size_t kTellersOfStore = 2;

/// Stores that are followed at most; each has its tellers.
constexpr std::size_t kMostStores = 8;

/// How often a companion looks whether it is one of them.
constexpr Millis kLookInterval{ 1000 };

/// How often it reads a configuration again that named no store: each reading
/// has a price, and most that name none never will.
constexpr Millis kNoStoreInterval{ 10000 };

} // namespace

PartStoreReporter::PartStoreReporter(
  const PartStoreReporterDependencies& aParts)
  : mParts(aParts)
{
}

void
PartStoreReporter::Start()
{
  transport::Spawn(mParts.mContext, Run());
}

void
PartStoreReporter::ApplyView(std::shared_ptr<const RelayView> aView)
{
  mView = std::move(aView);
}

std::optional<std::size_t>
PartStoreReporter::Rank() const
{
  const auto& own = mParts.mSettings.mEngine;
  const auto hash = state::PlacementHash(own);
  bool isListed = false;
  std::size_t ahead = 0;
  for (const auto& endpoint : mView->mEndpoints) {
    if (endpoint.mModels.empty() || endpoint.mIsLeaving) {
      continue;
    }
    isListed = isListed || endpoint.mAddress == own;
    ahead += state::PlacementHash(endpoint.mAddress) < hash ? 1 : 0;
  }
  return isListed ? std::optional(ahead) : std::nullopt;
}

Task<void>
PartStoreReporter::Run()
{
  while (!mFollower) {
    co_await transport::Sleep(kLookInterval);
    const auto rank = Rank();
    if (!rank || *rank >= kTellersOfStore * kMostStores) {
      continue;
    }
    const auto address = co_await FindStore(*rank);
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
      [this](auto aLife, const auto& aGained, const auto& aLost) {
        mParts.mNews.ChangeParts(PartHolder::kStore, aLife, aGained, aLost);
      },
      [this] { mParts.mNews.ClearParts(PartHolder::kStore); });
    mFollower->Start();
    mParts.mLog.Write(
      EventLine("parts", "tells-of-store").Add("store", *address));
  }
}

Task<std::optional<std::string>>
PartStoreReporter::FindStore(std::size_t aRank)
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
      const auto& stores = rules->mKvStores;
      const std::size_t tellers =
        kTellersOfStore * std::min(stores.size(), kMostStores);
      std::string address;
      if (aRank < tellers) {
        address = stores[aRank / kTellersOfStore].mAddress;
      }
      co_return address;
    }
  }
  co_return std::nullopt;
}

} // namespace shuntjunction::coordination
