#include "shuntjunction/state/rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <xxhash.h>

namespace shuntjunction::state {

namespace {

/// Score of a member for a key: weight / -ln(u), with u uniform in (0, 1).
double
Score(const RendezvousMember& aMember, std::uint64_t aKey)
{
  const std::array<std::uint64_t, 2> words{ aKey, aMember.mNameHash };
  const std::uint64_t hash = XXH3_64bits(words.data(), sizeof(words));
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
  const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * kScale;
  return aMember.mWeight / -std::log(uniform);
}

} // namespace

std::vector<RendezvousMember>
RendezvousOrder(std::span<const RendezvousMember> aMembers,
                std::uint64_t aKey,
                std::size_t aCount)
{
  struct Scored
  {
    double mScore;
    std::size_t mIndex;
  };
  std::vector<Scored> scored;
  scored.reserve(aMembers.size());
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    scored.push_back({ Score(aMembers[i], aKey), i });
  }
  const std::size_t count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(),
                    [](const Scored& aLeft, const Scored& aRight) {
                      return aLeft.mScore > aRight.mScore;
                    });
  std::vector<RendezvousMember> order;
  order.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    order.push_back(aMembers[scored[i].mIndex]);
  }
  return order;
}

} // namespace shuntjunction::state
