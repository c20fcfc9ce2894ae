#include "shuntjunction/state/rollout/rollout.h"

#include "shuntjunction/state/prefix_chain.h"

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

std::uint64_t
HashOfRollout(std::string_view aService)
{
  return PlacementHash("rollout/" + std::string(aService));
}

} // namespace shuntjunction::state
