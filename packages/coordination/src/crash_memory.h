#pragma once

// Private to coordination: the crashes that a companion remembers.

#include "shuntjunction/protocol/messages.h"

namespace shuntjunction::coordination {

/// Crash reports of all relays, for those that connect later: a companion
/// survives a crash of its engine.
///
/// Thread safety: none; owned by one thread.
class CrashMemory
{
public:
  /// Adds reports; returns those that were not known.
  protocol::CrashReports Add(const protocol::CrashReports& aReports,
                             state::TimePoint aNow);

  /// The remembered reports that a relay is sent when it connects, those with
  /// the most crashes first.
  protocol::CrashReports Known(state::TimePoint aNow) const;

private:
  state::CrashTracker mRequests{ state::CrashTrackerSettings{} };
  state::PartCrashTracker mParts{ state::PartCrashSettings{} };
};

} // namespace shuntjunction::coordination
