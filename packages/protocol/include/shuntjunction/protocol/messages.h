#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "shuntjunction/state/waiting_tokens.h"
#include "shuntjunction/state/block_index.h"
#include "shuntjunction/state/crash_tracker.h"
#include "shuntjunction/state/part_crash_tracker.h"
#include "shuntjunction/state/endpoint_incarnation.h"
#include "shuntjunction/state/endpoint_limits.h"
#include "shuntjunction/state/limit_shares.h"
#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/request_types.h"
#include "shuntjunction/state/rollout/rollout.h"
#include "shuntjunction/state/rollout/rollout_evidence.h"
#include "shuntjunction/state/streams/stream_origin.h"
#include "shuntjunction/state/weights_history.h"

/// Messages between shuntjunction's own processes.
namespace shuntjunction::protocol {

/// Protocol version that this build speaks.
inline constexpr std::uint16_t kProtocolVersion = 4;

/// Protocol version from which a peer understands messages about roll-outs.
inline constexpr std::uint16_t kRolloutProtocolVersion = 2;

/// Protocol version from which a peer understands messages about streams.
inline constexpr std::uint16_t kStreamProtocolVersion = 3;

/// Protocol version from which a peer understands messages about weights.
inline constexpr std::uint16_t kWeightsProtocolVersion = 4;

/// Oldest protocol version that it accepts from a peer.
inline constexpr std::uint16_t kMinProtocolVersion = 1;

/// Hash that stands for a model or service name in probes, to keep them small.
///
/// Names may collide: the hash only avoids useless queries and decides nothing.
inline std::uint32_t
ServedNameHash(std::string_view aServedName)
{
  return static_cast<std::uint32_t>(state::PlacementHash(aServedName));
}

/// Identifies a request on one connection.
using StreamId = std::uint64_t;

/// First message of the accepting side.
struct Challenge
{
  std::uint16_t mVersion = kProtocolVersion;
  std::string mNonce;
};

/// Reply of the connecting side, with its proof.
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

/// Queries what a request would cost at an endpoint.
struct Probe
{
  StreamId mId = 0;
  std::uint32_t mServedNameHash = 0; ///< of the model or service
  state::Priority mPriority = state::Priority::kOrdinary;
  std::vector<state::PrefixLevel> mLevels;
  std::uint64_t mConfigVersion = 0;
};

/// Reply to a Probe.
struct ProbeReply
{
  StreamId mId = 0;
  bool mIsAccepting = false;
  std::uint32_t mCachedBlocks = 0;
  std::uint32_t mWaitMicros = 0; ///< at most UINT32_MAX, over an hour
  std::uint32_t mMicrosPerBlock = 0;
  std::uint64_t mConfigVersion = 0;
};

/// Submits a request to a companion.
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
  std::uint32_t mDeadlineMs = 0; ///< time left until the first token is due
  bool mIsAtMostOnce = false;    ///< the caller marked it as not repeatable
  std::string mKey;              ///< idempotency key; empty when none
  bool mIsStream = false;
  std::uint32_t mResumeOffset = 0; ///< tokens that the caller already has
  std::string mResumeText;         ///< text of those tokens
  std::string mMethod;
  std::string mTarget;
  std::string mContentType;
  std::string mBody;
  std::uint32_t mWindow = 0; ///< tokens that may be sent before any Credit
  std::uint64_t mConfigVersion = 0;
};

/// The request was handed to the engine.
struct Started
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
  state::Incarnation mIncarnation = 0;
  std::uint32_t mCachedBlocks = 0;
  std::uint64_t mConfigVersion = 0;
  std::uint32_t mWeightsVersion = 0;
};

/// Tokens of an answer; mOffset counts from the start of the answer.
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
  std::string mBody; ///< the complete answer; empty if sent as Tokens
  std::uint32_t mTotalTokens = 0;
  std::string mFinishReason;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCachedTokens = 0;
  std::uint32_t mRecomputedBlocks = 0;
  bool mIsReplayed = false; ///< recorded outcome of an earlier run
  std::uint64_t mWaitMicros = 0;
  std::uint32_t mMicrosPerBlock = 0;
};

/// The request was refused before it reached the engine, so it did not run.
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

/// The request failed after it may have reached the engine.
struct Failed
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
  state::RunState mRunState = state::RunState::kUnknown;
  std::string mText;
};

/// Cancels an attempt.
struct Cancel
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
};

/// Flow control: the caller has received this many more tokens.
struct Credit
{
  StreamId mId = 0;
  std::uint32_t mAttempt = 0;
  std::uint32_t mTokens = 0;
};

/// The endpoint drains: it takes no new work from now on.
struct Leaving
{
  std::string mNode;
};

/// Requests the configuration and the instance list if either is newer than
/// the known version.
struct SnapshotRequest
{
  std::uint64_t mKnownVersion = 0;   ///< ConfigVersion::Packed
  std::uint64_t mKnownInstances = 0; ///< revision of the instance list
};

/// The active configuration and the instance list, each only if it is newer.
struct SnapshotReply
{
  std::uint64_t mVersion = 0;
  std::string mText;      ///< full, or the changes since the known version
  std::string mInstances; ///< the full list
};

/// Whether an engine takes work, as far as its companion knows.
enum class EnginePhase : std::uint8_t
{
  kOpen,     ///< takes work
  kDraining, ///< finishes running requests before its weights change
  kLoading,  ///< loads weights
  kDown,     ///< does not respond to its companion, and may be running requests
};

