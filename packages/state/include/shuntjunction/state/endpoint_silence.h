#pragma once

#include "shuntjunction/state/clock.h"

/// Whether an endpoint's machine has fallen silent.
namespace shuntjunction::state {

/// Settings of IsSilent.
struct SilenceSettings
{
  /// Bytes of the endpoint itself that are younger prove that it works,
  /// whatever its companion does.
  Millis mRecentBytes{ 600 };
  /// Companions speak once a second; one that is late by more is silent.
  Millis mCompanionTimeout{ 1300 };
  /// The same beside an endpoint that is silent too while a request waits
  /// there.
  Millis mCompanionTimeoutIfPending{ 600 };
  /// Longer than an endpoint under load leaves all its answers without bytes.
  Millis mBytesTimeout{ 800 };
};

/// What was heard of an endpoint and of its companion.
struct LivenessSignals
{
  bool mHasCompanionMessage = false;  ///< its companion said anything yet
  Millis mSinceCompanionMessage{ 0 }; ///< since its companion's last word
  bool mIsCompanionClosed =
    false; ///< its companion's connection was ended there
  bool mHasPendingRequest =
    false; ///< a request waits for bytes of the endpoint
  Millis mSinceEndpointBytes{ 0 }; ///< since its last bytes, or since one waits
};

/// Whether neither an endpoint nor its companion shows that their machine runs.
///
/// A machine that stops, or is cut off, ends no connection: requests that are
/// sent there wait until their callers leave, and are run when it goes on. A
/// companion alone that ended leaves its endpoint working, and its machine says
/// so by ending the connection. Thread safety: pure.
inline bool
IsSilent(const LivenessSignals& aSigns, const SilenceSettings& aSettings = {})
{
  if (!aSigns.mHasCompanionMessage || aSigns.mIsCompanionClosed) {
    return false;
  }
  if (aSigns.mHasPendingRequest &&
      aSigns.mSinceEndpointBytes < aSettings.mRecentBytes) {
    return false;
  }
  const bool isAwaitedInVain =
    aSigns.mHasPendingRequest &&
    aSigns.mSinceEndpointBytes >= aSettings.mBytesTimeout;
  return aSigns.mSinceCompanionMessage >= aSettings.mCompanionTimeout ||
         (isAwaitedInVain && aSigns.mSinceCompanionMessage >=
                               aSettings.mCompanionTimeoutIfPending);
}

/// Whether a machine has stopped under the requests that wait there: both the
/// endpoint and its companion have been silent for longer than load explains.
///
/// Stricter than IsSilent: a request that is moved is read again elsewhere.
/// Thread safety: pure.
inline bool
HasStopped(const LivenessSignals& aSigns, const SilenceSettings& aSettings = {})
{
  return aSigns.mHasCompanionMessage && !aSigns.mIsCompanionClosed &&
         aSigns.mHasPendingRequest &&
         aSigns.mSinceEndpointBytes >= aSettings.mBytesTimeout &&
         aSigns.mSinceCompanionMessage >= aSettings.mCompanionTimeout;
}

} // namespace shuntjunction::state
