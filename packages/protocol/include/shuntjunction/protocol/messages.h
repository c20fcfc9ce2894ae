#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "shuntjunction/state/waiting_tokens.h"
#include "shuntjunction/state/block_index.h"
#include "shuntjunction/state/crash_tracker.h"
#include "shuntjunction/state/endpoint_incarnation.h"
#include "shuntjunction/state/endpoint_limits.h"
#include "shuntjunction/state/limit_shares.h"
#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/request_types.h"

/// Messages between shuntjunction's own processes.
namespace shuntjunction::protocol {

/// Version of the protocol that this program speaks.
inline constexpr std::uint16_t kProtocolVersion = 1;

/// Oldest version that it still understands.
inline constexpr std::uint16_t kMinProtocolVersion = 1;

/// Names a model or service in a probe, where bytes are scarce.
///
/// Two names may share a hash: it spares a question, and decides nothing.
inline std::uint32_t
ServedNameHash(std::string_view aServedName)
{
  return static_cast<std::uint32_t>(state::PlacementHash(aServedName));
}

/// Names a request on one connection.
using StreamId = std::uint64_t;

/// First message of the side that accepted the connection.
struct Challenge
{
  std::uint16_t mVersion = kProtocolVersion;
  std::string mNonce;
};

/// Answer of the side that connected.
struct Hello
{
  std::uint16_t mVersion = kProtocolVersion;
  std::string mNode;
  std::string mNonce;
  std::string mProof;
  std::uint64_t mConfigVersion = 0;
};

/// The accepting side's proof.
struct Welcome
{
  std::string mNode;
  std::string mProof;
  std::uint64_t mConfigVersion = 0;
};

/// Asks what a request would cost.
struct Probe
{
  StreamId mId = 0;
  std::uint32_t mServedNameHash = 0; ///< ServedNameHash of the model or service
  state::Priority mPriority = state::Priority::kOrdinary;
  std::vector<state::PrefixLevel> mLevels;
  std::uint64_t mConfigVersion = 0;
};

/// Answer to a Probe.
struct ProbeReply
{
  StreamId mId = 0;
  bool mIsAccepting = false;
  std::uint32_t mCachedBlocks = 0;
  std::uint32_t mWaitMicros = 0; ///< at most UINT32_MAX, over an hour
  std::uint32_t mMicrosPerBlock = 0;
  std::uint64_t mConfigVersion = 0;
};

/// Hands a request to a companion.
struct Submit
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
  std::string mRequestId;
  std::string mTeam;
  std::string mServedName; ///< model or service
  state::RequestKind mKind = state::RequestKind::kChat;
  state::Priority mPriority = state::Priority::kOrdinary;
  std::uint32_t mWeightsVersion = 0;
  std::uint32_t mDeadlineMs = 0; ///< left until its first token is due
  bool mIsAtMostOnce = false;    ///< marked as not repeatable
  std::string mKey;              ///< idempotency key; empty when none
  bool mIsStream = false;
  std::uint32_t mResumeOffset = 0; ///< tokens that the caller has already
  std::string mResumeText;         ///< their text
  std::string mMethod;
  std::string mTarget;
  std::string mContentType;
  std::string mBody;
  std::uint32_t mWindow = 0; ///< tokens that may be sent without a Credit
  std::uint64_t mConfigVersion = 0;
};

/// The request is at the engine.
struct Started
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
  state::Incarnation mIncarnation = 0;
  std::uint32_t mCachedBlocks = 0;
  std::uint64_t mConfigVersion = 0;
  std::uint32_t mWeightsVersion = 0;
};

/// Tokens of an answer, numbered from the answer's start.
struct Tokens
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
  state::Incarnation mIncarnation = 0;
  std::uint32_t mOffset = 0;
  std::uint32_t mCount = 0;
  std::string mText;
};

/// The answer is complete.
struct Finished
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
  state::Incarnation mIncarnation = 0;
  std::uint16_t mStatus = 200;
  std::string mContentType;
  std::string mBody; ///< of a whole answer; empty after Tokens
  std::uint32_t mTotalTokens = 0;
  std::string mFinishReason;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCachedTokens = 0;
  std::uint32_t mRecomputedBlocks = 0;
  bool mIsReplayed = false; ///< the recorded outcome of an earlier run
  std::uint64_t mWaitMicros = 0;
  std::uint32_t mMicrosPerBlock = 0;
};

/// Refused before it was handed over: it was not run.
struct Refused
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
  state::RefusalReason mReason = state::RefusalReason::kQueueFull;
  std::uint32_t mRetryAfterMs = 0;
  std::uint64_t mWaitMicros = 0;
  std::uint32_t mMicrosPerBlock = 0;
  std::string mText;
  std::uint64_t mConfigVersion = 0;
};

/// Failed after it may have been handed over.
struct Failed
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
  state::RunState mRunState = state::RunState::kUnknown;
  std::string mText;
};

