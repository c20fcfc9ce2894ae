#include "relay_run.h"

// The part of a run that keeps its endpoint's own limit.

namespace shuntjunction::coordination {

void
RelayRun::NoteRate(RelayEndpoint& aEndpoint, const state::EndpointRate& aRate)
{
  using state::RateNotice;
  if (aRate.mNotice == RateNotice::kUnreadable) {
    mCore->mParts.mMetrics.Count("shuntjunction_relay_unreadable_rates_total",
                                 { { "service", mService } });
    LogRate(aEndpoint, aRate.mNotice);
    return;
  }
  const auto named = aRate.mNotice == RateNotice::kNamed
                       ? std::optional(aRate.mPerSecond)
                       : std::nullopt;
  if (aEndpoint.mRate == named) {
    return;
  }
  aEndpoint.mRate = named;
  LogRate(aEndpoint, aRate.mNotice);
  aEndpoint.mSentAtRate = 0;
}

} // namespace shuntjunction::coordination
