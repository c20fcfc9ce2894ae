#pragma once

#include "shuntjunction/state/clock.h"

/// Detects endpoints whose machine no longer responds.
namespace shuntjunction::state {

/// Settings of IsSilent.
struct SilenceSettings
{
  /// An endpoint that sent bytes more recently than this works, whatever its
  /// companion's state.
  Millis mRecentBytes{ 600 };
  /// A companion sends a message every second; without one for this long it
  /// counts as silent.
  Millis mCompanionTimeout{ 1300 };
  /// Companion timeout if a request is pending and the endpoint is silent too.
  Millis mCompanionTimeoutIfPending{ 600 };
  /// An endpoint with pending requests that sends no bytes for this long counts
  /// as silent; even under load, some response sends bytes sooner.
  Millis mBytesTimeout{ 800 };
};

/// When an endpoint and its companion were last heard from.
struct LivenessSignals
{
  bool mHasCompanionMessage = false;  ///< its companion has sent any message
  Millis mSinceCompanionMessage{ 0 }; ///< since its companion's last message
  bool mIsCompanionClosed = false;    ///< the companion disconnected
  bool mIsReportedDown = false;       ///< it does not respond to its companion
  bool mHasPendingRequest = false;    ///< a request waits for its bytes
  Millis mSinceEndpointBytes{ 0 };    ///< since bytes, or since the wait began
};

/// Whether neither the endpoint nor its companion shows that their machine
/// runs.
///
/// A machine that stops or is cut off does not close its connections: requests
/// sent to it wait until their callers give up, and are executed when it
/// resumes. If only the companion exits, the endpoint keeps working, and the
/// machine closes the companion's connection.
/// Thread safety: pure.
inline bool
IsSilent(const LivenessSignals& aSignals, const SilenceSettings& aSettings = {})
{
  if (!aSignals.mHasCompanionMessage || aSignals.mIsCompanionClosed) {
    return false;
  }
  if (aSignals.mHasPendingRequest &&
      aSignals.mSinceEndpointBytes < aSettings.mRecentBytes) {
    return false;
  }
  const bool isEndpointOverdue =
    aSignals.mHasPendingRequest &&
    aSignals.mSinceEndpointBytes >= aSettings.mBytesTimeout;
  return aSignals.mSinceCompanionMessage >= aSettings.mCompanionTimeout ||
         (isEndpointOverdue && aSignals.mSinceCompanionMessage >=
                                 aSettings.mCompanionTimeoutIfPending);
}

/// Whether an endpoint has stopped while requests are pending on it: it has
/// been silent for longer than load explains, and so has its companion, or the
/// companion reports that it gets no reply from it either.
///
/// Stricter than IsSilent, because the prompt of a request that is moved has to
/// be prefilled again elsewhere.
/// Thread safety: pure.
inline bool
HasStopped(const LivenessSignals& aSignals,
           const SilenceSettings& aSettings = {})
{
  if (!aSignals.mHasCompanionMessage || aSignals.mIsCompanionClosed ||
      !aSignals.mHasPendingRequest) {
    return false;
  }
  const bool isCompanionSilent =
    aSignals.mSinceEndpointBytes >= aSettings.mBytesTimeout &&
    aSignals.mSinceCompanionMessage >= aSettings.mCompanionTimeout;
  const bool isUnresponsive =
    aSignals.mIsReportedDown &&
    aSignals.mSinceEndpointBytes >= aSettings.mCompanionTimeout;
  return isCompanionSilent || isUnresponsive;
}

} // namespace shuntjunction::state
