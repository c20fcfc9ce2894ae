#pragma once

#include <memory>
#include <set>

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/coordination/relay_codec.h"
#include "shuntjunction/coordination/relay_feed.h"
#include "shuntjunction/state/clock.h"

/// Keeps in the platform's store which requests are quarantined.
namespace shuntjunction::coordination {

/// What a QuarantineWriter is built from; all parts outlive it.
struct QuarantineWriterDependencies
{
  transport::asio::io_context& mContext;
  Platform& mPlatform;
  const StoreCodec& mCodec;
  const state::Clock& mClock;
  EventLog& mLog;
};

/// Writes quarantined requests into the store, for relays that start later.
///
/// One write a quarantine, by each relay that saw a crash; a store that is away
/// is asked again until it took it. Entries that are over are deleted when a
/// new one is written, so that the store holds no more of them than were alive
/// at once, and some.
/// Thread safety: none; used on the thread of its context.
class QuarantineWriter
{
public:
  explicit QuarantineWriter(const QuarantineWriterDependencies& aParts);
  ~QuarantineWriter();
  QuarantineWriter(const QuarantineWriter&) = delete;
  QuarantineWriter& operator=(const QuarantineWriter&) = delete;

  /// Keeps that a request is refused for a time from now on.
  void StoreQuarantine(const state::RequestDigest& aRequest,
                       state::Millis aFor);

  /// Takes what the store holds.
  void ApplyView(std::shared_ptr<const RelayView> aView);

private:
  struct Shared;

  std::shared_ptr<Shared> mShared;
};

} // namespace shuntjunction::coordination
