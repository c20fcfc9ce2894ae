#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/state/relay_config.h"
#include "shuntjunction/state/topology.h"

/// Selection of the endpoint that a relayed request is sent to.
namespace shuntjunction::state {

/// A cacheable part of a prompt, identified by the caller.
struct PromptPart
{
  std::string mId;
  std::int64_t mTokens = 0;
};

/// Properties of an endpoint that the choice depends on.
struct RelayCandidate
{
  std::uint64_t mNameHash = 0;                ///< PlacementHash of its id
  Distance mDistance = Distance::kSameRegion; ///< from the relay
  /// Failed recently or is silent: taken as a last resort.
  bool mIsSuspect = false;
  bool mIsLimited = false;    ///< has a rate limit: taken if no other has room
  std::uint64_t mVersion = 0; ///< of the weights; 0 for a plain service
  std::int64_t mRunning = 0;  ///< requests known to be there
  std::int64_t mSlots = 1;    ///< requests processed concurrently
  std::int64_t mQueuedTokens = 0; ///< prompt tokens waiting for prefill
  bool mHoldsPart = false;        ///< has the prompt's last shared part cached
  /// Requests there that are suspected of having crashed another endpoint.
  std::int64_t mSuspectRequests = 0;
};

/// Where a prompt's shared part has its first engine, in a fleet of several
/// regions.
enum class PartScope : std::uint8_t
{
  kFleet,  ///< one for all regions
  kRegion, ///< one in each region
};

/// Names of PartScope.
inline constexpr EnumNames<PartScope, 2> kPartScopeNames{ { "fleet",
                                                            "region" } };

/// Settings of the choice.
struct RelayChoiceSettings
{
  /// Queued tokens by which the preferred endpoint of a prompt may exceed the
  /// least loaded candidate before the latter is taken. With a higher limit,
  /// engines prefill for so long without a break that their streams pause; with
  /// a lower one, each part is spread over more engines, which evict it sooner.
  std::int64_t mMaxLeadTokens = 3000;
  /// Endpoints at the front of a prompt's rendezvous order to consider, at
  /// least two. The more there are, the likelier one of them has no prefill
  /// queued while many prompts arrive at once.
  std::size_t mPartCandidates = 6;
  /// Prompts with fewer shared tokens are placed by load: a repeated prefill
  /// takes a few milliseconds.
  std::int64_t mMinSharedTokens = 1000;
  /// Requests by which the preferred endpoint of such a prompt may exceed the
  /// least loaded one: together they take some ten milliseconds.
  std::int64_t mMaxSmallPartLead = 4;
  /// Requests by which an endpoint in the local zone may exceed one elsewhere.
  std::int64_t mMaxZoneLead = 2;
  /// The same for an endpoint in the local region and one in another: a request
  /// to another region costs a round trip of some ten milliseconds and bytes
  /// that are priced four times as high.
  std::int64_t mMaxRegionLead = 12;
  PartScope mPartScope = PartScope::kRegion;
  /// Queued tokens by which the endpoint chosen in the local region may exceed
  /// the first one of another region before the latter is taken: about 100 ms
  /// of prefill, since a part that is not cached there is fetched over the link
  /// between regions.
  std::int64_t mMaxRegionLeadTokens = 6000;
  /// Queued tokens up to which an endpoint without a rate limit has room, so
  /// that it is chosen before those with a limit.
  std::int64_t mRoomTokens = 16000;
  /// Queued tokens that count as much as a running request: generating a token
  /// takes as long as the chunk of prefill that runs in the same step.
  std::int64_t mTokensPerRequest = 1000;
};

/// Chooses by the rendezvous order of a prompt's shared part.
///
/// Prefers the first endpoint of the order, or the second if only that has the
/// part cached. Takes the least loaded other one of the first mPartCandidates
/// if only that has a free slot, or if the preferred endpoint has more than
/// mMaxLeadTokens queued tokens more. This protects streams: on an engine that
/// prefills without a break, each token of a stream waits for a chunk of
/// prefill.
///
/// In a fleet of several regions the order is that of the local region's
/// endpoints; another region gets the prompt if no endpoint of this one is
/// healthy or has a free slot, or if the queue here is longer by more than
/// mMaxRegionLeadTokens.
///
/// Engines with older weights are not passed over: while a new version is being
/// loaded, the few that have it cannot take the whole load.
///
/// @param aKey  hash of the shared part and its scope
/// @return index into aCandidates; empty if there are none
/// Thread safety: pure.
std::optional<std::size_t>
ChooseByPart(std::span<const RelayCandidate> aCandidates,
             std::uint64_t aKey,
             const RelayChoiceSettings& aSettings);

/// Chooses the endpoint with the fewest running requests and queued tokens,
/// preferring the local zone among near equals.
///
/// A prompt with small shared parts goes to the first endpoint of its
/// rendezvous order in the local zone unless others are clearly less loaded:
/// elsewhere the parts would be prefilled again, 200 tokens in each of half of
/// all requests.
///
/// @param aKey  hash of the shared part and its scope; empty: there is none
/// @param aRandom  breaks ties
/// @return index into aCandidates; empty if there are none
/// Thread safety: pure apart from aRandom.
std::optional<std::size_t>
ChooseByLoad(std::span<const RelayCandidate> aCandidates,
             std::optional<std::uint64_t> aKey,
             const RelayChoiceSettings& aSettings,
             RandomSource& aRandom);

/// Chooses an endpoint for a request that ran on an endpoint when that crashed,
/// and so may have caused the crash.
///
/// Takes the endpoint with the fewest other such requests, and among equals
/// the first in the rendezvous order of the request, whatever its prompt and
/// the endpoints' load. Placed by their prompts, the requests of one crash
/// would meet again until three endpoints had crashed, and all of them would be
/// blamed. If they run on separate endpoints, the next crash identifies the
/// request that causes it.
///
/// @param aKey  hash of the request
/// @return index into aCandidates; empty if there are none
/// Thread safety: pure.
std::optional<std::size_t>
ChooseForSuspect(std::span<const RelayCandidate> aCandidates,
                 std::uint64_t aKey,
                 const RelayChoiceSettings& aSettings);

/// The KV store to which an engine saves a part.
///
/// Prefers the nearest stores: a transfer between zones occupies the store's
/// link for twice as long, one between regions for ten times as long. Among
/// these it is the first in the part's
/// rendezvous order, so that all relays choose the same, each store gets an
/// equal share, and removing a store moves only the parts that it kept. A
/// single store for all parts would evict most of them before their next use.
///
/// @param aPartName  see PartName
/// @param aZone  of the engine
/// @return null if there is no store
/// Thread safety: pure.
const KvStoreRule*
KvStoreOfPart(std::span<const KvStoreRule> aStores,
              std::string_view aPartName,
              std::string_view aZone,
              const Topology& aTopology = {});

} // namespace shuntjunction::state
