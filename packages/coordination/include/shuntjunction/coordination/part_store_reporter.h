#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "shuntjunction/coordination/engine_news.h"
#include "shuntjunction/coordination/part_follower.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/coordination/relay_settings.h"

/// Tells relays what the part store keeps.
namespace shuntjunction::coordination {

/// What a PartStoreReporter is built from; all parts outlive it.
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

/// Follows a part store where this companion is one of the few that do.
///
/// A store answers few such calls at once, so not every process may ask; two
/// companions a store do, chosen by a function of the list that all compute
/// alike.
/// Thread safety: none; used on the thread of its context.
class PartStoreReporter
{
public:
  explicit PartStoreReporter(const PartStoreReporterDependencies& aParts);

  /// Begins to look whether it is its turn.
  void Start();

  /// Takes a newer view of the platform's objects.
  void ApplyView(std::shared_ptr<const RelayView> aView);

private:
  transport::Task<void> Run();
  /// Address of the store that the companion of a rank follows; empty when it
  /// follows none, nothing when there is no configuration yet.
  transport::Task<std::optional<std::string>> FindStore(std::size_t aRank);
  /// Engines that come before this companion's in the order of tellers; empty
  /// when its own is not listed.
  std::optional<std::size_t> Rank() const;

  PartStoreReporterDependencies mParts;
  std::shared_ptr<const RelayView> mView = std::make_shared<RelayView>();
  std::unique_ptr<EngineControl> mStore;
  std::unique_ptr<PartFollower> mFollower;
};

} // namespace shuntjunction::coordination
