#include <algorithm>

#include "codec_bodies.h"

namespace shuntjunction::protocol {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

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

// One overload of Pack per message type.

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
                           aMessage.mServedNameHash,
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
  const auto serves = aBuilder.CreateString(aMessage.mServedName);
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
  submit.add_once(aMessage.mIsAtMostOnce);
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
           aBuilder, aMessage.mKnownVersion, aMessage.mKnownInstances)
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

flatbuffers::Offset<flatbuffers::Vector<std::uint32_t>>
PackWaiting(FlatBufferBuilder& aBuilder, const state::WaitingTokens& aWaiting)
{
  if (aWaiting.Total() == 0) {
    return 0;
  }
  const auto& levels = aWaiting.ByLevel();
  const std::vector<std::uint32_t> tokens(levels.begin(), levels.end());
  return aBuilder.CreateVector(tokens);
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const EngineNews& aMessage)
{
  const auto endpoint = aBuilder.CreateString(aMessage.mEndpoint);
  const auto model = aBuilder.CreateString(aMessage.mModel);
  const auto gained = aBuilder.CreateVectorOfStrings(aMessage.mAddedParts);
  const auto lost = aBuilder.CreateVectorOfStrings(aMessage.mRemovedParts);
  const auto waiting = PackWaiting(aBuilder, aMessage.mWaiting);
  return wire::CreateEngineNews(aBuilder,
                                endpoint,
                                model,
                                aMessage.mWeights,
                                static_cast<std::uint8_t>(aMessage.mPhase),
                                aMessage.mRunning,
                                aMessage.mQueued,
                                aMessage.mIsFullSnapshot,
                                gained,
                                lost,
                                waiting,
                                aMessage.mRelayCount,
                                aMessage.mEndpointIncarnation.StartedAt())
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const PartReading& aMessage)
{
  const auto part = aBuilder.CreateString(aMessage.mPart);
  const auto endpoint = aBuilder.CreateString(aMessage.mEndpoint);
  return wire::CreatePartReading(aBuilder, part, aMessage.mIsDone, endpoint)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const RelayWaiting& aMessage)
{
  const auto waiting = PackWaiting(aBuilder, aMessage.mWaiting);
  const auto part = aBuilder.CreateString(aMessage.mPart);
  return wire::CreateRelayWaiting(aBuilder, waiting, part).Union();
}

/// A duration as a wire field, clamped to the range of the field.
std::uint32_t
ToWireMillis(state::Millis aTime)
{
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(aTime.count(), 0, UINT32_MAX));
}

