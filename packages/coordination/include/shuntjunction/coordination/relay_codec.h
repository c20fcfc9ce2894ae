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
#include "shuntjunction/transport/relay_message.h"

/// How requests, answers and objects of a platform are spelled.
///
/// An adapter implements these; nothing else knows the names.
namespace shuntjunction::coordination {

/// What a caller's request says of itself.
struct CallInfo
{
  std::string mRequestId;
  std::optional<state::Millis> mDeadline; ///< from its arrival
  std::string mModel;                     ///< empty for a plain service
  std::vector<state::PromptPart> mParts;  ///< outermost first; last: its own
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxNewTokens = 0;

  /// Id of the last part that other requests may share; empty: none.
  std::string_view LastSharedPart() const;

  /// Tokens of all parts but the request's own.
  std::int64_t SharedTokens() const;
};

/// What the relay adds when it hands a request over to an endpoint.
struct ForwardingInfo
{
  state::Millis mTimeLeft{ 0 };
  std::string mEndpointId; ///< any other endpoint must refuse the request
  std::string mTeam;       ///< empty: none
  std::optional<int> mUrgency;
  std::optional<std::uint64_t> mWeights; ///< version that it must have
  std::string mSalt;                     ///< separates cached parts
  std::string mPartSource;               ///< address to fetch cached parts from
  std::string mPartStore;                ///< address to save cached parts to
  std::string mResumeAfter; ///< id of the last event that was delivered
};

/// What an endpoint's answer says of itself.
struct AnswerInfo
{
  std::string mRequestId;  ///< that it answers
  bool mIsSigned = false;  ///< by the endpoint that made it
  bool mIsNotRun = false;  ///< the endpoint did not run the request
  bool mIsEncoded = false; ///< the body is not as the endpoint made it
  std::string mEndpointId; ///< of the endpoint that refused as not meant
  std::optional<std::uint64_t> mWeights;
  state::EndpointNotice mNotice;
};

/// Spelling of requests and answers.
///
/// Thread safety: const methods may be called from any thread.
class RelayCodec
{
public:
  virtual ~RelayCodec() = default;

  /// Reads a caller's request.
  virtual CallInfo ReadCall(const transport::RelayRequest& aRequest) const = 0;

  /// Whether a caller's field may reach an endpoint; false for those that only
  /// the relay sets.
  virtual bool MayForwardField(std::string_view aName) const = 0;

  /// Adds the relay's own fields to a header, each line ended.
  virtual void AppendForwardingFields(const ForwardingInfo& aHandOver,
                                      std::string& aHeader) const = 0;

  /// Adds the id of the request to the header of an answer of the relay's own.
  virtual void AppendRequestId(std::string_view aId,
                               std::string& aHeader) const = 0;

  /// Reads an endpoint's answer.
  virtual AnswerInfo ReadAnswer(
    const transport::RelayAnswer& aAnswer) const = 0;
};

/// That a request is quarantined, as the store holds it.
struct QuarantineEntry
{
  state::RequestDigest mRequest;
  std::int64_t mUntilMillis = 0; ///< Unix time
};

/// Spelling of objects in the platform's store.
///
/// Thread safety: const methods may be called from any thread.
/// Errors: kInvalidArgument with object, field, what was found and allowed.
class StoreCodec
{
public:
  virtual ~StoreCodec() = default;

  /// Prefix of the configuration's objects.
  virtual std::string ConfigPrefix() const = 0;
  /// Prefix of the endpoints' entries.
  virtual std::string EndpointPrefix() const = 0;
  /// Prefix of the named weights.
  virtual std::string WeightsPrefix() const = 0;
  /// Prefix of the requests that are quarantined, each named by its digest.
  virtual std::string QuarantinePrefix() const = 0;
  /// Prefix of what this system writes of its own processes.
  virtual std::string ProcessPrefix() const = 0;

  /// Whether an object holds the configuration in force.
  virtual bool IsConfig(std::string_view aKey) const = 0;

  /// Reads a configuration.
  virtual state::Result<state::RelayRules> ReadRules(
    std::string_view aText) const = 0;

  /// Reads an endpoint's entry; its id is the last part of its key.
  virtual state::Result<state::EndpointInfo> ReadEndpoint(
    std::string_view aKey,
    std::string_view aText) const = 0;

  /// Reads the weights that were named for a model.
  virtual state::Result<state::LatestWeights> ReadWeights(
    std::string_view aKey,
    std::string_view aText) const = 0;

  /// The object that says until when a request is quarantined, in Unix ms.
  virtual std::string WriteQuarantine(std::int64_t aUntilMillis) const = 0;

  /// Reads such an object; the last part of its key is the request's digest.
  virtual state::Result<QuarantineEntry> ReadQuarantine(
    std::string_view aKey,
    std::string_view aText) const = 0;
};

} // namespace shuntjunction::coordination
