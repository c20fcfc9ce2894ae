#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/relay_config.h"

/// Which endpoint a relayed request is sent to.
namespace shuntjunction::state {

/// A part of a prompt, named by the caller.
struct PromptPart
{
  std::string mId;
  std::int64_t mTokens = 0;
};

/// One endpoint as the choice sees it.
struct RelayCandidate
{
  std::uint64_t mNameHash = 0; ///< PlacementHash of its id
  bool mIsSameZone = false;
  bool mIsSuspect = false;    ///< failed lately: taken only if none is better
  bool mIsLimited = false;    ///< names a rate: taken if no other has room
  std::uint64_t mVersion = 0; ///< of the weights; 0 for a plain service
  std::int64_t mRunning = 0;  ///< requests there, as far as known
  std::int64_t mSlots = 1;    ///< that it works on at once
  std::int64_t mQueuedTokens = 0; ///< prompt tokens that wait to be read there
  bool mHoldsPart = false;        ///< keeps the prompt's last shared part
  std::int64_t mSuspectRequests =
    0; ///< requests there under which others crashed
};

/// Settings of the choice.
struct RelayChoiceSettings
{
  /// Waiting tokens by which the first endpoint of a prompt's order may exceed
  /// the least loaded before that one takes it. With more, engines read for so
  /// long without a break that streams beside them pause; with less, each part
  /// is spread over more engines, which forget it sooner.
  std::int64_t mMaxLeadTokens = 3000;
  /// Endpoints of a prompt's order that are weighed, two at least: with more, a
  /// prompt finds one that reads nothing while many arrive at once.
  std::size_t mPartCandidates = 6;
  /// Prompts that share less go where little waits: reading it again takes a
  /// few milliseconds.
  std::int64_t mMinSharedTokens = 1000;
  /// Requests by which the engine that such a prompt's parts lead to may exceed
  /// the least loaded: together they take some ten milliseconds.
  std::int64_t mSmallPartLead = 4;
  /// Requests by which an endpoint of the own zone may exceed another's.
  std::int64_t mZoneLead = 2;
  /// Waiting tokens up to which an endpoint has room where others name rates.
  std::int64_t mRoomTokens = 16000;
  /// Waiting tokens that weigh as much as a request that runs: a token of its
  /// answer takes as long as a piece of prompt that is read beside it.
  std::int64_t mTokensOfRunning = 1000;
};

/// Chooses by rendezvous of a prompt's shared part: of the first two the one
/// that keeps the part, unless much less waits at another near the front.
///
/// Guards the streams beside: an engine that reads prompts without a break
/// makes each token of its streams wait for a piece of reading.
///
/// Older weights are no reason to pass an engine over: while a new version is
/// loaded, the few that have it cannot carry all work.
///
/// @param aKey  hash of the shared part and its scope
/// @return index of aCandidates; empty when there are none
/// Thread safety: pure.
std::optional<std::size_t>
ChooseByPart(std::span<const RelayCandidate> aCandidates,
             std::uint64_t aKey,
             const RelayChoiceSettings& aSettings);

/// Chooses the least loaded by requests that run and tokens that wait, the own
/// zone first among near equals.
///
/// A prompt whose parts are small goes to the first of its order in the own
/// zone unless others are clearly less loaded: anywhere else its parts are read
/// again, 200 tokens for each of half of all requests.
///
/// @param aKey  hash of the shared part and its scope; empty: there is none
/// @param aRandom  breaks ties
/// @return index of aCandidates; empty when there are none
/// Thread safety: pure but for aRandom.
std::optional<std::size_t>
ChooseByLoad(std::span<const RelayCandidate> aCandidates,
             std::optional<std::uint64_t> aKey,
             const RelayChoiceSettings& aSettings,
             RandomSource& aRandom);

/// Chooses where the fewest other suspects run, among these by rendezvous of
/// the request alone, whatever its prompt and the endpoints' load.
///
/// Of the requests that ran where an endpoint crashed, one may have crashed it.
/// By their prompts they would stay together until three endpoints crashed, and
/// all be taken for it. Apart, the next crash tells which of them it is.
///
/// @param aKey  hash of the request
/// @return index of aCandidates; empty when there are none
/// Thread safety: pure.
std::optional<std::size_t>
ChooseForSuspect(std::span<const RelayCandidate> aCandidates,
                 std::uint64_t aKey,
                 const RelayChoiceSettings& aSettings);

/// The part store to which an engine saves a part: one of its own zone, since a
/// move between zones holds up the store's link for twice as long; among
/// several by rendezvous, so that every relay computes the same, each store
/// keeps its share, and one that goes moves only the parts that it kept.
///
/// One store for all parts would forget most of them before their next use.
///
/// @param aPartName  see PartName
/// @param aZone  of the engine; where it has no store, all are as good
/// @return null when there is no store
/// Thread safety: pure.
const KvStoreRule*
StoreOfPart(std::span<const KvStoreRule> aStores,
            std::string_view aPartName,
            std::string_view aZone);

} // namespace shuntjunction::state
