#include "shuntjunction/state/rollout/rollout.h"

namespace shuntjunction::state {

double
Rollout::Share() const
{
  if (!mStatus) {
    return 0.0;
  }
  switch (mStatus->mState) {
    case RolloutState::kCompleted:
      return 1.0;
    case RolloutState::kRolledBack:
      return 0.0;
    case RolloutState::kRunning:
      break;
  }
  return mStatus->mShare;
}

} // namespace shuntjunction::state
