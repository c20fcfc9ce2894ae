#include "shuntjunction/state/endpoint_health.h"

#include <algorithm>

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

struct SucceededEvent
{};

struct FailedEvent
{
  TimePoint mNow;
};

struct DueEvent
{
  TimePoint mNow;
};

struct HealthDef
  : public msm::front::state_machine_def<HealthDef>
  , public IgnoresUnhandledEvents
{
  // States.
  using Healthy = MachineState<HealthState::kHealthy>;
  using Suspect = MachineState<HealthState::kSuspect>;
  using Ejected = MachineState<HealthState::kEjected>;
  using Trial = MachineState<HealthState::kTrial>;
  using initial_state = Healthy;

  // Actions.
  struct Count
  {
    template<typename Event, typename Fsm, typename From, typename To>
    void operator()(const Event&, Fsm& aFsm, From&, To&)
    {
      ++aFsm.mFailures;
    }
  };
  struct Eject
  {
    template<typename Event, typename Fsm, typename From, typename To>
    void operator()(const Event& aEvent, Fsm& aFsm, From&, To&)
    {
      aFsm.mTrialAt = aEvent.mNow + aFsm.mEjection;
      aFsm.mEjection =
        std::min(aFsm.mEjection * 2, aFsm.mSettings.mMaxEjection);
    }
  };
  struct Reset
  {
    template<typename Event, typename Fsm, typename From, typename To>
    void operator()(const Event&, Fsm& aFsm, From&, To&)
    {
      aFsm.mFailures = 0;
      aFsm.mEjection = aFsm.mSettings.mFirstEjection;
    }
  };

  // Guards.
  struct IsAtThreshold
  {
    template<typename Event, typename Fsm, typename From, typename To>
    bool operator()(const Event&, Fsm& aFsm, From&, To&)
    {
      return aFsm.mFailures + 1 >= aFsm.mSettings.mFailuresToEject;
    }
  };
  struct IsDue
  {
    template<typename Event, typename Fsm, typename From, typename To>
    bool operator()(const Event& aEvent, Fsm& aFsm, From&, To&)
    {
      return aEvent.mNow >= aFsm.mTrialAt;
    }
  };

  // clang-format off
  struct transition_table : boost::mpl::vector<
    //  from     event           to       action   guard
    Row<Healthy, FailedEvent,    Suspect, Count,   none>,
    Row<Healthy, FailedEvent,    Ejected, Eject,   IsAtThreshold>,
    Row<Suspect, FailedEvent,    Suspect, Count,   none>,
    Row<Suspect, FailedEvent,    Ejected, Eject,   IsAtThreshold>,
    Row<Suspect, SucceededEvent, Healthy, Reset,   none>,
    Row<Ejected, DueEvent,       Trial,   none,    IsDue>,
    Row<Ejected, SucceededEvent, Healthy, Reset,   none>,
    Row<Trial,   SucceededEvent, Healthy, Reset,   none>,
    Row<Trial,   FailedEvent,    Ejected, Eject,   none>
  > {};
  // clang-format on

  using IgnoresUnhandledEvents::no_transition;

  HealthState mCurrent = HealthState::kHealthy;
  HealthSettings mSettings;
  Millis mEjection{ 0 };
  TimePoint mTrialAt;
  int mFailures = 0;
};

} // namespace

struct EndpointHealth::Machine : public msm::back::state_machine<HealthDef>
{};

EndpointHealth::EndpointHealth(const HealthSettings& aSettings)
  : mMachine(std::make_unique<Machine>())
{
  mMachine->mSettings = aSettings;
  mMachine->mEjection = aSettings.mFirstEjection;
  mMachine->start();
}

EndpointHealth::~EndpointHealth() = default;
EndpointHealth::EndpointHealth(EndpointHealth&&) noexcept = default;
EndpointHealth&
EndpointHealth::operator=(EndpointHealth&&) noexcept = default;

void
EndpointHealth::Succeeded()
{
  mMachine->process_event(SucceededEvent{});
}

void
EndpointHealth::Failed(TimePoint aNow)
{
  mMachine->process_event(FailedEvent{ aNow });
}

void
EndpointHealth::Tick(TimePoint aNow)
{
  mMachine->process_event(DueEvent{ aNow });
}

HealthState
EndpointHealth::State() const
{
  return mMachine->mCurrent;
}

} // namespace shuntjunction::state
