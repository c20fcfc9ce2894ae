#pragma once

// Private to coordination: the state of one attempt of a request.

#include <memory>
#include <string>

#include "relay_run.h"
#include "shuntjunction/state/event_splitter.h"
#include "shuntjunction/state/json_text_checker.h"

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
  bool mIsForeignSkipped = false; ///< an answer to another request came first
  bool mIsStreamed = false;       ///< forwarded as it arrives
  bool mHasBegun = false;
};

} // namespace shuntjunction::coordination