Offset<wire::PartCrashReport>
PackPartCrash(FlatBufferBuilder& aBuilder, const PartCrashUpdate& aUpdate)
{
  const auto& crash = aUpdate.mReport.mCrash;
  std::vector<Offset<flatbuffers::String>> parts;
  for (const auto& part : crash.mParts) {
    if (parts.size() < kMaxPartsInReport) {
      parts.push_back(aBuilder.CreateString(part.Text()));
    }
  }
  return wire::CreatePartCrashReport(aBuilder,
                                     aBuilder.CreateVector(parts),
                                     crash.mTeam,
                                     crash.mEndpoint,
                                     ToWireMillis(aUpdate.mReport.mAge),
                                     crash.mIsTrial,
                                     aUpdate.mIsCleared);
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const CrashReports& aMessage)
{
  std::vector<Offset<wire::CrashReport>> reports;
  reports.reserve(aMessage.mUpdates.size());
  for (const auto& update : aMessage.mUpdates) {
    const auto& report = update.mReport.mReport;
    const auto request = aBuilder.CreateString(report.mRequest.Text());
    reports.push_back(wire::CreateCrashReport(aBuilder,
                                              request,
                                              report.mEndpoint,
                                              ToWireMillis(update.mReport.mAge),
                                              update.mIsCleared));
  }
  std::vector<Offset<wire::PartCrashReport>> parts;
  parts.reserve(aMessage.mParts.size());
  for (const auto& update : aMessage.mParts) {
    parts.push_back(PackPartCrash(aBuilder, update));
  }
  return wire::CreateCrashReports(aBuilder,
                                  aBuilder.CreateVector(reports),
                                  aBuilder.CreateVector(parts))
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const LimitAsk& aMessage)
{
  const auto& requested = aMessage.mRequested;
  return wire::CreateLimitAsk(aBuilder,
                              aMessage.mId,
                              requested.mKey.mLimit,
                              requested.mKey.mShare,
                              requested.mAmount,
                              static_cast<float>(requested.mLimit.mPerSecond),
                              static_cast<float>(requested.mLimit.mBurst),
                              requested.mVersion)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const LimitGrant& aMessage)
{
  return wire::CreateLimitGrant(aBuilder,
                                aMessage.mId,
                                aMessage.mGrant.mAmount,
                                ToWireMillis(aMessage.mGrant.mRefill))
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const LimitReturn& aMessage)
{
  return wire::CreateLimitReturn(aBuilder,
                                 aMessage.mKey.mLimit,
                                 aMessage.mKey.mShare,
                                 aMessage.mAmount)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const RateReport& aMessage)
{
  const auto& report = aMessage.mReport;
  return wire::CreateRateReport(aBuilder,
                                report.mEndpoint.mHash,
                                report.mEndpoint.mIsOnSameHost,
                                report.mRate.mNotice ==
                                  state::RateNotice::kAdvertised,
                                report.mRate.mPerSecond,
                                report.mRateVersion)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const RateNews& aMessage)
{
  const auto& news = aMessage.mNews;
  return wire::CreateRateNews(aBuilder,
                              news.mEndpoint,
                              news.mPerSecond.has_value(),
                              news.mPerSecond.value_or(0))
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const PlaceAsk& aMessage)
{
  const auto& requested = aMessage.mRequested;
  return wire::CreatePlaceAsk(aBuilder,
                              aMessage.mId,
                              requested.mEndpoint.mHash,
                              requested.mEndpoint.mIsOnSameHost,
                              requested.mPerSecond,
                              requested.mIsUrgent)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const PlaceGrant& aMessage)
{
  const auto& grant = aMessage.mGrant;
  return wire::CreatePlaceGrant(aBuilder,
                                aMessage.mId,
                                grant.mIsGranted,
                                grant.mRateVersion,
                                ToWireMillis(grant.mRefill))
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const PlaceReturn& aMessage)
{
  return wire::CreatePlaceReturn(aBuilder, aMessage.mEndpoint).Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const RolloutReport& aMessage)
{
  const auto& report = aMessage.mReport;
  std::vector<Offset<wire::RolloutOutcomes>> rows;
  rows.reserve(report.mOutcomes.size());
  for (const auto& [key, outcomes] : report.mOutcomes) {
    const auto latency =
      aBuilder.CreateVector(outcomes.mLatency.data(), outcomes.mLatency.size());
    rows.push_back(wire::CreateRolloutOutcomes(aBuilder,
                                               key.mRoute,
                                               key.mIsTarget,
                                               key.mEndpoint,
                                               outcomes.mRequests,
                                               outcomes.mFailed,
                                               latency));
  }
  const auto service = aBuilder.CreateString(report.mService);
  const auto relay = aBuilder.CreateString(report.mRelay);
  return wire::CreateRolloutReport(aBuilder,
                                   service,
                                   report.mOrderId,
                                   relay,
                                   report.mRelayStart,
                                   report.mStep,
                                   report.mSent,
                                   report.mExposed,
                                   report.mOldRunning,
                                   aBuilder.CreateVector(rows))
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const RolloutNotice& aMessage)
{
  const auto& notice = aMessage.mNotice;
  const auto service = aBuilder.CreateString(notice.mService);
  return wire::CreateRolloutNotice(aBuilder,
                                   service,
                                   notice.mOrderId,
                                   static_cast<std::uint8_t>(notice.mState),
                                   notice.mStep,
                                   notice.mShare)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const StreamRecord& aMessage)
{
  const auto& record = aMessage.mRecord;
  const auto version = aBuilder.CreateString(record.mVersion);
  return wire::CreateStreamRecord(aBuilder,
                                  aMessage.mId,
                                  record.mStream,
                                  version,
                                  ToWireMillis(record.mLifetime))
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const StreamQuery& aMessage)
{
  const auto service = aBuilder.CreateString(aMessage.mService);
  return wire::CreateStreamQuery(aBuilder,
                                 aMessage.mId,
                                 aMessage.mStream,
                                 service,
                                 ToWireMillis(aMessage.mLifetime))
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const StreamReply& aMessage)
{
  const auto& reply = aMessage.mReply;
  const auto version = aBuilder.CreateString(reply.mLookup.mVersion);
  const auto only = aBuilder.CreateString(reply.mOnlyVersion.value_or(""));
  return wire::CreateStreamReply(
           aBuilder,
           aMessage.mId,
           static_cast<std::uint8_t>(reply.mLookup.mKnowledge),
           version,
           reply.mOnlyVersion.has_value(),
           only,
           reply.mIsHistoryKnown)
    .Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const WeightsQuery& aMessage)
{
  const auto model = aBuilder.CreateString(aMessage.mModel);
  return wire::CreateWeightsQuery(aBuilder, aMessage.mId, model).Union();
}

Offset<void>
Pack(FlatBufferBuilder& aBuilder, const WeightsReply& aMessage)
{
  std::vector<Offset<wire::WeightsConfirmation>> confirmations;
  confirmations.reserve(aMessage.mConfirmations.size());
  for (const auto& confirmation : aMessage.mConfirmations) {
    confirmations.push_back(wire::CreateWeightsConfirmation(
      aBuilder, confirmation.mVersion, ToWireMillis(confirmation.mAge)));
  }
  return wire::CreateWeightsReply(
           aBuilder, aMessage.mId, aBuilder.CreateVector(confirmations))
    .Union();
}

} // namespace

Offset<void>
PackBody(FlatBufferBuilder& aBuilder, const Message& aMessage)
{
  return std::visit([&](const auto& aTyped) { return Pack(aBuilder, aTyped); },
                    aMessage);
}

} // namespace shuntjunction::protocol
