#pragma once

// Private to coordination: logs and exposes how far a process has come since
// its start.

#include "shuntjunction/coordination/event_log.h"
#include "shuntjunction/coordination/metrics.h"
#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/start_phases.h"

namespace shuntjunction::coordination {

/// Logs each phase of a process's start once, and sets its gauges.
///
/// Thread safety: Note may be called from any thread, SetGauges from that of
/// the metrics.
class StartReporter
{
public:
  /// @param aClock, aLog  outlive this; the process starts now
  StartReporter(const state::Clock& aClock, EventLog& aLog);

  /// Notes that a phase is reached; logs it the first time.
  void Note(state::StartPhase aPhase);

  /// Sets a gauge for each phase that was reached.
  void SetGauges(Metrics& aMetrics) const;

private:
  const state::Clock& mClock;
  EventLog& mLog;
  state::StartPhases mPhases;
};

} // namespace shuntjunction::coordination
