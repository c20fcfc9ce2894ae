#include "shuntjunction/state/stream_gate.h"

namespace shuntjunction::state {

std::uint32_t
StreamGate::OpenAttempt()
{
  mOpen = AttemptId{ mOpen.mNumber + 1, 0 };
  mIsOpen = true;
  return mOpen.mNumber;
}

StreamGate::Verdict
StreamGate::Offer(const AttemptId& aAttempt,
                  std::uint32_t aOffset,
                  std::uint32_t aCount)
{
  if (!Matches(aAttempt) || aOffset < mDelivered) {
    return Verdict::kDrop;
  }
  if (aOffset > mDelivered) {
    return Verdict::kGap;
  }
  mDelivered += aCount;
  return Verdict::kDeliver;
}

} // namespace shuntjunction::state
