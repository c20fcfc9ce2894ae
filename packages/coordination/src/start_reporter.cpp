#include "start_reporter.h"

namespace shuntjunction::coordination {

StartReporter::StartReporter(const state::Clock& aClock, EventLog& aLog)
  : mClock(aClock)
  , mLog(aLog)
  , mPhases(aClock.Now())
{
}

void
StartReporter::Note(state::StartPhase aPhase)
{
  if (const auto elapsed = mPhases.Reach(aPhase, mClock.Now())) {
    mLog.Write(EventLine("process", "start-phase")
                 .Add("phase", state::kStartPhaseNames.Name(aPhase))
                 .Add("since_start_ms", elapsed->count()));
  }
}

void
StartReporter::SetGauges(Metrics& aMetrics) const
{
  for (std::size_t i = 0; i < state::kStartPhaseNames.Size(); ++i) {
    const auto phase = static_cast<state::StartPhase>(i);
    if (const auto reached = mPhases.ReachedAt(phase)) {
      aMetrics.Set(
        "shuntjunction_start_phase_ms",
        static_cast<double>(reached->count()),
        { { "phase", std::string(state::kStartPhaseNames.Name(phase)) } });
    }
  }
}

} // namespace shuntjunction::coordination
