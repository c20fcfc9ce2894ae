#include "shuntjunction/state/accept_window.h"

#include <algorithm>

namespace shuntjunction::state {

namespace {

/// Growth after a sign that was neither late nor on time.
constexpr int kSmallGrowth = 2;

} // namespace

AcceptWindow::AcceptWindow(const AcceptWindowSettings& aSettings)
  : mSettings(aSettings)
  , mSize(aSettings.mFirst)
{
}

void
AcceptWindow::NoteSign(Millis aDelay)
{
  const std::lock_guard lock(mMutex);
  if (aDelay >= mSettings.mLateDelay) {
    mSize = std::max(mSettings.mLeast, mSize / 2);
  } else if (mHandedOver >= mSize) {
    const bool isOnTime = aDelay < mSettings.mOnTimeDelay;
    mSize =
      std::min(mSettings.mMost, isOnTime ? 2 * mSize : mSize + kSmallGrowth);
  }
  mHandedOver = 0;
}

void
AcceptWindow::NoteHandedOver()
{
  const std::lock_guard lock(mMutex);
  ++mHandedOver;
}

bool
AcceptWindow::HasRoom() const
{
  const std::lock_guard lock(mMutex);
  return mHandedOver < mSize;
}

int
AcceptWindow::Size() const
{
  const std::lock_guard lock(mMutex);
  return mSize;
}

} // namespace shuntjunction::state
