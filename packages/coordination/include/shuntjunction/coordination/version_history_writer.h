#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/relay_codec.h"
#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/streams/version_history.h"

/// Keeps the history of each service's software versions in the platform's
/// store.
namespace shuntjunction::coordination {

/// Dependencies of a VersionHistoryWriter; all of them outlive it.
struct VersionHistoryWriterDependencies
{
  /// Called on the writer's thread with the history of a service when it was
  /// read or written; empty: none is stored.
  using Handler =
    std::function<void(const std::string&,
                       const std::optional<state::VersionHistory>&)>;

  transport::asio::io_context& mContext;
  Platform& mPlatform;
  const StoreCodec& mCodec;
  const state::Clock& mClock;
  EventLog& mLog;
  /// Whether no process of this system ran before.
  bool mIsFirstStart = false;
  Handler mOnHistory;
};

/// Records the versions that are listed for services with resumable streams,
/// for relays that start later.
///
/// Each relay reads the history once, again after a gap in the list, and when
/// its own list shows that the history has to change; the first that does so
/// writes it, the others read it. While the store is unavailable the calls are
/// repeated after growing pauses.
/// Thread safety: none; used on the thread of its context.
class VersionHistoryWriter
{
public:
  explicit VersionHistoryWriter(
    const VersionHistoryWriterDependencies& aDependencies);
  ~VersionHistoryWriter();
  VersionHistoryWriter(const VersionHistoryWriter&) = delete;
  VersionHistoryWriter& operator=(const VersionHistoryWriter&) = delete;

  /// Sets a newer view, whose versions are recorded.
  ///
  /// @pre  aView is not null
  void ApplyView(std::shared_ptr<const RelayView> aView);

  /// Applies newer confirmations of the view that was set last.
  void Confirm(const ViewFreshness& aFreshness);

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::coordination
