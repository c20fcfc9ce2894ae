#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/coordination/engine_news.h"
#include "shuntjunction/coordination/part_follower.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/coordination/relay_settings.h"

/// Reports the contents of the part store to relays.
namespace shuntjunction::coordination {

/// Dependencies of a PartStoreReporter; all of them outlive it.
struct PartStoreReporterDependencies
{
  transport::asio::io_context& mContext;
  const FleetSettings& mSettings;
  Platform& mPlatform;
  const StoreCodec& mCodec;
  std::function<std::unique_ptr<EngineControl>(const state::Address&)>
    mMakeControl;
  EngineNewsServer& mNews;
  EventLog& mLog;
};

/// Follows the changes of a part store if this companion is selected to.
///
/// A part store serves only few concurrent change queries, so only two
/// companions per store follow it, in a fleet of several regions two of each
/// region that uses the store. All companions of a region derive the same
/// selection from the endpoint list.
/// Thread safety: none; used on the thread of its context.
class PartStoreReporter
{
public:
  explicit PartStoreReporter(
    const PartStoreReporterDependencies& aDependencies);

  /// Starts checking whether this companion is selected.
  void Start();

  /// Sets a newer view of the platform's objects.
  void ApplyView(std::shared_ptr<const RelayView> aView);

private:
  transport::Task<void> Run();
  /// Address of the store that the companion of a rank follows; an empty string
  /// if it follows none, nullopt if no configuration could be read.
  transport::Task<std::optional<std::string>> FindStore(std::size_t aRank);
  /// Whether a zone may belong to the region of this companion.
  bool IsInRegion(std::string_view aZone) const;
  /// The stores that companions of this region report: those of the region, or
  /// all if it has none.
  std::vector<state::KvStoreRule> ReportedStores(
    const std::vector<state::KvStoreRule>& aStores) const;
  /// Rank of this companion's engine in the selection order of its region;
  /// nullopt if the engine is not listed.
  std::optional<std::size_t> Rank() const;

  PartStoreReporterDependencies mDependencies;
  std::shared_ptr<const RelayView> mView = std::make_shared<RelayView>();
  std::unique_ptr<EngineControl> mStore;
  std::unique_ptr<PartFollower> mFollower;
};

} // namespace shuntjunction::coordination
