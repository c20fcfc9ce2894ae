#pragma once

// Private to the coordination package.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "answer_sink.h"
#include "shuntjunction/coordination/router.h"
#include "shuntjunction/state/request_lifecycle.h"
#include "shuntjunction/state/stream_gate.h"

namespace shuntjunction::coordination {

/// One request of a caller, from its arrival to its answer.
class RequestRun
{
public:
  /// @param aRouter, aExchange  outlive the run
  RequestRun(Router& aRouter, transport::HttpExchange& aExchange);

  /// Answers a chat or text completion.
  transport::Task<void> RunModelCall(state::RequestKind aKind);

  /// Answers a call of a plain service: "NAME/path?query".
  transport::Task<void> RunServiceCall(std::string_view aPath);

  /// Answers with the models that the team may use.
  transport::Task<void> RunModelList();

  /// Answers a request with an unknown path.
  transport::Task<void> RunUnknownPath();

private:
  /// Effect of an event on the open attempt.
  enum class AttemptOutcome : std::uint8_t
  {
    kContinues,
    kEnded,
  };

  std::optional<ApiError> Admit();
  std::optional<ApiError> ReadFields();
  transport::Task<void> Serve();
  transport::Task<void> TryOnce(state::EndpointHandle aHandle);
  transport::Task<AttemptOutcome> HandleMessage(PeerLink& aLink,
                                                protocol::StreamId aId,
                                                protocol::Message aMessage);
  transport::Task<AttemptOutcome> HandleTokens(PeerLink& aLink,
                                               protocol::StreamId aId,
                                               protocol::Tokens aTokens);
  transport::Task<AttemptOutcome> HandleFinished(protocol::Finished aFinished);
  void HandleStarted(const protocol::Started& aStarted);
  void HandleRefused(const protocol::Refused& aRefused);
  void HandleFailed(const protocol::Failed& aFailed);
  protocol::Submit MakeSubmit(protocol::StreamId aId) const;
  state::TimePoint EventDeadline() const;
  transport::Task<bool> ReconsiderExcluded();
  ApiError FinalError() const;
  ApiError SettledError(state::RunState aRunState) const;
  void CountOutcome();
  void ExcludeEndpoint();

  Router& mRouter;
  transport::HttpExchange& mExchange;
  std::string mRequestId;
  const state::TeamConfig* mTeam = nullptr;
  PublishedConfig mConfig; ///< keeps mTeam alive
  std::unique_ptr<AnswerSink> mSink;
  protocol::Submit mSubmit;
  state::PrefixChain mChain;
  state::ChoiceQuery mQuery;
  std::unique_ptr<state::RequestLifecycle> mLifecycle;
  state::StreamGate mGate;
  bool mIsNotRepeatable = false;
  bool mIsCallerGone = false;
  bool mIsDeadlineExceeded = false;
  bool mIsOutOfRetries = false;
  state::TimePoint mArrived;
  state::TimePoint mDeadline;
  state::TimePoint mLastToken;
  std::int64_t mAttempts = 0;
  state::EndpointHandle mEndpoint;
  std::vector<state::EndpointHandle> mExcluded;
  std::shared_ptr<AttemptMailbox> mMailbox;
  std::string mText; ///< delivered so far, to resume from
  bool mHasFirstToken = false;
  bool mIsStarted = false;    ///< in the open attempt
  bool mWasRefused = false;   ///< the last attempt was refused
  std::uint32_t mWeights = 0; ///< of the first answer; 0 until known
  std::uint32_t mRetryAfterMs = 0;
  std::optional<state::RunState> mSettledState;
  /// Why the last attempt failed.
  std::string mLastError = "no endpoint serves it";
};

} // namespace shuntjunction::coordination
