#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "shuntjunction/state/endpoint_notice.h"
#include "shuntjunction/state/error.h"
#include "shuntjunction/state/relay_config.h"
#include "shuntjunction/transport/task.h"

/// Control calls from a companion to its engine.
namespace shuntjunction::coordination {

/// State that an engine reports.
struct EngineReport
{
  std::vector<state::LoadedModel> mModels;
  bool mIsOrderRunning = false;      ///< an order is in progress
  std::uint64_t mOrdersAccepted = 0; ///< number of accepted orders
  std::int64_t mQueued = 0;
  std::int64_t mActive = 0;
  state::EndpointIncarnation mEndpointIncarnation;
};

/// An order to load another weights version.
struct LoadOrder
{
  std::string mEndpointId; ///< any other engine must reject the order
  std::string mModel;
  std::uint64_t mVersion = 0;
  std::string mHolder;      ///< name of the ordering process
  std::uint64_t mFence = 0; ///< fencing token, higher than any earlier one
  std::uint64_t mOrdersAccepted = 0; ///< as reported when this was decided
};

/// The outcome of an order.
enum class OrderOutcome : std::uint8_t
{
  kInProgress,    ///< the engine has accepted the order
  kAlreadyLoaded, ///< the engine already has these weights
  kSuperseded,    ///< another order is running or was accepted first
  kFenced,        ///< the engine has seen a higher fencing token
  kWrongEngine,   ///< the order names another engine
  kRefused,       ///< rejected for another reason
};

/// Names of OrderOutcome.
inline constexpr state::EnumNames<OrderOutcome, 6> kOrderOutcomeNames{
  { "under-way", "in-force", "superseded", "fenced", "wrong-engine", "refused" }
};

/// A prompt part that an engine or a part store has stored or evicted.
struct PartChange
{
  std::string mSalt;
  std::string mPart;
  bool mIsStored = false; ///< stored if true, evicted if false
};

/// Changes after a position in the change sequence.
struct PartChanges
{
  std::uint64_t mEpoch = 0; ///< differs after a restart, when nothing is stored
  std::uint64_t mNext = 0;  ///< position for the next call
  bool mIsGap = false;      ///< some changes before these were discarded
  /// Incarnation of the engine or store that responded.
  state::EndpointIncarnation mEndpointIncarnation;
  std::vector<PartChange> mChanges;
};

/// The control interface of an engine.
///
/// Thread safety: none; used on one thread.
/// Errors: kUnavailable if the engine was not reached, so that the call had no
/// effect, kTimeout if its effect is unknown, any other if the engine responded
/// with something else than was asked for.
class EngineControl
{
public:
  using NoticeHandler = std::function<void(const state::EndpointNotice&)>;

  virtual ~EngineControl() = default;

  /// Sets the handler for the notice of each response; it is called before the
  /// control call returns.
  virtual void SetNoticeHandler(NoticeHandler aHandler) = 0;

  /// Queries the engine's report.
  virtual transport::Task<state::Result<EngineReport>> Report() = 0;

  /// Waits up to aWait for changes of the stored parts.
  virtual transport::Task<state::Result<PartChanges>> Changes(
    std::uint64_t aSince,
    state::Millis aWait) = 0;

  /// Sends an order.
  virtual transport::Task<state::Result<OrderOutcome>> Order(
    LoadOrder aOrder) = 0;
};

} // namespace shuntjunction::coordination
