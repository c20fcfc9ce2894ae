#pragma once

#include <memory>
#include <set>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/relay_codec.h"
#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/state/clock.h"

/// Persists quarantined requests in the platform's store.
namespace shuntjunction::coordination {

/// Dependencies of a QuarantineWriter; all of them outlive it.
struct QuarantineWriterDependencies
{
  transport::asio::io_context& mContext;
  Platform& mPlatform;
  const StoreCodec& mCodec;
  const state::Clock& mClock;
  EventLog& mLog;
};

/// Writes quarantined requests to the store, for relays that start later.
///
/// Each relay that saw a crash makes one write per quarantine, and retries
/// while the store is unavailable. Every write also deletes some expired
/// entries, so that their number stays close to the peak number of active ones.
/// Thread safety: none; used on the thread of its context.
class QuarantineWriter
{
public:
  explicit QuarantineWriter(const QuarantineWriterDependencies& aDependencies);
  ~QuarantineWriter();
  QuarantineWriter(const QuarantineWriter&) = delete;
  QuarantineWriter& operator=(const QuarantineWriter&) = delete;

  /// Starts writing that a request is quarantined for a time from now on.
  void StoreQuarantine(const state::RequestDigest& aRequest,
                       state::Millis aDuration);

  /// Starts deleting the entry of a request that proved harmless, also one that
  /// is being written.
  void DeleteQuarantine(const state::RequestDigest& aRequest);

  /// Sets a newer view, from which expired entries are found.
  void ApplyView(std::shared_ptr<const RelayView> aView);

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::coordination
