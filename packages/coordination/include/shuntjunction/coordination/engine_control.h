#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "shuntjunction/state/endpoint_notice.h"
#include "shuntjunction/state/error.h"
#include "shuntjunction/state/relay_config.h"
#include "shuntjunction/transport/task.h"

/// What a companion asks of the engine beside it.
namespace shuntjunction::coordination {

/// What an engine says of itself.
struct EngineReport
{
  std::vector<state::LoadedModel> mModels;
  bool mIsOrderRunning = false; ///< an order is being carried out
  std::uint64_t mOrdersTaken = 0;
  std::int64_t mQueued = 0;
  std::int64_t mActive = 0;
  state::EndpointIncarnation mEndpointIncarnation;
};

/// An order to load other weights.
struct LoadOrder
{
  std::string mEndpointId; ///< any other engine must refuse the order
  std::string mModel;
  std::uint64_t mVersion = 0;
  std::string mHolder;            ///< who orders
  std::uint64_t mFence = 0;       ///< higher than that of any earlier order
  std::uint64_t mOrdersTaken = 0; ///< by the engine, when this was decided
};

/// What became of an order.
enum class OrderOutcome : std::uint8_t
{
  kInProgress,
  kAlreadyLoaded, ///< the engine has these weights already
  kSuperseded,    ///< another order runs, or came first
  kFenced,        ///< a higher fencing number was seen
  kWrongEngine,
  kRefused,
};

/// Names of OrderOutcome.
inline constexpr state::EnumNames<OrderOutcome, 6> kOrderOutcomeNames{
  { "under-way", "in-force", "superseded", "fenced", "wrong-engine", "refused" }
};

/// A change of what an engine or a part store keeps.
struct PartChange
{
  std::string mSalt;
  std::string mPart;
  bool mIsKept = false; ///< it is kept from now on, or no more
};

/// Changes after a position in the sequence of all.
struct PartChanges
{
  std::uint64_t mEpoch = 0; ///< another one: it restarted, and keeps nothing
  std::uint64_t mNext = 0;  ///< position to ask from next
  bool mIsGap = false;      ///< some changes before these were forgotten
  state::EndpointIncarnation
    mEndpointIncarnation; ///< of the engine or store that tells
  std::vector<PartChange> mChanges;
};

/// An engine's control calls.
///
/// Thread safety: none; used on one thread.
/// Errors: kUnavailable when the call had no effect, kTimeout when its effect
/// is unknown.
class EngineControl
{
public:
  using NoticeHandler = std::function<void(const state::EndpointNotice&)>;

  virtual ~EngineControl() = default;

  /// Sets what takes what each answer advertises, before the call returns.
  virtual void SetNoticeHandler(NoticeHandler aTake) = 0;

  /// Asks for the engine's report.
  virtual transport::Task<state::Result<EngineReport>> Report() = 0;

  /// Waits for changes of the parts it keeps, or until aWait has passed.
  virtual transport::Task<state::Result<PartChanges>> Changes(
    std::uint64_t aSince,
    state::Millis aWait) = 0;

  /// Gives an order.
  virtual transport::Task<state::Result<OrderOutcome>> Order(
    LoadOrder aOrder) = 0;
};

} // namespace shuntjunction::coordination
