#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/endpoint_notice.h"
#include "shuntjunction/state/relay_choice.h"
#include "shuntjunction/state/relay_config.h"
#include "shuntjunction/state/request_digest.h"
#include "shuntjunction/state/rollout/rollout.h"
#include "shuntjunction/state/streams/run_end.h"
#include "shuntjunction/state/streams/version_history.h"
#include "shuntjunction/transport/relay_message.h"

/// Encoding of a platform's requests, answers and objects.
///
/// An adapter implements these interfaces; no other code knows the names of
/// header fields and objects.
namespace shuntjunction::coordination {

/// Information read from a caller's request.
struct CallInfo
{
  std::string mRequestId;
  std::optional<state::Millis> mDeadline; ///< counted from arrival
  std::string mModel;                     ///< empty for a plain service
  /// Outermost first; the last is the request's own.
  std::vector<state::PromptPart> mParts;
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxNewTokens = 0;
  /// Id of the last event that the caller has of a stream which it resumes;
  /// empty: it takes none up.
  std::string mResumeAfter;
  /// Id of the request that brought the stream's first event; empty: not named.
  std::string mResumedRequestId;

  /// Id of the last part that other requests may share; empty if none.
  std::string_view LastSharedPart() const;

  /// Tokens of all parts except the request's own.
  std::int64_t SharedTokens() const;
};

/// Fields that the relay adds when it forwards a request to an endpoint.
struct ForwardingInfo
{
  std::string mRequestId;
  state::Millis mTimeLeft{ 0 };
  std::string mEndpointId; ///< any other endpoint must refuse the request
  std::string mTeam;       ///< empty: none
  std::optional<int> mUrgency;
  /// Version that the endpoint must have.
  std::optional<std::uint64_t> mWeights;
  std::string mSalt;        ///< separates cached parts
  std::string mPartSource;  ///< address to fetch cached parts from
  std::string mPartStore;   ///< address to save cached parts to
  std::string mResumeAfter; ///< id of the last event that was delivered
  /// Address of the engine to which the memory of the run is copied; empty: it
  /// is not copied.
  std::string mBackupAddress;
  /// Address of the engine with a copy of the run that is continued; empty: the
  /// request begins anew.
  std::string mContinueFrom;
};

/// Information read from an endpoint's answer.
struct AnswerInfo
{
  std::string mRequestId;  ///< id of the request that it answers
  bool mIsSigned = false;  ///< by the endpoint that made it
  bool mIsNotRun = false;  ///< the endpoint did not run the request
  bool mIsEncoded = false; ///< the body is not as the endpoint produced it
  /// Endpoint that refused because another was addressed.
  std::string mEndpointId;
  std::optional<std::uint64_t> mWeights;
  state::EndpointNotice mNotice;
};

/// Encodes and decodes requests and answers.
///
/// Thread safety: const methods may be called from any thread.
class RelayCodec
{
public:
  virtual ~RelayCodec() = default;

  /// Reads a caller's request.
  virtual CallInfo ReadCall(const transport::RelayRequest& aRequest) const = 0;

  /// Whether a caller's header field may reach an endpoint; false for those
  /// that only the relay sets.
  virtual bool MayForwardField(std::string_view aName) const = 0;

  /// Appends the relay's own fields to a header, each line terminated.
  virtual void AppendForwardingFields(const ForwardingInfo& aInfo,
                                      std::string& aHeader) const = 0;

  /// Appends the id of the request to the header of an answer that the relay
  /// itself gives.
  virtual void AppendRequestId(std::string_view aId,
                               std::string& aHeader) const = 0;

  /// Reads an endpoint's answer.
  virtual AnswerInfo ReadAnswer(
    const transport::RelayResponse& aAnswer) const = 0;

  /// Reads the latest version of weights that whole events of a stream name;
  /// empty if they name none.
  virtual std::optional<std::uint64_t> ReadEventWeights(
    std::string_view aEvents) const = 0;

  /// Text of the request that queries an endpoint for its runs.
  virtual std::string RunsQuery(const state::EndpointInfo& aEndpoint) const = 0;

  /// Reads the reply to it; kNone if it does not list the runs.
  virtual state::RunsReply ReadRunsReply(
    const transport::RelayResponse& aAnswer,
    std::string_view aBody) const = 0;
};

/// Quarantine of a request, as the store holds it.
struct QuarantineEntry
{
  state::RequestDigest mRequest;
  std::int64_t mUntilMillis = 0; ///< Unix time
};

/// Encodes and decodes objects in the platform's store.
///
/// Thread safety: const methods may be called from any thread.
/// Errors: kInvalidArgument with the object, the field, the value found and the
/// values allowed.
class StoreCodec
{
public:
  virtual ~StoreCodec() = default;

  /// Prefix of the configuration's objects.
  virtual std::string ConfigPrefix() const = 0;
  /// Prefix of the endpoints' entries.
  virtual std::string EndpointPrefix() const = 0;
  /// Prefix of the announced weights.
  virtual std::string WeightsPrefix() const = 0;
  /// Prefix of the quarantined requests, each named by its digest.
  virtual std::string QuarantinePrefix() const = 0;
  /// Prefix of the objects in which this system's processes report on
  /// themselves.
  virtual std::string ProcessPrefix() const = 0;

  /// Whether an object holds the active configuration.
  virtual bool IsConfig(std::string_view aKey) const = 0;

  /// Reads a configuration.
  virtual state::Result<state::RelayRules> ReadRules(
    std::string_view aText) const = 0;

  /// Reads an endpoint's entry; its id is the last segment of its key.
  virtual state::Result<state::EndpointInfo> ReadEndpoint(
    std::string_view aKey,
    std::string_view aText) const = 0;

  /// Reads the weights that were announced for a model.
  virtual state::Result<state::LatestWeights> ReadWeights(
    std::string_view aKey,
    std::string_view aText) const = 0;

  /// Prefix of the operators' orders of roll-outs, each named by its service.
  virtual std::string RolloutPrefix() const = 0;

  /// Reads an order and its status; the last segment of its key is the service.
  /// The times at which this process learned of it are not set.
  virtual state::Result<state::Rollout> ReadRollout(
    std::string_view aKey,
    std::string_view aText) const = 0;

  /// Encodes the status of an order.
  virtual std::string WriteRolloutStatus(
    const state::RolloutStatus& aStatus) const = 0;

  /// Prefix of the histories of software versions, each named by its service.
  virtual std::string VersionHistoryPrefix() const = 0;

  /// Encodes the history of a service.
  virtual std::string WriteVersionHistory(
    const state::VersionHistory& aHistory) const = 0;

  /// Reads the history of a service.
  virtual state::Result<state::VersionHistory> ReadVersionHistory(
    std::string_view aKey,
    std::string_view aText) const = 0;

  /// Encodes the object that states until when a request is quarantined, in
  /// Unix milliseconds.
  virtual std::string WriteQuarantine(std::int64_t aUntilMillis) const = 0;

  /// Reads such an object; the last segment of its key is the request's digest.
  virtual state::Result<QuarantineEntry> ReadQuarantine(
    std::string_view aKey,
    std::string_view aText) const = 0;
};

} // namespace shuntjunction::coordination
