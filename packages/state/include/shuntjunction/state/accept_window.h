#pragma once

#include <mutex>

#include "shuntjunction/state/clock.h"

/// Number of connections that a traffic thread serves in time.
namespace shuntjunction::state {

/// Settings of an AcceptWindow.
struct AcceptWindowSettings
{
  int mFirst = 16; ///< connections until the first sign
  int mLeast = 4;  ///< connections between two signs
  int mMost = 64;  ///< connections between two signs
  /// A sign delayed by this much shows too many connections. Exceeds the pauses
  /// of CPU quotas, and is below the delay at which requests are refused.
  Millis mLateDelay{ 100 };
  Millis mOnTimeDelay{ 50 }; ///< a sign delayed by less shows spare time
};

/// Limits the connections handed to a traffic thread between two of its signs.
///
/// A request that is read in a turn which takes too long is refused; a
/// connection that is not handed over is closed unread, and its caller reaches
/// another relay. The limit halves with each late sign and grows with each
/// other one up to which it was used up.
/// Thread safety: all methods may be called from any thread.
class AcceptWindow
{
public:
  explicit AcceptWindow(const AcceptWindowSettings& aSettings = {});

  /// Records a sign of the traffic thread and how late it came.
  void NoteSign(Millis aDelay);

  /// Records a connection that was handed over.
  void NoteHandedOver();

  /// Whether one more connection may be handed over before the next sign.
  bool HasRoom() const;

  /// Connections that may be handed over between two signs.
  int Size() const;

private:
  const AcceptWindowSettings mSettings;
  mutable std::mutex mMutex;
  int mSize;
  int mHandedOver = 0; ///< since the last sign
};

} // namespace shuntjunction::state
