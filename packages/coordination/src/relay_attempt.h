#pragma once

// Private to coordination: the state of one attempt of a request.

#include <memory>
#include <string>

#include "relay_run.h"
#include "shuntjunction/state/event_splitter.h"
#include "shuntjunction/state/json_text_checker.h"
#include "shuntjunction/state/unusable_input.h"

namespace shuntjunction::coordination {

/// A request that is being written to an endpoint.
struct OutgoingRequest
{
  std::string mHead;
  std::shared_ptr<transport::RelayRequest> mRequest;
  bool mIsDone = false;
};

/// One attempt at one endpoint.
struct RelayRun::Attempt
{
  EndpointChoice mEndpointChoice;
  EndpointConnection mConnection;
  std::string mSoftwareVersion; ///< of the endpoint, when it was sent
  std::shared_ptr<OutgoingRequest> mOutgoing;
  std::unique_ptr<transport::RelayResponseReader> mAnswer;
  AnswerInfo mAnswerInfo;
  std::optional<HeldPermit> mPermit; ///< the permit that it used
  /// Set while the endpoint has not answered.
  std::optional<state::SendClearance> mClearance;
  /// Of a repeat, until the endpoint shows that it arrived; else null.
  state::RetryChargePtr mRetryCharge;
  bool mHasArrived = false; ///< the endpoint has sent bytes
  bool mIsHeadEvaluated = false;
  bool mIsForeign = false; ///< the answer belongs to another request
  /// Body that was received and not yet forwarded; of a stream, whole events.
  std::string mBufferedBody;
  std::optional<state::EventSplitter> mEvents; ///< set for a stream of events
  /// Set for a JSON body whose end only its connection marks.
  std::unique_ptr<state::JsonTextChecker> mJson;
  bool mIsForeignSkipped = false;   ///< an answer to another request came first
  state::UnusableInput mForeign;    ///< answers to other requests
  state::UnusableInput mIncomplete; ///< a head, chunk size or trailer
  std::size_t mParsedBytes = 0;     ///< by the last step
  std::size_t mUnparsedBytes = 0;   ///< left in the buffer by that step
  bool mIsStreamed = false;         ///< forwarded as it arrives
  bool mHasBegun = false;
  bool mIsUnsettled = false; ///< its request may arrive after the attempt
  state::TimePoint mMaySuspendAt;
};

/// An attempt whose endpoint is silent, or that was withdrawn, while the answer
/// of another is awaited.
struct RelayRun::SuspendedAttempt
{
  std::unique_ptr<Attempt> mAttempt;
  AttemptOutcome mOutcome = AttemptOutcome::kSilent; ///< if it is not resumed
  AttemptRecord mRecord;
  std::unique_ptr<StreamCopy> mCopy; ///< of its run
  std::size_t mBuffered = 0; ///< bytes that were unread when it was suspended

  /// Whether its endpoint has sent bytes since.
  bool HasRevived() const
  {
    return mAttempt->mConnection.mReader->Buffered().size() != mBuffered;
  }
};

} // namespace shuntjunction::coordination