/// The attempt is given up.
struct Cancel
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
};

/// The caller has taken so many tokens more.
struct Credit
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
  std::uint32_t mTokens = 0;
};

/// The endpoint takes no new work from now on.
struct Leaving
{
  std::string mNode;
};

/// Asks for configuration and instances if either is newer.
struct SnapshotRequest
{
  std::uint64_t mKnownVersion = 0;   ///< ConfigVersion::Packed
  std::uint64_t mKnownInstances = 0; ///< revision of the list
};

/// The configuration in force and the instances, as far as they are newer.
struct SnapshotReply
{
  std::uint64_t mVersion = 0;
  std::string mText;      ///< whole, or the changes since the one asked with
  std::string mInstances; ///< the whole list
};

/// What an engine can take, as its companion knows it.
enum class EnginePhase : std::uint8_t
{
  kOpen,     ///< takes work
  kDraining, ///< ends what runs; its weights are about to change
  kLoading,  ///< loads weights
  kDown,     ///< does not answer its companion
};

/// Names of EnginePhase.
inline constexpr state::EnumNames<EnginePhase, 4> kEnginePhaseNames{
  { "open", "closing", "loading", "down" }
};

/// What a companion tells relays of the engine beside it.
///
/// A part is named by its salt, a slash and its id.
struct EngineNews
{
  std::string mEndpoint; ///< id of the engine, or address of the part store
  std::string mModel;
  std::uint64_t mWeights = 0; ///< 0: not known
  EnginePhase mPhase = EnginePhase::kOpen;
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  bool mIsFullSnapshot = true;            ///< mAddedParts is all that it keeps
  std::vector<std::string> mAddedParts;   ///< parts that it keeps now
  std::vector<std::string> mRemovedParts; ///< parts that it keeps no more
  /// Prompt tokens there of the relays other than the one that is told.
  state::WaitingTokens mWaiting;
  std::uint32_t mRelayCount = 0; ///< that the companion tells; 0: not known
  state::EndpointIncarnation mEndpointIncarnation; ///< of the engine
};

/// What a relay tells the others, by an engine's companion: that the engine
/// begins to read a shared part of a prompt, or that it has read it.
struct PartReading
{
  std::string mPart; ///< its salt, a slash and its id
  bool mIsDone = false;
  std::string mEndpoint; ///< id of the engine; empty: not known
};

/// What a relay tells an engine's companion: its own prompt tokens that wait
/// there to be read.
struct RelayWaiting
{
  state::WaitingTokens mWaiting;
  /// A shared part that it sends there, of which it has not heard that the
  /// engine keeps it; from now on its companion tells. Empty: none.
  std::string mPart;
};

/// A crash of an endpoint while a request ran there, as one process tells it to
/// another; or that the request ended well, and is innocent.
struct CrashUpdate
{
  state::AgedCrashReport mReport;
  bool mIsCleared = false; ///< no endpoint crashes under it: forget this crash
};

/// What relays saw of crashes, in order; companions pass it on to all relays.
struct CrashReports
{
  std::vector<CrashUpdate> mUpdates;
};

/// Asks a companion for a part of a team's limit.
struct LimitAsk
{
  std::uint32_t mId = 0; ///< of the answer
  state::ShareRequest mRequested;
};

/// Answer to a LimitAsk.
struct LimitGrant
{
  std::uint32_t mId = 0;
  state::ShareGrant mGrant;
};

/// Gives back what a request did not use.
struct LimitReturn
{
  state::ShareKey mKey;
  std::uint32_t mAmount = 0;
};

/// What an endpoint's answer said of the rate that it takes.
struct RateReport
{
  state::RateReport mReport;
};

/// The same, from the companion that keeps the rate to all relays.
struct RateNews
{
  state::RateNews mNews;
};

/// Asks a companion for leave to send an endpoint one request.
struct PlaceAsk
{
  std::uint32_t mId = 0; ///< of the answer
  state::PlaceAsk mRequested;
};

/// Answer to a PlaceAsk.
struct PlaceGrant
{
  std::uint32_t mId = 0;
  state::PlaceGrant mGrant;
};

/// Gives back a place whose request was not sent.
struct PlaceReturn
{
  state::LimitHash mEndpoint = 0;
};

/// Any message.
using Message = std::variant<Challenge,
                             Hello,
                             Welcome,
                             Probe,
                             ProbeReply,
                             Submit,
                             Started,
                             Tokens,
                             Finished,
                             Refused,
                             Failed,
                             Cancel,
                             Credit,
                             Leaving,
                             SnapshotRequest,
                             SnapshotReply,
                             EngineNews,
                             PartReading,
                             RelayWaiting,
                             CrashReports,
                             LimitAsk,
                             LimitGrant,
                             LimitReturn,
                             RateReport,
                             RateNews,
                             PlaceAsk,
                             PlaceGrant,
                             PlaceReturn>;

} // namespace shuntjunction::protocol
