#include "shuntjunction/state/request_lifecycle.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "machine_state.h"

namespace shuntjunction::state {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct OfferedEvent
{};
struct RefusedEvent
{};
struct StartedEvent
{};
struct LostEvent
{};
struct FinishedEvent
{};
struct SettledEvent
{};

struct RequestDef
  : public msm::front::state_machine_def<RequestDef>
  , public IgnoresUnhandledEvents
{
  using Unsent = MachineState<RequestState::kUnsent>;
  using InOffer = MachineState<RequestState::kOffered>;
  using Running = MachineState<RequestState::kRunning>;
  using Uncertain = MachineState<RequestState::kUncertain>;
  using Complete = MachineState<RequestState::kComplete>;
  using Settled = MachineState<RequestState::kSettled>;
  using initial_state = Unsent;

  struct MarkUncertain
  {
    template<typename Event, typename Fsm, typename From, typename To>
    void operator()(const Event&, Fsm& aFsm, From&, To&)
    {
      aFsm.mWasUncertain = true;
    }
  };
  struct MarkStarted
  {
    template<typename Event, typename Fsm, typename From, typename To>
    void operator()(const Event&, Fsm& aFsm, From&, To&)
    {
      aFsm.mWasStarted = true;
    }
  };
  struct WasUncertain
  {
    template<typename Event, typename Fsm, typename From, typename To>
    bool operator()(const Event&, Fsm& aFsm, From&, To&)
    {
      return aFsm.mWasUncertain;
    }
  };

  // clang-format off
  struct transition_table : boost::mpl::vector<
    //  from       event          to         action         guard
    Row<Unsent,    OfferedEvent,  InOffer,   none,          none>,
    Row<Uncertain, OfferedEvent,  InOffer,   none,          none>,
    Row<InOffer,   RefusedEvent,  Unsent,    none,          none>,
    Row<InOffer,   RefusedEvent,  Uncertain, none,          WasUncertain>,
    Row<InOffer,   StartedEvent,  Running,   MarkStarted,   none>,
    Row<InOffer,   LostEvent,     Uncertain, MarkUncertain, none>,
    Row<Running,   LostEvent,     Uncertain, MarkUncertain, none>,
    Row<InOffer,   FinishedEvent, Complete,  none,          none>,
    Row<Running,   FinishedEvent, Complete,  none,          none>,
    Row<InOffer,   SettledEvent,  Settled,   none,          none>,
    Row<Running,   SettledEvent,  Settled,   none,          none>
  > {};
  // clang-format on

  using IgnoresUnhandledEvents::no_transition;

  RequestState mCurrent = RequestState::kUnsent;
  Repeatability mRepeatability = Repeatability::kRepeatable;
  bool mWasUncertain = false;
  bool mWasStarted = false;
};

} // namespace

struct RequestLifecycle::Machine : public msm::back::state_machine<RequestDef>
{};

RequestLifecycle::RequestLifecycle(Repeatability aRepeatability)
  : mMachine(std::make_unique<Machine>())
{
  mMachine->mRepeatability = aRepeatability;
  mMachine->start();
}

RequestLifecycle::~RequestLifecycle() = default;

void
RequestLifecycle::Offered()
{
  mMachine->process_event(OfferedEvent{});
}

void
RequestLifecycle::Refused()
{
  mMachine->process_event(RefusedEvent{});
}

void
RequestLifecycle::Started()
{
  mMachine->process_event(StartedEvent{});
}

void
RequestLifecycle::Lost()
{
  mMachine->process_event(LostEvent{});
}

void
RequestLifecycle::Finished()
{
  mMachine->process_event(FinishedEvent{});
}

void
RequestLifecycle::Settled()
{
  mMachine->process_event(SettledEvent{});
}

bool
RequestLifecycle::MayOffer() const
{
  switch (State()) {
    case RequestState::kUnsent:
      return true;
    case RequestState::kUncertain:
      break;
    default:
      return false;
  }
  switch (mMachine->mRepeatability) {
    case Repeatability::kRepeatable:
      return true;
    case Repeatability::kClaimed:
      // Until a companion has reported a start, the claim may still be free. If
      // it is not, it prevents a second run.
      return !mMachine->mWasStarted;
    case Repeatability::kUnclaimed:
      return false;
  }
  return false;
}

bool
RequestLifecycle::WasLost() const
{
  return mMachine->mWasUncertain;
}

bool
RequestLifecycle::IsNotRun() const
{
  return State() == RequestState::kUnsent;
}

RequestState
RequestLifecycle::State() const
{
  return mMachine->mCurrent;
}

} // namespace shuntjunction::state
