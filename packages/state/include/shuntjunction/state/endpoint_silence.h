#pragma once

#include "shuntjunction/state/clock.h"

/// Whether an endpoint's machine has fallen silent.
namespace shuntjunction::state {

/// Settings of IsSilent.
struct SilenceSettings
{
  /// Bytes of the endpoint itself that are younger prove that it works,
  /// whatever its companion does.
  Millis mBytesProve{ 600 };
  /// Companions speak once a second; one that is late by more is silent.
  Millis mWordAlone{ 1300 };
  /// The same beside an endpoint that is silent too while a request waits
  /// there.
  Millis mWordBesideBytes{ 600 };
  /// Longer than an endpoint under load leaves all its answers without bytes.
  Millis mBytesAwaited{ 800 };
};

/// What was heard of an endpoint and of its companion.
struct LifeSigns
{
  bool mHasWord = false;     ///< its companion said anything yet
  Millis mSinceWord{ 0 };    ///< since its companion's last word
  bool mIsWordEnded = false; ///< its companion's connection was ended there
  bool mIsAwaited = false;   ///< a request waits for bytes of the endpoint
  Millis mSinceBytes{ 0 };   ///< since its last bytes, or since one waits
};

/// Whether neither an endpoint nor its companion shows that their machine runs.
///
/// A machine that stops, or is cut off, ends no connection: requests that are
/// sent there wait until their callers leave, and are run when it goes on. A
/// companion alone that ended leaves its endpoint working, and its machine says
/// so by ending the connection. Thread safety: pure.
inline bool
IsSilent(const LifeSigns& aSigns, const SilenceSettings& aSettings = {})
{
  if (!aSigns.mHasWord || aSigns.mIsWordEnded) {
    return false;
  }
  if (aSigns.mIsAwaited && aSigns.mSinceBytes < aSettings.mBytesProve) {
    return false;
  }
  const bool isAwaitedInVain =
    aSigns.mIsAwaited && aSigns.mSinceBytes >= aSettings.mBytesAwaited;
  return aSigns.mSinceWord >= aSettings.mWordAlone ||
         (isAwaitedInVain && aSigns.mSinceWord >= aSettings.mWordBesideBytes);
}

/// Whether a machine has stopped under the requests that wait there: both the
/// endpoint and its companion have been silent for longer than load explains.
///
/// Stricter than IsSilent: a request that is moved is read again elsewhere.
/// Thread safety: pure.
inline bool
HasStopped(const LifeSigns& aSigns, const SilenceSettings& aSettings = {})
{
  return aSigns.mHasWord && !aSigns.mIsWordEnded && aSigns.mIsAwaited &&
         aSigns.mSinceBytes >= aSettings.mBytesAwaited &&
         aSigns.mSinceWord >= aSettings.mWordAlone;
}

} // namespace shuntjunction::state
