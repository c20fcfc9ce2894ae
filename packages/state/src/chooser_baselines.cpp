#include "chooser_baselines.h"

#include <algorithm>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

std::vector<EndpointHandle>
RandomChooser::Candidates(const ChoiceQuery& /*aQuery*/,
                          std::span<const EndpointHandle> aUsable,
                          std::size_t aLimit,
                          TimePoint /*aNow*/)
{
  std::vector<EndpointHandle> all(aUsable.begin(), aUsable.end());
  std::shuffle(all.begin(), all.end(), mRandom);
  all.resize(std::min(all.size(), aLimit));
  return all;
}

std::vector<EndpointHandle>
LeastLoadChooser::Candidates(const ChoiceQuery& /*aQuery*/,
                             std::span<const EndpointHandle> aUsable,
                             std::size_t aLimit,
                             TimePoint aNow)
{
  std::vector<EndpointHandle> all(aUsable.begin(), aUsable.end());
  std::shuffle(all.begin(), all.end(), mRandom);
  const std::size_t sample = mSample == 0 ? all.size() : mSample;
  const auto end =
    all.begin() + static_cast<std::ptrdiff_t>(std::min(sample, all.size()));
  std::stable_sort(
    all.begin(), end, [&](EndpointHandle aLeft, EndpointHandle aRight) {
      return EstimatedWaitMicros(mTable.At(aLeft), aNow) <
             EstimatedWaitMicros(mTable.At(aRight), aNow);
    });
  all.resize(std::min(all.size(), aLimit));
  return all;
}

std::vector<EndpointHandle>
RendezvousChooser::Candidates(const ChoiceQuery& aQuery,
                              std::span<const EndpointHandle> aUsable,
                              std::size_t aLimit,
                              TimePoint /*aNow*/)
{
  std::vector<RendezvousMember> members;
  for (const EndpointHandle handle : aUsable) {
    const EndpointEntry& entry = mTable.At(handle);
    members.push_back({ handle, entry.mNameHash, entry.mConfig.mWeight });
  }
  const std::uint64_t key = aQuery.mLevels.empty()
                              ? PlacementHash(aQuery.mTeam)
                              : aQuery.mLevels.front().mHash;
  std::vector<EndpointHandle> candidates;
  for (const auto& member : RendezvousOrder(members, key, aLimit)) {
    candidates.push_back(member.mHandle);
  }
  return candidates;
}

} // namespace shuntjunction::state
