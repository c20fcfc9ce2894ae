#pragma once

// Private to coordination: the state of one attempt of a request.

#include <memory>
#include <string>

#include "relay_run.h"

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
  std::shared_ptr<OutgoingRequest> mOutgoing;
  std::unique_ptr<transport::RelayResponseReader> mAnswer;
  AnswerInfo mAnswerInfo;
  std::optional<HeldPermit> mPermit; ///< the permit that it used
  /// Set while the endpoint has not answered.
  std::optional<state::SendClearance> mClearance;
  bool mIsHeadEvaluated = false;
  bool mIsForeign = false; ///< the answer belongs to another request
  /// Body that is buffered until the answer is complete.
  std::string mBufferedBody;
  bool mIsForeignSkipped = false; ///< an answer to another request came first
  bool mIsStreamed = false;       ///< forwarded as it arrives
  bool mHasBegun = false;
};

} // namespace shuntjunction::coordination
