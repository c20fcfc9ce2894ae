#pragma once

#include <cstdint>
#include <memory>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"

/// Failure detection and ejection of endpoints.
namespace shuntjunction::state {

/// Health of an endpoint as seen by a router.
enum class HealthState : std::uint8_t
{
  kHealthy,
  kSuspect, ///< failed recently, but too rarely to be ejected
  kEjected, ///< gets no requests until its next trial
  kTrial,   ///< gets requests again; the next result decides
};

/// Names of HealthState.
inline constexpr EnumNames<HealthState, 4> kHealthStateNames{
  { "healthy", "suspect", "ejected", "trial" }
};

/// Settings of EndpointHealth.
struct HealthSettings
{
  int mFailuresToEject = 2;     ///< consecutive failures that eject
  Millis mFirstEjection{ 500 }; ///< doubles with each consecutive ejection
  Millis mMaxEjection{ 15000 };
};

/// Health state machine of one endpoint.
///
///     healthy --failed--> suspect --failed n--> ejected --due--> trial
///     suspect, ejected, trial --succeeded--> healthy
///     trial --failed--> ejected
///
/// Thread safety: none; owned by one thread.
class EndpointHealth
{
public:
  explicit EndpointHealth(const HealthSettings& aSettings);
  ~EndpointHealth();
  EndpointHealth(EndpointHealth&&) noexcept;
  EndpointHealth& operator=(EndpointHealth&&) noexcept;
  EndpointHealth(const EndpointHealth&) = delete;
  EndpointHealth& operator=(const EndpointHealth&) = delete;

  /// Records a response of any status: the endpoint's companion is reachable.
  void Succeeded();

  /// Records a failed connection or a missing response.
  void Failed(TimePoint aNow);

  /// Moves an ejected endpoint to its trial when that is due.
  void Tick(TimePoint aNow);

  /// Current state.
  HealthState State() const;

private:
  struct Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace shuntjunction::state
