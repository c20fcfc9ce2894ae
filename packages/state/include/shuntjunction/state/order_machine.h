#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/state/error.h"

/// The steps of an order to an engine, from its fencing token to its response.
namespace shuntjunction::state {

/// Who may order an endpoint's engine, as stored in the platform.
struct FenceRecord
{
  std::uint64_t mFence = 0;
  std::string mHolder; ///< nonce of the order

  bool operator==(const FenceRecord&) const = default;
};

/// A record and its platform revision.
struct StoredFence
{
  FenceRecord mRecord;
  std::uint64_t mRevision = 0; ///< zero when there is no record
};

/// Serializes a record to JSON, and parses it.
std::string
WriteFenceRecord(const FenceRecord& aRecord);
Result<FenceRecord>
ReadFenceRecord(std::string_view aText);

/// The next action for the owner of an OrderMachine.
enum class OrderStep : std::uint8_t
{
  kReadFence,    ///< read the record
  kAcquireFence, ///< write Next(), on condition of Revision()
  kDrain,        ///< accept no new work; wait for running requests
  kRecheckFence, ///< read the record again
  kSendOrder,    ///< send the order, with Fence()
  kCompleted,    ///< the order was answered, or its response was lost
  kLost,         ///< another or an unknown holder has the token: no order
};

/// Names of OrderStep.
inline constexpr EnumNames<OrderStep, 7> kOrderStepNames{
  { "read-fence", "take-fence", "drain", "look-again", "order", "over", "lost" }
};

/// State machine that decides from the platform's responses whether a companion
/// may send an order.
///
///     read fence --own token--> drain
///     read fence --another's token, or none--> acquire fence
///     acquire fence --written--> drain
///     acquire fence --no response--> read fence
///     acquire fence --conflict--> lost
///     drain --drained--> recheck fence
///     recheck fence --own token--> send order
///     recheck fence --another's token, or no response--> lost
///
/// A token belongs to one order permanently, and a later order's token is
/// higher, so that a delayed order cannot undo the next one.
///
/// An engine that checks tokens rejects orders that come too late. For one that
/// ignores them the recheck leaves a window of one call, after which the later
/// holder finds the engine in the wrong state and sends its order again.
///
/// Thread safety: none; owned by the companion.
class OrderMachine
{
public:
  /// @param aHolder       nonce of this order
  /// @param aEngineFence  highest token that the engine says it has seen: a
  ///                      platform that was restored may hold a lower one
  OrderMachine(std::string aHolder, std::uint64_t aEngineFence);
  ~OrderMachine();
  OrderMachine(const OrderMachine&) = delete;
  OrderMachine& operator=(const OrderMachine&) = delete;

  /// The next action.
  OrderStep Step() const;

  /// Handles the response to a read, in kReadFence and kRecheckFence.
  void OnFenceRead(const Result<StoredFence>& aStoredFence);

  /// Handles the response to the write.
  void OnFenceWritten(const Result<std::uint64_t>& aRevision);

  /// The drain is complete or has timed out.
  void OnDrained();

  /// The order was answered, or its response was lost.
  void OnOrderSent();

  /// The record to write, in kAcquireFence.
  FenceRecord Next() const;

  /// Revision that the write is conditional on, in kAcquireFence.
  std::uint64_t Revision() const;

  /// The token held, from kDrain on.
  std::uint64_t Fence() const;

private:
  struct Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace shuntjunction::state