/// Names of EnginePhase.
inline constexpr state::EnumNames<EnginePhase, 4> kEnginePhaseNames{
  { "open", "closing", "loading", "down" }
};

/// State of an engine, as reported to relays by the companion on its host.
///
/// A part of a prompt is named by its cache salt, a slash and its id.
struct EngineNews
{
  std::string mEndpoint; ///< id of the engine, or address of the part store
  std::string mModel;
  std::uint64_t mWeights = 0; ///< 0: unknown
  EnginePhase mPhase = EnginePhase::kOpen;
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  bool mIsFullSnapshot = true;          ///< mAddedParts lists all cached parts
  std::vector<std::string> mAddedParts; ///< parts that are cached now
  std::vector<std::string> mRemovedParts; ///< parts that are no longer cached
  /// Prompt tokens that wait at the engine for relays other than the receiver.
  state::WaitingTokens mWaiting;
  std::uint32_t mRelayCount = 0; ///< relays that get these reports; 0: unknown
  state::EndpointIncarnation mEndpointIncarnation; ///< of the engine
};

/// Report from one relay to the others, through an engine's companion: the
/// engine starts to prefill a shared part of a prompt, or has prefilled it.
struct PartReading
{
  std::string mPart; ///< its cache salt, a slash and its id
  bool mIsDone = false;
  std::string mEndpoint; ///< id of the engine; empty: unknown
};

/// Report from a relay to an engine's companion: the relay's own prompt tokens
/// that wait there for prefill.
struct RelayWaiting
{
  state::WaitingTokens mWaiting;
  /// A shared part that the relay sends to the engine and does not know to be
  /// cached there; from now on the companion reports on it. Empty: none.
  std::string mPart;
};

/// Report that an endpoint crashed while it ran a request, or that the request
/// completed normally and is no longer a crash suspect.
struct CrashUpdate
{
  state::AgedCrashReport mReport;
  bool mIsCleared = false; ///< the request causes no crash: drop this report
};

/// Report that an endpoint crashed when it was about to answer a request with
/// these shared parts, or that its only part is no longer suspected.
struct PartCrashUpdate
{
  state::AgedPartCrash mReport;
  /// An answer to a request with the part got past its beginning at that time:
  /// drop earlier reports.
  bool mIsCleared = false;
};

/// Maximum number of parts in a PartCrashUpdate; further ones are dropped.
inline constexpr std::size_t kMaxPartsInReport = 16;

/// Crashes that relays observed, in order; companions forward them to all
/// relays.
struct CrashReports
{
  std::vector<CrashUpdate> mUpdates;
  std::vector<PartCrashUpdate> mParts;

  bool IsEmpty() const { return mUpdates.empty() && mParts.empty(); }
};

/// Requests part of a team's limit from a companion.
struct LimitAsk
{
  std::uint32_t mId = 0; ///< repeated in the LimitGrant
  state::ShareRequest mRequested;
};

/// Reply to a LimitAsk.
struct LimitGrant
{
  std::uint32_t mId = 0;
  state::ShareGrant mGrant;
};

/// Returns the amount of a limit that a request did not use.
struct LimitReturn
{
  state::ShareKey mKey;
  std::uint32_t mAmount = 0;
};

/// Request rate that a response of an endpoint advertised, if any.
struct RateReport
{
  state::RateReport mReport;
};

/// Request rate of an endpoint, sent to all relays by the companion that owns
/// the rate.
struct RateNews
{
  state::RateNews mNews;
};

/// Requests a permit from a companion to send one request to an endpoint.
struct PlaceAsk
{
  std::uint32_t mId = 0; ///< repeated in the PlaceGrant
  state::PlaceAsk mRequested;
};

/// Reply to a PlaceAsk.
struct PlaceGrant
{
  std::uint32_t mId = 0;
  state::PlaceGrant mGrant;
};

/// Returns a permit whose request was not sent.
struct PlaceReturn
{
  state::LimitHash mEndpoint = 0;
};

/// Report of a relay on a roll-out, to the companion that decides its steps.
struct RolloutReport
{
  state::RolloutReport mReport;
};

/// Step of a roll-out, sent to all relays by the companion that decided it.
struct RolloutNotice
{
  state::RolloutNotice mNotice;
};

/// Has a companion hold the record of a stream; acknowledged by a StreamReply.
struct StreamRecord
{
  std::uint32_t mId = 0; ///< repeated in the StreamReply
  state::StreamRecord mRecord;
};

/// Asks a companion at which software version a stream began.
struct StreamQuery
{
  std::uint32_t mId = 0; ///< repeated in the StreamReply
  state::StreamHash mStream = 0;
  std::string mService;
  state::Millis mLifetime{ 0 }; ///< for which such a stream may be resumed
};

/// Reply to a StreamRecord or a StreamQuery.
struct StreamReply
{
  std::uint32_t mId = 0;
  state::OriginReply mReply;
};

/// Asks a companion until when each version of a model's weights was the
/// newest.
struct WeightsQuery
{
  std::uint32_t mId = 0; ///< repeated in the WeightsReply
  std::string mModel;
};

/// Reply to a WeightsQuery; the ages count up to it.
struct WeightsReply
{
  std::uint32_t mId = 0;
  std::vector<state::WeightsConfirmation> mConfirmations;
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
                             PlaceReturn,
                             RolloutReport,
                             RolloutNotice,
                             StreamRecord,
                             StreamQuery,
                             StreamReply,
                             WeightsQuery,
                             WeightsReply>;

} // namespace shuntjunction::protocol
