#pragma once

// Private to the state package.

#include <boost/msm/front/states.hpp>

namespace shuntjunction::state {

/// A state of a Boost.MSM machine that stores its enumerator in the machine.
///
/// MSM numbers states by their first appearance in the transition table, so its
/// numbers do not match an enumeration; a machine of these states has a member
/// mCurrent instead.
template<auto kValue>
struct MachineState : public boost::msm::front::state<>
{
  template<typename Event, typename Fsm>
  void on_entry(const Event& /*aEvent*/, Fsm& aFsm)
  {
    aFsm.mCurrent = kValue;
  }
};

/// Base of a machine in which an event without a transition in the current
/// state is not an error; the machine imports no_transition with a using
/// declaration.
struct IgnoresUnhandledEvents
{
  template<typename Event, typename Fsm>
  void no_transition(const Event& /*aEvent*/, Fsm& /*aFsm*/, int /*aState*/)
  {
  }
};

} // namespace shuntjunction::state
