#include "shuntjunction/coordination/part_store_reporter.h"

#include <algorithm>
#include <iterator>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

/// Companions that follow each store, so that one may fail.
constexpr std::size_t kReportersPerStore = 2;

/// Maximum number of stores that are followed, each by its own reporters.
constexpr std::size_t kMaxStores = 8;

/// Interval at which a companion checks whether it is selected.
constexpr Millis kSelectionInterval{ 1000 };

/// Interval at which a configuration that named no store is read again. Each
/// read is costly, and most configurations without a store never get one.
constexpr Millis kNoStoreRetryInterval{ 10000 };

} // namespace

PartStoreReporter::PartStoreReporter(
  const PartStoreReporterDependencies& aDependencies)
  : mDependencies(aDependencies)
{
}

void
PartStoreReporter::Start()
{
  transport::Spawn(mDependencies.mContext, Run());
}

void
PartStoreReporter::ApplyView(std::shared_ptr<const RelayView> aView)
{
  mView = std::move(aView);
}

std::optional<std::size_t>
PartStoreReporter::Rank() const
{
  const auto& own = mDependencies.mSettings.mEngine;
  const auto hash = state::PlacementHash(own);
  bool isListed = false;
  std::size_t ahead = 0;
  for (const auto& endpoint : mView->mEndpoints) {
    if (endpoint.mModels.empty() || endpoint.mIsLeaving ||
        !IsInRegion(endpoint.mZone)) {
      continue;
    }
    isListed = isListed || endpoint.mAddress == own;
    ahead += state::PlacementHash(endpoint.mAddress) < hash ? 1 : 0;
  }
  return isListed ? std::optional(ahead) : std::nullopt;
}

bool
PartStoreReporter::IsInRegion(std::string_view aZone) const
{
  const auto& settings = mDependencies.mSettings;
  return settings.mTopology.Between(settings.mZone, aZone) !=
         state::Distance::kOtherRegion;
}

std::vector<state::KvStoreRule>
PartStoreReporter::ReportedStores(
  const std::vector<state::KvStoreRule>& aStores) const
{
  std::vector<state::KvStoreRule> local;
  std::copy_if(aStores.begin(),
               aStores.end(),
               std::back_inserter(local),
               [&](const auto& aStore) { return IsInRegion(aStore.mZone); });
  return local.empty() ? aStores : local;
}

Task<void>
PartStoreReporter::Run()
{
  while (!mFollower) {
    co_await transport::Sleep(kSelectionInterval);
    const auto rank = Rank();
    if (!rank || *rank >= kReportersPerStore * kMaxStores) {
      continue;
    }
    const auto address = co_await FindStore(*rank);
    if (!address) {
      continue;
    }
    const auto parsed = state::ParseAddress(*address);
    if (!parsed) {
      co_await transport::Sleep(kNoStoreRetryInterval);
      continue;
    }
    mDependencies.mNews.SetStore(*address);
    mStore = mDependencies.mMakeControl(*parsed);
    mFollower = std::make_unique<PartFollower>(
      mDependencies.mContext,
      *mStore,
      mDependencies.mLog,
      [this](auto aIncarnation, const auto& aGained, const auto& aLost) {
        mDependencies.mNews.ChangeParts(
          PartHolder::kStore, aIncarnation, aGained, aLost);
      },
      [this] { mDependencies.mNews.ClearParts(PartHolder::kStore); });
    mFollower->Start();
    mDependencies.mLog.Write(
      EventLine("parts", "tells-of-store").Add("store", *address));
  }
}

Task<std::optional<std::string>>
PartStoreReporter::FindStore(std::size_t aRank)
{
  const auto list =
    co_await mDependencies.mPlatform.List(mDependencies.mCodec.ConfigPrefix());
  if (!list) {
    co_return std::nullopt;
  }
  for (const auto& object : list->mObjects) {
    if (!mDependencies.mCodec.IsConfig(object.mKey)) {
      continue;
    }
    const auto rules = mDependencies.mCodec.ReadRules(object.mValue);
    if (rules) {
      const auto stores = ReportedStores(rules->mKvStores);
      const std::size_t reporters =
        kReportersPerStore * std::min(stores.size(), kMaxStores);
      std::string address;
      if (aRank < reporters) {
        address = stores[aRank / kReportersPerStore].mAddress;
      }
      co_return address;
    }
  }
  co_return std::nullopt;
}

} // namespace shuntjunction::coordination
