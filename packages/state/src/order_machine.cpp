#include "shuntjunction/state/order_machine.h"

#include <algorithm>

#include <boost/json/serialize.hpp>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "machine_state.h"
#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::state {

namespace {

namespace msm = boost::msm;
using msm::front::Row;

struct OwnTokenEvent
{};
struct OthersTokenEvent
{};
struct WrittenEvent
{};
struct UnknownResultEvent
{};
struct ConflictEvent
{};
struct DrainedEvent
{};
struct OrderSentEvent
{};

struct OrderDef
  : public msm::front::state_machine_def<OrderDef>
  , public IgnoresUnhandledEvents
{
  // States.
  using ReadFence = MachineState<OrderStep::kReadFence>;
  using AcquireFence = MachineState<OrderStep::kAcquireFence>;
  using Drain = MachineState<OrderStep::kDrain>;
  using RecheckFence = MachineState<OrderStep::kRecheckFence>;
  using SendOrder = MachineState<OrderStep::kSendOrder>;
  using Completed = MachineState<OrderStep::kCompleted>;
  using Lost = MachineState<OrderStep::kLost>;
  using initial_state = ReadFence;

  // clang-format off
  struct transition_table : boost::mpl::vector<
    //  from          event               to
    Row<ReadFence,    OwnTokenEvent,      Drain>,
    Row<ReadFence,    OthersTokenEvent,   AcquireFence>,
    Row<AcquireFence, WrittenEvent,       Drain>,
    Row<AcquireFence, UnknownResultEvent, ReadFence>,
    Row<AcquireFence, ConflictEvent,      Lost>,
    Row<Drain,        DrainedEvent,       RecheckFence>,
    Row<RecheckFence, OwnTokenEvent,      SendOrder>,
    Row<RecheckFence, OthersTokenEvent,   Lost>,
    Row<RecheckFence, UnknownResultEvent, Lost>,
    Row<SendOrder,    OrderSentEvent,     Completed>
  > {};
  // clang-format on

  using IgnoresUnhandledEvents::no_transition;

  OrderStep mCurrent = OrderStep::kReadFence;
  std::string mHolder;
  std::uint64_t mEngineFence = 0;
  StoredFence mStoredFence;
  std::uint64_t mFence = 0; ///< held, from kDrain on
};

} // namespace

std::string
WriteFenceRecord(const FenceRecord& aRecord)
{
  return boost::json::serialize(boost::json::object{
    { "fence", aRecord.mFence }, { "holder", aRecord.mHolder } });
}

Result<FenceRecord>
ReadFenceRecord(std::string_view aText)
{
  const auto value = ParseJson(aText, "fence");
  if (!value) {
    return tl::unexpected(value.error());
  }
  JsonReader reader(*value, "fence");
  FenceRecord record;
  record.mFence =
    static_cast<std::uint64_t>(reader.Integer("fence", 0, INT64_MAX));
  record.mHolder = reader.Text("holder");
  if (auto done = reader.Finish(); !done) {
    return tl::unexpected(done.error());
  }
  return record;
}

struct OrderMachine::Machine : public msm::back::state_machine<OrderDef>
{};

OrderMachine::OrderMachine(std::string aHolder, std::uint64_t aEngineFence)
  : mMachine(std::make_unique<Machine>())
{
  mMachine->mHolder = std::move(aHolder);
  mMachine->mEngineFence = aEngineFence;
  mMachine->start();
}

OrderMachine::~OrderMachine() = default;

OrderStep
OrderMachine::Step() const
{
  return mMachine->mCurrent;
}

void
OrderMachine::OnFenceRead(const Result<StoredFence>& aStoredFence)
{
  if (!aStoredFence) {
    mMachine->process_event(UnknownResultEvent{});
    return;
  }
  const FenceRecord& record = aStoredFence->mRecord;
  const bool isOwn =
    aStoredFence->mRevision != 0 && record.mHolder == mMachine->mHolder &&
    (mMachine->mFence == 0 || record.mFence == mMachine->mFence);
  mMachine->mStoredFence = *aStoredFence;
  if (isOwn) {
    mMachine->mFence = record.mFence;
    mMachine->process_event(OwnTokenEvent{});
  } else {
    mMachine->process_event(OthersTokenEvent{});
  }
}

void
OrderMachine::OnFenceWritten(const Result<std::uint64_t>& aRevision)
{
  if (aRevision) {
    mMachine->mFence = Next().mFence;
    mMachine->process_event(WrittenEvent{});
  } else if (aRevision.error().mCode == ErrorCode::kConflict) {
    mMachine->process_event(ConflictEvent{});
  } else {
    mMachine->process_event(UnknownResultEvent{});
  }
}

void
OrderMachine::OnDrained()
{
  mMachine->process_event(DrainedEvent{});
}

void
OrderMachine::OnOrderSent()
{
  mMachine->process_event(OrderSentEvent{});
}

FenceRecord
OrderMachine::Next() const
{
  const std::uint64_t highest =
    std::max(mMachine->mStoredFence.mRecord.mFence, mMachine->mEngineFence);
  return { highest + 1, mMachine->mHolder };
}

std::uint64_t
OrderMachine::Revision() const
{
  return mMachine->mStoredFence.mRevision;
}

std::uint64_t
OrderMachine::Fence() const
{
  return mMachine->mFence;
}

} // namespace shuntjunction::state
