#include "shuntjunction/protocol/codec.h"

#include "frames_generated.h"
#include "shuntjunction/state/digest.h"

namespace shuntjunction::protocol {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::size_t kSmallBuffer = 256;

std::string
TextOf(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

std::string
BytesOf(const flatbuffers::Vector<std::uint8_t>* aBytes)
{
  if (aBytes == nullptr) {
    return {};
  }
  return { reinterpret_cast<const char*>(aBytes->data()), aBytes->size() };
}

Offset<flatbuffers::Vector<std::uint8_t>>
PackBytes(FlatBufferBuilder& aBuilder, const std::string& aBytes)
{
  return aBuilder.CreateVector(
    reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
}

Offset<flatbuffers::Vector<const wire::Level*>>
PackLevels(FlatBufferBuilder& aBuilder,
           const std::vector<state::PrefixLevel>& aLevels)
{
  std::vector<wire::Level> levels;
  levels.reserve(aLevels.size());
  for (const auto& level : aLevels) {
    levels.emplace_back(level.mHash, level.mBlocks);
  }
  return aBuilder.CreateVectorOfStructs(levels);
}

std::vector<state::PrefixLevel>
LevelsOf(const flatbuffers::Vector<const wire::Level*>* aLevels)
{
  std::vector<state::PrefixLevel> levels;
  if (aLevels != nullptr) {
    levels.reserve(aLevels->size());
    for (const auto* level : *aLevels) {
      levels.push_back({ level->hash(), level->blocks() });
    }
  }
  return levels;
}

/// A value of an enumeration, held to its range.
template<typename Enum, std::size_t Count>
Enum
EnumOf(std::uint8_t aValue,
       const state::EnumNames<Enum, Count>& /*aNames*/,
       Enum aFallback)
{
  return aValue < Count ? static_cast<Enum>(aValue) : aFallback;
}

// Packing: one function a message.

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Challenge& aMessage)
{
  return wire::CreateChallenge(
           aBuilder, aMessage.mVersion, aBuilder.CreateString(aMessage.mNonce))
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Hello& aMessage)
{
  const auto node = aBuilder.CreateString(aMessage.mNode);
  const auto nonce = aBuilder.CreateString(aMessage.mNonce);
  const auto proof = aBuilder.CreateString(aMessage.mProof);
  return wire::CreateHello(aBuilder,
                           aMessage.mVersion,
                           node,
                           nonce,
                           proof,
                           aMessage.mConfigVersion)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Welcome& aMessage)
{
  const auto node = aBuilder.CreateString(aMessage.mNode);
  const auto proof = aBuilder.CreateString(aMessage.mProof);
  return wire::CreateWelcome(aBuilder, node, proof, aMessage.mConfigVersion)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Probe& aMessage)
{
  const auto levels = PackLevels(aBuilder, aMessage.mLevels);
  return wire::CreateProbe(aBuilder,
                           aMessage.mId,
                           aMessage.mServesHash,
                           static_cast<std::uint8_t>(aMessage.mPriority),
                           levels,
                           aMessage.mConfigVersion)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const ProbeReply& aMessage)
{
  return wire::CreateProbeReply(aBuilder,
                                aMessage.mId,
                                aMessage.mIsAccepting,
                                aMessage.mCachedBlocks,
                                aMessage.mWaitMicros,
                                aMessage.mMicrosPerBlock,
                                aMessage.mConfigVersion)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Submit& aMessage)
{
  const auto requestId = aBuilder.CreateString(aMessage.mRequestId);
  const auto team = aBuilder.CreateString(aMessage.mTeam);
  const auto serves = aBuilder.CreateString(aMessage.mServes);
  const auto key = aBuilder.CreateString(aMessage.mKey);
  const auto resumeText = aBuilder.CreateString(aMessage.mResumeText);
  const auto method = aBuilder.CreateString(aMessage.mMethod);
  const auto target = aBuilder.CreateString(aMessage.mTarget);
  const auto contentType = aBuilder.CreateString(aMessage.mContentType);
  const auto body = PackBytes(aBuilder, aMessage.mBody);
  wire::SubmitBuilder submit(aBuilder);
  submit.add_id(aMessage.mId);
  submit.add_attempt(aMessage.mAttempt);
  submit.add_request_id(requestId);
  submit.add_team(team);
  submit.add_serves(serves);
  submit.add_kind(static_cast<std::uint8_t>(aMessage.mKind));
  submit.add_priority(static_cast<std::uint8_t>(aMessage.mPriority));
  submit.add_weights_version(aMessage.mWeightsVersion);
  submit.add_deadline_ms(aMessage.mDeadlineMs);
  submit.add_once(aMessage.mIsOnce);
  submit.add_key(key);
  submit.add_stream(aMessage.mIsStream);
  submit.add_resume_offset(aMessage.mResumeOffset);
  submit.add_resume_text(resumeText);
  submit.add_method(method);
  submit.add_target(target);
  submit.add_content_type(contentType);
  submit.add_body(body);
  submit.add_window(aMessage.mWindow);
  submit.add_config_version(aMessage.mConfigVersion);
  return submit.Finish().Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Started& aMessage)
{
  return wire::CreateStarted(aBuilder,
                             aMessage.mId,
                             aMessage.mAttempt,
                             aMessage.mIncarnation,
                             aMessage.mCachedBlocks,
                             aMessage.mConfigVersion,
                             aMessage.mWeightsVersion)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Tokens& aMessage)
{
  const auto text = aBuilder.CreateString(aMessage.mText);
  return wire::CreateTokens(aBuilder,
                            aMessage.mId,
                            aMessage.mAttempt,
                            aMessage.mIncarnation,
                            aMessage.mOffset,
                            aMessage.mCount,
                            text)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Finished& aMessage)
{
  const auto contentType = aBuilder.CreateString(aMessage.mContentType);
  const auto body = PackBytes(aBuilder, aMessage.mBody);
  const auto reason = aBuilder.CreateString(aMessage.mFinishReason);
  wire::FinishedBuilder finished(aBuilder);
  finished.add_id(aMessage.mId);
  finished.add_attempt(aMessage.mAttempt);
  finished.add_incarnation(aMessage.mIncarnation);
  finished.add_status(aMessage.mStatus);
  finished.add_content_type(contentType);
  finished.add_body(body);
  finished.add_total_tokens(aMessage.mTotalTokens);
  finished.add_finish_reason(reason);
  finished.add_prompt_tokens(aMessage.mPromptTokens);
  finished.add_cached_tokens(aMessage.mCachedTokens);
  finished.add_recomputed_blocks(aMessage.mRecomputedBlocks);
  finished.add_replayed(aMessage.mIsReplayed);
  finished.add_wait_micros(aMessage.mWaitMicros);
  finished.add_micros_per_block(aMessage.mMicrosPerBlock);
  return finished.Finish().Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Refused& aMessage)
{
  const auto text = aBuilder.CreateString(aMessage.mText);
  return wire::CreateRefused(aBuilder,
                             aMessage.mId,
                             aMessage.mAttempt,
                             static_cast<std::uint8_t>(aMessage.mReason),
                             aMessage.mRetryAfterMs,
                             aMessage.mWaitMicros,
                             aMessage.mMicrosPerBlock,
                             text,
                             aMessage.mConfigVersion)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Failed& aMessage)
{
  const auto text = aBuilder.CreateString(aMessage.mText);
  return wire::CreateFailed(aBuilder,
                            aMessage.mId,
                            aMessage.mAttempt,
                            static_cast<std::uint8_t>(aMessage.mRunState),
                            text)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Cancel& aMessage)
{
  return wire::CreateCancel(aBuilder, aMessage.mId, aMessage.mAttempt).Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Credit& aMessage)
{
  return wire::CreateCredit(
           aBuilder, aMessage.mId, aMessage.mAttempt, aMessage.mTokens)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const Leaving& aMessage)
{
  return wire::CreateLeaving(aBuilder, aBuilder.CreateString(aMessage.mNode))
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const SnapshotRequest& aMessage)
{
  return wire::CreateSnapshotRequest(
           aBuilder, aMessage.mHave, aMessage.mHaveInstances)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const SnapshotReply& aMessage)
{
  const auto text = aBuilder.CreateString(aMessage.mText);
  const auto instances = aBuilder.CreateString(aMessage.mInstances);
  return wire::CreateSnapshotReply(aBuilder, aMessage.mVersion, text, instances)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const EngineNews& aMessage)
{
  const auto endpoint = aBuilder.CreateString(aMessage.mEndpoint);
  const auto model = aBuilder.CreateString(aMessage.mModel);
  const auto gained = aBuilder.CreateVectorOfStrings(aMessage.mGained);
  const auto lost = aBuilder.CreateVectorOfStrings(aMessage.mLost);
  return wire::CreateEngineNews(aBuilder,
                                endpoint,
                                model,
                                aMessage.mWeights,
                                static_cast<std::uint8_t>(aMessage.mPhase),
                                aMessage.mRunning,
                                aMessage.mQueued,
                                aMessage.mIsWhole,
                                gained,
                                lost)
    .Union();
}

// Unpacking: one function a message.

Challenge
Unpack(const wire::Challenge& aWire)
{
  return { aWire.version(), TextOf(aWire.nonce()) };
}

Hello
Unpack(const wire::Hello& aWire)
{
  return { aWire.version(),
           TextOf(aWire.node()),
           TextOf(aWire.nonce()),
           TextOf(aWire.proof()),
           aWire.config_version() };
}

Welcome
Unpack(const wire::Welcome& aWire)
{
  return { TextOf(aWire.node()),
           TextOf(aWire.proof()),
           aWire.config_version() };
}

state::Priority
PriorityOf(std::uint8_t aValue)
{
  return EnumOf(aValue, state::kPriorityNames, state::Priority::kOrdinary);
}

Probe
Unpack(const wire::Probe& aWire)
{
  return { aWire.id(),
           aWire.serves_hash(),
           PriorityOf(aWire.priority()),
           LevelsOf(aWire.levels()),
           aWire.config_version() };
}

ProbeReply
Unpack(const wire::ProbeReply& aWire)
{
  return {
    aWire.id(),          aWire.accepting(),        aWire.cached_blocks(),
    aWire.wait_micros(), aWire.micros_per_block(), aWire.config_version()
  };
}

Submit
Unpack(const wire::Submit& aWire)
{
  Submit submit;
  submit.mId = aWire.id();
  submit.mAttempt = aWire.attempt();
  submit.mRequestId = TextOf(aWire.request_id());
  submit.mTeam = TextOf(aWire.team());
  submit.mServes = TextOf(aWire.serves());
  submit.mKind = EnumOf(
    aWire.kind(), state::kRequestKindNames, state::RequestKind::kService);
  submit.mPriority = PriorityOf(aWire.priority());
  submit.mWeightsVersion = aWire.weights_version();
  submit.mDeadlineMs = aWire.deadline_ms();
  submit.mIsOnce = aWire.once();
  submit.mKey = TextOf(aWire.key());
  submit.mIsStream = aWire.stream();
  submit.mResumeOffset = aWire.resume_offset();
  submit.mResumeText = TextOf(aWire.resume_text());
  submit.mMethod = TextOf(aWire.method());
  submit.mTarget = TextOf(aWire.target());
  submit.mContentType = TextOf(aWire.content_type());
  submit.mBody = BytesOf(aWire.body());
  submit.mWindow = aWire.window();
  submit.mConfigVersion = aWire.config_version();
  return submit;
}

Started
Unpack(const wire::Started& aWire)
{
  return { aWire.id(),
           aWire.attempt(),
           aWire.incarnation(),
           aWire.cached_blocks(),
           aWire.config_version(),
           aWire.weights_version() };
}

Tokens
Unpack(const wire::Tokens& aWire)
{
  return { aWire.id(),     aWire.attempt(), aWire.incarnation(),
           aWire.offset(), aWire.count(),   TextOf(aWire.text()) };
}

Finished
Unpack(const wire::Finished& aWire)
{
  Finished finished;
  finished.mId = aWire.id();
  finished.mAttempt = aWire.attempt();
  finished.mIncarnation = aWire.incarnation();
  finished.mStatus = aWire.status();
  finished.mContentType = TextOf(aWire.content_type());
  finished.mBody = BytesOf(aWire.body());
  finished.mTotalTokens = aWire.total_tokens();
  finished.mFinishReason = TextOf(aWire.finish_reason());
  finished.mPromptTokens = aWire.prompt_tokens();
  finished.mCachedTokens = aWire.cached_tokens();
  finished.mRecomputedBlocks = aWire.recomputed_blocks();
  finished.mIsReplayed = aWire.replayed();
  finished.mWaitMicros = aWire.wait_micros();
  finished.mMicrosPerBlock = aWire.micros_per_block();
  return finished;
}

Refused
Unpack(const wire::Refused& aWire)
{
  Refused refused;
  refused.mId = aWire.id();
  refused.mAttempt = aWire.attempt();
  refused.mReason = EnumOf(aWire.reason(),
                           state::kRefusalReasonNames,
                           state::RefusalReason::kEngineDown);
  refused.mRetryAfterMs = aWire.retry_after_ms();
  refused.mWaitMicros = aWire.wait_micros();
  refused.mMicrosPerBlock = aWire.micros_per_block();
  refused.mText = TextOf(aWire.text());
  refused.mConfigVersion = aWire.config_version();
  return refused;
}

Failed
Unpack(const wire::Failed& aWire)
{
  return {
    aWire.id(),
    aWire.attempt(),
    EnumOf(aWire.run_state(), state::kRunStateNames, state::RunState::kUnknown),
    TextOf(aWire.text())
  };
}

Cancel
Unpack(const wire::Cancel& aWire)
{
  return { aWire.id(), aWire.attempt() };
}

Credit
Unpack(const wire::Credit& aWire)
{
  return { aWire.id(), aWire.attempt(), aWire.tokens() };
}

Leaving
Unpack(const wire::Leaving& aWire)
{
  return { TextOf(aWire.node()) };
}

SnapshotRequest
Unpack(const wire::SnapshotRequest& aWire)
{
  return { aWire.have(), aWire.have_instances() };
}

SnapshotReply
Unpack(const wire::SnapshotReply& aWire)
{
  return { aWire.version(), TextOf(aWire.text()), TextOf(aWire.instances()) };
}

std::vector<std::string>
TextsOf(const flatbuffers::Vector<Offset<flatbuffers::String>>* aTexts)
{
  std::vector<std::string> texts;
  if (aTexts != nullptr) {
    texts.reserve(aTexts->size());
    for (const auto* text : *aTexts) {
      texts.push_back(text->str());
    }
  }
  return texts;
}

EngineNews
Unpack(const wire::EngineNews& aWire)
{
  // A phase that a newer peer added is none that takes work.
  const auto phase = std::min<std::uint8_t>(
    aWire.phase(), static_cast<std::uint8_t>(EnginePhase::kDown));
  return { TextOf(aWire.endpoint()), TextOf(aWire.model()),
           aWire.weights(),          static_cast<EnginePhase>(phase),
           aWire.running(),          aWire.queued(),
           aWire.is_whole(),         TextsOf(aWire.gained()),
           TextsOf(aWire.lost()) };
}

/// Names of the messages, in the order of Message.
constexpr std::array<std::string_view, 17> kMessageNames{
  "challenge",      "hello",      "welcome", "probe",    "probe-reply",
  "submit",         "started",    "tokens",  "finished", "refused",
  "failed",         "cancel",     "credit",  "leaving",  "snapshot-request",
  "snapshot-reply", "engine-news"
};
static_assert(std::variant_size_v<Message> == kMessageNames.size());
static_assert(static_cast<std::size_t>(wire::Body::MAX) ==
              kMessageNames.size());

std::string
ProofText(std::string_view aPart,
          const Challenge& aChallenge,
          const Hello& aHello)
{
  return std::string(aPart) + "/" + std::to_string(aHello.mVersion) + "/" +
         aChallenge.mNonce + "/" + aHello.mNonce + "/" + aHello.mNode;
}

} // namespace

std::vector<std::uint8_t>
Encode(const Message& aMessage)
{
  FlatBufferBuilder builder(kSmallBuffer);
  const auto body = std::visit(
    [&](const auto& aTyped) { return Pack(builder, aTyped); }, aMessage);
  const auto type = static_cast<wire::Body>(aMessage.index() + 1);
  wire::FinishSizePrefixedFrameBuffer(builder,
                                      wire::CreateFrame(builder, type, body));
  return { builder.GetBufferPointer(),
           builder.GetBufferPointer() + builder.GetSize() };
}

state::Result<std::size_t>
DecodeLength(std::span<const std::uint8_t, kLengthBytes> aPrefix,
             std::string_view aPeer)
{
  const auto length = flatbuffers::ReadScalar<std::uint32_t>(aPrefix.data());
  if (length == 0 || length > kMaxFrameBytes) {
    return state::Fail(state::ErrorCode::kTooLarge,
                       "frame.length",
                       aPeer,
                       "a frame of " + std::to_string(length) +
                         " bytes; allowed is 1 to " +
                         std::to_string(kMaxFrameBytes));
  }
  return length;
}

state::Result<Message>
Decode(std::span<const std::uint8_t> aFrame, std::string_view aPeer)
{
  const auto refuse = [&](std::string_view aWhy) {
    return state::Fail(
      state::ErrorCode::kProtocol, "frame.decode", aPeer, aWhy);
  };
  flatbuffers::Verifier verifier(aFrame.data(), aFrame.size());
  if (!verifier.VerifySizePrefixedBuffer<wire::Frame>(nullptr)) {
    return refuse("the frame is malformed");
  }
  const auto* frame =
    flatbuffers::GetSizePrefixedRoot<wire::Frame>(aFrame.data());
  if (frame->body() == nullptr) {
    return refuse("the frame has no body");
  }
  switch (frame->body_type()) {
    case wire::Body::Challenge:
      return Unpack(*frame->body_as_Challenge());
    case wire::Body::Hello:
      return Unpack(*frame->body_as_Hello());
    case wire::Body::Welcome:
      return Unpack(*frame->body_as_Welcome());
    case wire::Body::Probe:
      return Unpack(*frame->body_as_Probe());
    case wire::Body::ProbeReply:
      return Unpack(*frame->body_as_ProbeReply());
    case wire::Body::Submit:
      return Unpack(*frame->body_as_Submit());
    case wire::Body::Started:
      return Unpack(*frame->body_as_Started());
    case wire::Body::Tokens:
      return Unpack(*frame->body_as_Tokens());
    case wire::Body::Finished:
      return Unpack(*frame->body_as_Finished());
    case wire::Body::Refused:
      return Unpack(*frame->body_as_Refused());
    case wire::Body::Failed:
      return Unpack(*frame->body_as_Failed());
    case wire::Body::Cancel:
      return Unpack(*frame->body_as_Cancel());
    case wire::Body::Credit:
      return Unpack(*frame->body_as_Credit());
    case wire::Body::Leaving:
      return Unpack(*frame->body_as_Leaving());
    case wire::Body::SnapshotRequest:
      return Unpack(*frame->body_as_SnapshotRequest());
    case wire::Body::SnapshotReply:
      return Unpack(*frame->body_as_SnapshotReply());
    case wire::Body::EngineNews:
      return Unpack(*frame->body_as_EngineNews());
    case wire::Body::NONE:
      break;
  }
  return refuse("the frame is of an unknown kind");
}

std::string_view
MessageName(const Message& aMessage)
{
  return kMessageNames[aMessage.index()];
}

std::string
ConnectorProof(std::string_view aSecret,
               const Challenge& aChallenge,
               const Hello& aHello)
{
  return state::HmacSha256Hex(aSecret,
                              ProofText("connect", aChallenge, aHello));
}

std::string
AcceptorProof(std::string_view aSecret,
              const Challenge& aChallenge,
              const Hello& aHello)
{
  return state::HmacSha256Hex(aSecret, ProofText("accept", aChallenge, aHello));
}

} // namespace shuntjunction::protocol
