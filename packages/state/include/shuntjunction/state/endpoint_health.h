#pragma once

#include <cstdint>
#include <memory>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"

/// Whether a router sends work to an endpoint.
namespace shuntjunction::state {

/// State of an endpoint in a router's eyes.
enum class HealthState : std::uint8_t
{
  kHealthy,
  kSuspect, ///< failed lately, but not often enough to be ejected
  kEjected, ///< gets no work until its next trial
  kTrial,   ///< one request is let through to see
};

/// Names of HealthState.
inline constexpr EnumNames<HealthState, 4> kHealthStateNames{
  { "healthy", "suspect", "ejected", "trial" }
};

/// Settings of EndpointHealth.
struct HealthSettings
{
  int mFailuresToEject = 2;     ///< failures in a row that eject
  Millis mFirstEjection{ 500 }; ///< doubles with each ejection in a row
  Millis mMaxEjection{ 15000 };
};

/// Lifecycle of one endpoint: healthy, suspect, ejected, trial.
///
///     healthy --failed--> suspect --failed n--> ejected --due--> trial
///     suspect, trial --succeeded--> healthy; trial --failed--> ejected
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

  /// Notes an answer, whatever it said: the endpoint's companion lives.
  void Succeeded();

  /// Notes a connection that failed or an answer that did not come.
  void Failed(TimePoint aNow);

  /// Moves an ejected endpoint on to its trial when its time has come.
  void Tick(TimePoint aNow);

  /// Present state.
  HealthState State() const;

private:
  struct Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace shuntjunction::state
