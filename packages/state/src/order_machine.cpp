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

struct OwnEvent
{};
struct OthersEvent
{};
struct WrittenEvent
{};
struct UnsureEvent
{};
struct ConflictEvent
{};
struct DrainedEvent
{};
struct OrderedEvent
{};

struct OrderDef
  : public msm::front::state_machine_def<OrderDef>
  , public IgnoresUnhandledEvents
{
  // States.
  using ReadFence = MachineState<OrderStep::kReadFence>;
  using TakeFence = MachineState<OrderStep::kAcquireFence>;
  using Drain = MachineState<OrderStep::kDrain>;
  using LookAgain = MachineState<OrderStep::kRecheckFence>;
  using Order = MachineState<OrderStep::kSendOrder>;
  using Over = MachineState<OrderStep::kCompleted>;
  using Lost = MachineState<OrderStep::kLost>;
  using initial_state = ReadFence;

  // clang-format off
  struct transition_table : boost::mpl::vector<
    //  from       event          to
    Row<ReadFence, OwnEvent,      Drain>,
    Row<ReadFence, OthersEvent,   TakeFence>,
    Row<TakeFence, WrittenEvent,  Drain>,
    Row<TakeFence, UnsureEvent,   ReadFence>,
    Row<TakeFence, ConflictEvent, Lost>,
    Row<Drain,     DrainedEvent,  LookAgain>,
    Row<LookAgain, OwnEvent,      Order>,
    Row<LookAgain, OthersEvent,   Lost>,
    Row<LookAgain, UnsureEvent,   Lost>,
    Row<Order,     OrderedEvent,  Over>
  > {};
  // clang-format on

  using IgnoresUnhandledEvents::no_transition;

  OrderStep mCurrent = OrderStep::kReadFence;
  std::string mHolder;
  std::uint64_t mEngineFence = 0;
  StoredFence mFound;
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
OrderMachine::OnFenceRead(const Result<StoredFence>& aFound)
{
  if (!aFound) {
    mMachine->process_event(UnsureEvent{});
    return;
  }
  const FenceRecord& record = aFound->mRecord;
  const bool isOwn =
    aFound->mRevision != 0 && record.mHolder == mMachine->mHolder &&
    (mMachine->mFence == 0 || record.mFence == mMachine->mFence);
  mMachine->mFound = *aFound;
  if (isOwn) {
    mMachine->mFence = record.mFence;
    mMachine->process_event(OwnEvent{});
  } else {
    mMachine->process_event(OthersEvent{});
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
    mMachine->process_event(UnsureEvent{});
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
  mMachine->process_event(OrderedEvent{});
}

FenceRecord
OrderMachine::Next() const
{
  const std::uint64_t highest =
    std::max(mMachine->mFound.mRecord.mFence, mMachine->mEngineFence);
  return { highest + 1, mMachine->mHolder };
}

std::uint64_t
OrderMachine::Revision() const
{
  return mMachine->mFound.mRevision;
}

std::uint64_t
OrderMachine::Fence() const
{
  return mMachine->mFence;
}

} // namespace shuntjunction::state
