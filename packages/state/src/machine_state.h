#pragma once

// Private to the state package.

#include <boost/msm/front/states.hpp>

namespace shuntjunction::state {

/// A state of a Boost.MSM machine that notes its value in the machine.
///
/// MSM numbers states by their first places in the transition table, so its
/// numbers say nothing about an enumeration; a machine of these states has a
/// member mCurrent instead.
template<auto kValue>
struct MachineState : public boost::msm::front::state<>
{
  template<typename Event, typename Fsm>
  void on_entry(const Event& /*aEvent*/, Fsm& aFsm)
  {
    aFsm.mCurrent = kValue;
  }
};

/// A part of a machine for which an event that means nothing in a state is no
/// error; the machine names its no_transition with a using declaration.
struct IgnoresUnhandledEvents
{
  template<typename Event, typename Fsm>
  void no_transition(const Event& /*aEvent*/, Fsm& /*aFsm*/, int /*aState*/)
  {
  }
};

} // namespace shuntjunction::state
