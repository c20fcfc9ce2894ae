#pragma once

// Private to coordination: what one attempt of a request keeps.

#include <memory>
#include <string>

#include "relay_run.h"

namespace shuntjunction::coordination {

/// Bytes of a request on their way to an endpoint.
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
  std::unique_ptr<transport::RelayAnswerReader> mAnswer;
  AnswerInfo mAnswerInfo;
  std::optional<HeldPermit> mPlace; ///< that it used
  /// While the endpoint has not answered.
  std::optional<state::SendClearance> mClearance;
  bool mIsHeadEvaluated = false;
  bool mIsForeign = false;        ///< the answer is to another request
  std::string mHeld;              ///< body that waits until the answer is whole
  bool mIsForeignSkipped = false; ///< an answer to another request came first
  bool mIsStreamed = false;       ///< passed on as it comes
  bool mHasBegun = false;
};

} // namespace shuntjunction::coordination
