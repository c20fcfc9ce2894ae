#include <algorithm>
#include <cmath>

#include "codec_bodies.h"

namespace shuntjunction::protocol {

namespace {

using flatbuffers::Offset;

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

/// Converts a wire value to an enumerator, or to aFallback when out of range.
template<typename Enum, std::size_t Count>
Enum
EnumOf(std::uint8_t aValue,
       const state::EnumNames<Enum, Count>& /*aNames*/,
       Enum aFallback)
{
  return aValue < Count ? static_cast<Enum>(aValue) : aFallback;
}

// One overload of Unpack per message type.

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
  submit.mServedName = TextOf(aWire.serves());
  submit.mKind = EnumOf(
    aWire.kind(), state::kRequestKindNames, state::RequestKind::kService);
  submit.mPriority = PriorityOf(aWire.priority());
  submit.mWeightsVersion = aWire.weights_version();
  submit.mDeadlineMs = aWire.deadline_ms();
  submit.mIsAtMostOnce = aWire.once();
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

/// Levels missing in the message are zero; levels unknown here are ignored.
state::WaitingTokens
WaitingOf(const flatbuffers::Vector<std::uint32_t>* aWire)
{
  state::WaitingTokens::Levels levels{};
  if (aWire != nullptr) {
    const auto count = std::min<std::size_t>(aWire->size(), levels.size());
    std::copy_n(aWire->begin(), count, levels.begin());
  }
  return state::WaitingTokens(levels);
}

EngineNews
Unpack(const wire::EngineNews& aWire)
{
  // An unknown phase, added by a newer peer, counts as one without new work.
  const auto phase =
    EnumOf(aWire.phase(), kEnginePhaseNames, EnginePhase::kDown);
  return {
    TextOf(aWire.endpoint()), TextOf(aWire.model()),
    aWire.weights(),          phase,
    aWire.running(),          aWire.queued(),
    aWire.is_whole(),         TextsOf(aWire.gained()),
    TextsOf(aWire.lost()),    WaitingOf(aWire.waiting()),
    aWire.relays(),           state::EndpointIncarnation(aWire.started_at())
  };
}

PartReading
Unpack(const wire::PartReading& aWire)
{
  return { TextOf(aWire.part()), aWire.is_done(), TextOf(aWire.endpoint()) };
}

RelayWaiting
Unpack(const wire::RelayWaiting& aWire)
{
  return { WaitingOf(aWire.waiting()), TextOf(aWire.part()) };
}

/// Skips reports without a valid request digest.
std::optional<PartCrashUpdate>
UnpackPartCrash(const wire::PartCrashReport& aWire)
{
  PartCrashUpdate update;
  auto& crash = update.mReport.mCrash;
  if (aWire.parts() == nullptr) {
    return std::nullopt;
  }
  for (const auto* part : *aWire.parts()) {
    auto digest = state::RequestDigest::Parse(TextOf(part));
    if (digest && crash.mParts.size() < kMaxPartsInReport) {
      crash.mParts.push_back(std::move(*digest));
    }
  }
  if (crash.mParts.empty()) {
    return std::nullopt;
  }
  crash.mTeam = aWire.team();
  crash.mEndpoint = aWire.endpoint();
  crash.mIsTrial = aWire.is_trial();
  update.mReport.mAge = state::Millis(aWire.age_ms());
  update.mIsCleared = aWire.is_cleared();
  return update;
}

CrashReports
Unpack(const wire::CrashReports& aWire)
{
  CrashReports message;
  if (aWire.reports() != nullptr) {
    for (const auto* report : *aWire.reports()) {
      auto request = state::RequestDigest::Parse(TextOf(report->request()));
      if (request) {
        message.mUpdates.push_back(
          { { { std::move(*request), report->endpoint() },
              state::Millis(report->age_ms()) },
            report->is_cleared() });
      }
    }
  }
  if (aWire.parts() != nullptr) {
    for (const auto* report : *aWire.parts()) {
      if (auto update = UnpackPartCrash(*report)) {
        message.mParts.push_back(std::move(*update));
      }
    }
  }
  return message;
}

/// Clamps a number of a limit or rate to a sane range; NaN and infinity give 0.
double
SanitizeRate(double aNumber)
{
  constexpr double kMax = 1e12;
  return std::isfinite(aNumber) ? std::clamp(aNumber, 0.0, kMax) : 0.0;
}

LimitAsk
Unpack(const wire::LimitAsk& aWire)
{
  return { aWire.id(),
           { { aWire.team(), aWire.share() },
             { SanitizeRate(aWire.per_second()), SanitizeRate(aWire.burst()) },
             aWire.version(),
             aWire.amount() } };
}

LimitGrant
Unpack(const wire::LimitGrant& aWire)
{
  return { aWire.id(), { aWire.amount(), state::Millis(aWire.refill_ms()) } };
}

LimitReturn
Unpack(const wire::LimitReturn& aWire)
{
  return { { aWire.team(), aWire.share() }, aWire.amount() };
}

RateReport
Unpack(const wire::RateReport& aWire)
{
  const auto notice = aWire.is_named() ? state::RateNotice::kAdvertised
                                       : state::RateNotice::kAbsent;
  return { { { aWire.endpoint(), aWire.is_beside() },
             { notice, SanitizeRate(aWire.per_second()) },
             aWire.edition() } };
}

RateNews
Unpack(const wire::RateNews& aWire)
{
  state::RateNews news{ aWire.endpoint(), std::nullopt };
  if (aWire.is_named()) {
    news.mPerSecond = SanitizeRate(aWire.per_second());
  }
  return { news };
}

PlaceAsk
Unpack(const wire::PlaceAsk& aWire)
{
  return { aWire.id(),
           { { aWire.endpoint(), aWire.is_beside() },
             SanitizeRate(aWire.per_second()),
             aWire.is_urgent() } };
}

PlaceGrant
Unpack(const wire::PlaceGrant& aWire)
{
  return {
    aWire.id(),
    { aWire.is_given(), aWire.edition(), state::Millis(aWire.refill_ms()) }
  };
}

PlaceReturn
Unpack(const wire::PlaceReturn& aWire)
{
  return { aWire.endpoint() };
}

RolloutReport
Unpack(const wire::RolloutReport& aWire)
{
  state::RolloutReport report;
  report.mService = TextOf(aWire.service());
  report.mOrderId = aWire.order();
  report.mRelay = TextOf(aWire.relay());
  report.mRelayStart = aWire.relay_start();
  report.mStep = aWire.step();
  report.mSent = aWire.sent();
  report.mExposed = aWire.exposed();
  report.mOldRunning = aWire.old_running();
  if (aWire.outcomes() != nullptr) {
    for (const auto* row : *aWire.outcomes()) {
      auto& outcomes =
        report.mOutcomes[{ row->route(), row->is_target(), row->endpoint() }];
      outcomes.mRequests = row->requests();
      outcomes.mFailed = row->failed();
      const auto* latency = row->latency();
      const std::size_t buckets =
        latency == nullptr
          ? 0
          : std::min<std::size_t>(latency->size(), outcomes.mLatency.size());
      for (std::size_t i = 0; i < buckets; ++i) {
        outcomes.mLatency[i] = latency->Get(static_cast<unsigned>(i));
      }
    }
  }
  return { std::move(report) };
}

/// Reads a state; an unknown one is the safest, kRolledBack.
state::RolloutState
ReadRolloutState(std::uint8_t aNumber)
{
  return aNumber < state::kRolloutStateNames.Size()
           ? static_cast<state::RolloutState>(aNumber)
           : state::RolloutState::kRolledBack;
}

RolloutNotice
Unpack(const wire::RolloutNotice& aWire)
{
  const double share =
    std::isfinite(aWire.share()) ? std::clamp(aWire.share(), 0.0, 1.0) : 0.0;
  return { { TextOf(aWire.service()),
             aWire.order(),
             ReadRolloutState(aWire.state()),
             aWire.step(),
             share } };
}

StreamRecord
Unpack(const wire::StreamRecord& aWire)
{
  return { aWire.id(),
           { aWire.stream(),
             TextOf(aWire.version()),
             state::Millis(aWire.lifetime_ms()) } };
}

StreamQuery
Unpack(const wire::StreamQuery& aWire)
{
  return { aWire.id(),
           aWire.stream(),
           TextOf(aWire.service()),
           state::Millis(aWire.lifetime_ms()) };
}

/// Reads what is known of a stream; anything else is not known.
state::StreamKnowledge
ReadStreamKnowledge(std::uint8_t aNumber)
{
  return aNumber < state::kStreamKnowledgeNames.Size()
           ? static_cast<state::StreamKnowledge>(aNumber)
           : state::StreamKnowledge::kUnknown;
}

StreamReply
Unpack(const wire::StreamReply& aWire)
{
  StreamReply reply;
  reply.mId = aWire.id();
  reply.mReply.mLookup = { ReadStreamKnowledge(aWire.knowledge()),
                           TextOf(aWire.version()) };
  if (aWire.has_only()) {
    reply.mReply.mOnlyVersion = TextOf(aWire.only_version());
  }
  reply.mReply.mIsHistoryKnown = aWire.is_history_known();
  return reply;
}

WeightsQuery
Unpack(const wire::WeightsQuery& aWire)
{
  return { aWire.id(), TextOf(aWire.model()) };
}

WeightsReply
Unpack(const wire::WeightsReply& aWire)
{
  WeightsReply reply;
  reply.mId = aWire.id();
  if (const auto* confirmations = aWire.confirmations()) {
    reply.mConfirmations.reserve(confirmations->size());
    for (const auto* confirmation : *confirmations) {
      reply.mConfirmations.push_back(
        { confirmation->version(), state::Millis(confirmation->age_ms()) });
    }
  }
  return reply;
}

} // namespace

std::optional<Message>
UnpackBody(const wire::Frame& aFrame)
{
  switch (aFrame.body_type()) {
    case wire::Body::Challenge:
      return Unpack(*aFrame.body_as_Challenge());
    case wire::Body::Hello:
      return Unpack(*aFrame.body_as_Hello());
    case wire::Body::Welcome:
      return Unpack(*aFrame.body_as_Welcome());
    case wire::Body::Probe:
      return Unpack(*aFrame.body_as_Probe());
    case wire::Body::ProbeReply:
      return Unpack(*aFrame.body_as_ProbeReply());
    case wire::Body::Submit:
      return Unpack(*aFrame.body_as_Submit());
    case wire::Body::Started:
      return Unpack(*aFrame.body_as_Started());
    case wire::Body::Tokens:
      return Unpack(*aFrame.body_as_Tokens());
    case wire::Body::Finished:
      return Unpack(*aFrame.body_as_Finished());
    case wire::Body::Refused:
      return Unpack(*aFrame.body_as_Refused());
    case wire::Body::Failed:
      return Unpack(*aFrame.body_as_Failed());
    case wire::Body::Cancel:
      return Unpack(*aFrame.body_as_Cancel());
    case wire::Body::Credit:
      return Unpack(*aFrame.body_as_Credit());
    case wire::Body::Leaving:
      return Unpack(*aFrame.body_as_Leaving());
    case wire::Body::SnapshotRequest:
      return Unpack(*aFrame.body_as_SnapshotRequest());
    case wire::Body::SnapshotReply:
      return Unpack(*aFrame.body_as_SnapshotReply());
    case wire::Body::EngineNews:
      return Unpack(*aFrame.body_as_EngineNews());
    case wire::Body::PartReading:
      return Unpack(*aFrame.body_as_PartReading());
    case wire::Body::RelayWaiting:
      return Unpack(*aFrame.body_as_RelayWaiting());
    case wire::Body::CrashReports:
      return Unpack(*aFrame.body_as_CrashReports());
    case wire::Body::LimitAsk:
      return Unpack(*aFrame.body_as_LimitAsk());
    case wire::Body::LimitGrant:
      return Unpack(*aFrame.body_as_LimitGrant());
    case wire::Body::LimitReturn:
      return Unpack(*aFrame.body_as_LimitReturn());
    case wire::Body::RateReport:
      return Unpack(*aFrame.body_as_RateReport());
    case wire::Body::RateNews:
      return Unpack(*aFrame.body_as_RateNews());
    case wire::Body::PlaceAsk:
      return Unpack(*aFrame.body_as_PlaceAsk());
    case wire::Body::PlaceGrant:
      return Unpack(*aFrame.body_as_PlaceGrant());
    case wire::Body::PlaceReturn:
      return Unpack(*aFrame.body_as_PlaceReturn());
    case wire::Body::RolloutReport:
      return Unpack(*aFrame.body_as_RolloutReport());
    case wire::Body::RolloutNotice:
      return Unpack(*aFrame.body_as_RolloutNotice());
    case wire::Body::StreamRecord:
      return Unpack(*aFrame.body_as_StreamRecord());
    case wire::Body::StreamQuery:
      return Unpack(*aFrame.body_as_StreamQuery());
    case wire::Body::StreamReply:
      return Unpack(*aFrame.body_as_StreamReply());
    case wire::Body::WeightsQuery:
      return Unpack(*aFrame.body_as_WeightsQuery());
    case wire::Body::WeightsReply:
      return Unpack(*aFrame.body_as_WeightsReply());
    case wire::Body::NONE:
      break;
  }
  return std::nullopt;
}

} // namespace shuntjunction::protocol
