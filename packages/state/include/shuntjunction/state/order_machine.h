#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/state/error.h"

/// The way of an order to an engine, from its fencing number to its answer.
namespace shuntjunction::state {

/// Who may order an endpoint's engine, as it stands in the platform.
struct FenceRecord
{
  std::uint64_t mFence = 0;
  std::string mHolder; ///< nonce of the order

  bool operator==(const FenceRecord&) const = default;
};

/// A record and its revision in the platform.
struct StoredFence
{
  FenceRecord mRecord;
  std::uint64_t mRevision = 0; ///< zero when there is no record
};

/// A record as JSON text, and back.
std::string
WriteFenceRecord(const FenceRecord& aRecord);
Result<FenceRecord>
ReadFenceRecord(std::string_view aText);

/// What the owner of an OrderMachine is to do next.
enum class OrderStep : std::uint8_t
{
  kReadFence,    ///< read the record
  kAcquireFence, ///< write Next(), on condition of Revision()
  kDrain,        ///< take no new work and wait for what runs
  kRecheckFence, ///< read the record once more
  kSendOrder,    ///< give the order, with Fence()
  kCompleted,    ///< the order was answered, or its answer was lost
  kLost,         ///< another holds the number, or nobody can say: no order
};

/// Names of OrderStep.
inline constexpr EnumNames<OrderStep, 7> kOrderStepNames{
  { "read-fence", "take-fence", "drain", "look-again", "order", "over", "lost" }
};

/// Decides whether a companion may order, from the platform's answers.
///
///     read fence --own number--> drain
///     read fence --another's, or none--> take fence
///     take fence --written--> drain
///     take fence --no answer--> read fence
///     take fence --conflict--> lost
///     drain --drained--> look again
///     look again --still the own number--> order
///     look again --another's, or no answer--> lost
///
/// A number belongs to one order for ever, and a later order's is higher, so
/// that an order which was delayed cannot undo the next one.
/// An engine that checks numbers so refuses what comes too late; for one that
/// ignores them the look leaves the time of one call, after which the later
/// holder finds the engine out of line and orders again.
/// Thread safety: none; owned by the companion.
class OrderMachine
{
public:
  /// @param aHolder       nonce of this order
  /// @param aEngineFence  highest number that the engine says it has seen: a
  ///                      platform that was restored may hold a lower one
  OrderMachine(std::string aHolder, std::uint64_t aEngineFence);
  ~OrderMachine();
  OrderMachine(const OrderMachine&) = delete;
  OrderMachine& operator=(const OrderMachine&) = delete;

  /// What to do now.
  OrderStep Step() const;

  /// Takes the answer to a read, in kReadFence and kRecheckFence.
  void OnFenceRead(const Result<StoredFence>& aFound);

  /// Takes the answer to the write.
  void OnFenceWritten(const Result<std::uint64_t>& aRevision);

  /// Nothing runs any more, or the time for it is over.
  void OnDrained();

  /// The order was answered, or its answer was lost.
  void OnOrderSent();

  /// The record to write, in kAcquireFence.
  FenceRecord Next() const;

  /// Revision that the write depends on, in kAcquireFence.
  std::uint64_t Revision() const;

  /// The number held, from kDrain on.
  std::uint64_t Fence() const;

private:
  struct Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace shuntjunction::state
