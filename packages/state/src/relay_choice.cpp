#include "shuntjunction/state/relay_choice.h"

#include <algorithm>

#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::state {

namespace {

bool
IsFull(const RelayCandidate& aCandidate)
{
  return aCandidate.mRunning >= aCandidate.mSlots;
}

/// Indices of the candidates to choose from: the healthy ones without a rate
/// limit if one of these has room, else all healthy ones, else all. A candidate
/// is healthy unless mIsSuspect.
std::vector<std::size_t>
Allowed(std::span<const RelayCandidate> aCandidates,
        const RelayChoiceSettings& aSettings)
{
  std::vector<std::size_t> unlimited;
  std::vector<std::size_t> healthy;
  std::vector<std::size_t> all;
  bool hasRoom = false;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const auto& candidate = aCandidates[index];
    all.push_back(index);
    if (candidate.mIsSuspect) {
      continue;
    }
    healthy.push_back(index);
    if (!candidate.mIsLimited) {
      unlimited.push_back(index);
      hasRoom |=
        !IsFull(candidate) && candidate.mQueuedTokens <= aSettings.mRoomTokens;
    }
  }
  if (hasRoom) {
    return unlimited;
  }
  return healthy.empty() ? all : healthy;
}

/// Rendezvous rank of an endpoint for a key; the highest is first.
std::uint64_t
Rank(std::uint64_t aNameHash, std::uint64_t aKey)
{
  const std::string_view bytes(reinterpret_cast<const char*>(&aNameHash),
                               sizeof(aNameHash));
  return PlacementHash(bytes, aKey);
}

/// Requests by which a nearer endpoint may exceed one at a distance.
std::int64_t
LeadOver(Distance aDistance, const RelayChoiceSettings& aSettings)
{
  switch (aDistance) {
    case Distance::kSameZone:
      return 0;
    case Distance::kSameRegion:
      return aSettings.mMaxZoneLead;
    case Distance::kUnknown:
    case Distance::kOtherRegion:
      break;
  }
  return aSettings.mMaxRegionLead;
}

/// Orders by distance; higher is nearer.
int
Nearness(Distance aDistance)
{
  return -static_cast<int>(aDistance);
}

bool
IsInRegion(const RelayCandidate& aCandidate)
{
  return aCandidate.mDistance <= Distance::kSameRegion;
}

/// Load that a small request finds at an endpoint, in requests, with a penalty
/// for other zones.
std::int64_t
CostOf(const RelayCandidate& aCandidate, const RelayChoiceSettings& aSettings)
{
  return aCandidate.mRunning +
         aCandidate.mQueuedTokens / aSettings.mTokensPerRequest +
         LeadOver(aCandidate.mDistance, aSettings);
}

/// Whether an endpoint has a free slot and the other has none, or, if they are
/// equal in that, fewer queued tokens.
bool
IsLessLoaded(const RelayCandidate& aOne, const RelayCandidate& aOther)
{
  return std::pair(IsFull(aOne), aOne.mQueuedTokens) <
         std::pair(IsFull(aOther), aOther.mQueuedTokens);
}

/// The first of a key's rendezvous order, the local zone before the others.
///
/// @pre aAllowed is not empty
std::size_t
FirstOfOrder(std::span<const RelayCandidate> aCandidates,
             const std::vector<std::size_t>& aAllowed,
             std::uint64_t aKey)
{
  const auto rankOf = [&](std::size_t aIndex) {
    const auto& candidate = aCandidates[aIndex];
    return std::pair(Nearness(candidate.mDistance),
                     Rank(candidate.mNameHash, aKey));
  };
  return *std::max_element(
    aAllowed.begin(), aAllowed.end(), [&](auto aOne, auto aTwo) {
      return rankOf(aOne) < rankOf(aTwo);
    });
}

/// Chooses among some candidates by a key's rendezvous order.
///
/// @pre aAllowed is not empty
std::size_t
ChooseOfOrder(std::span<const RelayCandidate> aCandidates,
              const std::vector<std::size_t>& aAllowed,
              std::uint64_t aKey,
              const RelayChoiceSettings& aSettings)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  ranked.reserve(aAllowed.size());
  for (const auto index : aAllowed) {
    ranked.emplace_back(Rank(aCandidates[index].mNameHash, aKey), index);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  const auto first = ranked.front().second;
  if (ranked.size() == 1) {
    return first;
  }
  const auto second = ranked[1].second;
  const bool preferSecond =
    aCandidates[second].mHoldsPart && !aCandidates[first].mHoldsPart;
  const auto preferred = preferSecond ? second : first;
  // The least loaded of the other endpoints at the front of the order.
  const auto end =
    ranked.begin() + static_cast<std::ptrdiff_t>(
                       std::min(ranked.size(), aSettings.mPartCandidates));
  std::optional<std::size_t> alternative;
  for (auto item = ranked.begin(); item != end; ++item) {
    const auto index = item->second;
    if (index != preferred &&
        (!alternative ||
         IsLessLoaded(aCandidates[index], aCandidates[*alternative]))) {
      alternative = index;
    }
  }
  const auto& preferredLoad = aCandidates[preferred];
  const auto& alternativeLoad = aCandidates[*alternative];
  const bool isFull = IsFull(preferredLoad) && !IsFull(alternativeLoad);
  const bool hasLongerQueue =
    preferredLoad.mQueuedTokens >
    alternativeLoad.mQueuedTokens + aSettings.mMaxLeadTokens;
  return isFull || hasLongerQueue ? *alternative : preferred;
}

} // namespace

std::optional<std::size_t>
ChooseByPart(std::span<const RelayCandidate> aCandidates,
             std::uint64_t aKey,
             const RelayChoiceSettings& aSettings)
{
  auto local = Allowed(aCandidates, aSettings);
  if (local.empty()) {
    return std::nullopt;
  }
  if (aSettings.mPartScope == PartScope::kFleet) {
    return ChooseOfOrder(aCandidates, local, aKey, aSettings);
  }
  const auto border =
    std::stable_partition(local.begin(), local.end(), [&](std::size_t aIndex) {
      return IsInRegion(aCandidates[aIndex]);
    });
  const std::vector<std::size_t> remote(border, local.end());
  local.erase(border, local.end());
  if (remote.empty()) {
    return ChooseOfOrder(aCandidates, local, aKey, aSettings);
  }
  const auto elsewhere = ChooseOfOrder(aCandidates, remote, aKey, aSettings);
  if (local.empty()) {
    return elsewhere;
  }
  const auto here = ChooseOfOrder(aCandidates, local, aKey, aSettings);
  const auto& load = aCandidates[here];
  const auto& otherLoad = aCandidates[elsewhere];
  const bool isFull = IsFull(load) && !IsFull(otherLoad);
  const bool hasLongerQueue =
    load.mQueuedTokens >
    otherLoad.mQueuedTokens + aSettings.mMaxRegionLeadTokens;
  return isFull || hasLongerQueue ? elsewhere : here;
}

std::optional<std::size_t>
ChooseByLoad(std::span<const RelayCandidate> aCandidates,
             std::optional<std::uint64_t> aKey,
             const RelayChoiceSettings& aSettings,
             RandomSource& aRandom)
{
  const auto allowed = Allowed(aCandidates, aSettings);
  std::optional<std::size_t> best;
  std::int64_t bestCost = 0;
  std::uint64_t bestDraw = 0;
  for (const auto index : allowed) {
    const std::int64_t cost = CostOf(aCandidates[index], aSettings);
    const std::uint64_t draw = aRandom();
    if (!best || cost < bestCost || (cost == bestCost && draw < bestDraw)) {
      best = index;
      bestCost = cost;
      bestDraw = draw;
    }
  }
  if (!best || !aKey) {
    return best;
  }
  const auto first = FirstOfOrder(aCandidates, allowed, *aKey);
  const auto cost = CostOf(aCandidates[first], aSettings);
  return cost <= bestCost + aSettings.mMaxSmallPartLead ? first : best;
}

std::optional<std::size_t>
ChooseForSuspect(std::span<const RelayCandidate> aCandidates,
                 std::uint64_t aKey,
                 const RelayChoiceSettings& aSettings)
{
  const auto allowed = Allowed(aCandidates, aSettings);
  const auto rankOf = [&](std::size_t aIndex) {
    const auto& candidate = aCandidates[aIndex];
    return std::pair(-candidate.mSuspectRequests,
                     Rank(candidate.mNameHash, aKey));
  };
  const auto first =
    std::max_element(allowed.begin(), allowed.end(), [&](auto aOne, auto aTwo) {
      return rankOf(aOne) < rankOf(aTwo);
    });
  return first == allowed.end() ? std::nullopt : std::optional(*first);
}

const KvStoreRule*
KvStoreOfPart(std::span<const KvStoreRule> aStores,
              std::string_view aPartName,
              std::string_view aZone,
              const Topology& aTopology)
{
  const std::uint64_t key = PlacementHash(aPartName);
  const auto rankOf = [&](const KvStoreRule& aStore) {
    return std::pair(Nearness(aTopology.Between(aStore.mZone, aZone)),
                     Rank(PlacementHash(aStore.mAddress), key));
  };
  const auto best = std::max_element(
    aStores.begin(), aStores.end(), [&](const auto& aOne, const auto& aTwo) {
      return rankOf(aOne) < rankOf(aTwo);
    });
  return best == aStores.end() ? nullptr : &*best;
}

} // namespace shuntjunction::state
