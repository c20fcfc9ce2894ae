#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "shuntjunction/state/error.h"
#include "shuntjunction/transport/http_client.h"
#include "shuntjunction/transport/task.h"

/// Client of the router's chat API that verifies each answer.
namespace shuntjunction::standins {

/// Parameters of one chat completion request.
struct ModelCall
{
  std::string mRouter; ///< address of the router
  std::string mKey;    ///< bearer token
  std::string mModel;
  std::vector<std::string> mLevels; ///< prompt levels, outermost first
  std::uint32_t mTokens = 16;
  std::uint32_t mWeights = 1; ///< version whose answer is expected
  bool mIsStream = true;
  std::vector<transport::HttpField> mFields; ///< additional header fields
  state::Millis mTimeout{ 60000 };
  state::Millis mReadPause{ 0 }; ///< delay between reads, for a slow caller
};

/// How a call ended.
enum class CallEnd : std::uint8_t
{
  kComplete,     ///< complete answer with the expected text
  kWrong,        ///< complete answer with a different text
  kRefused,      ///< HTTP error status
  kIncomplete,   ///< status 200, but the answer ended early
  kNoConnection, ///< connection failed or closed before an answer
};

/// Names of CallEnd, as they are printed.
inline constexpr state::EnumNames<CallEnd, 5> kCallEndNames{
  { "whole", "wrong", "refused", "broken", "no-connection" }
};

/// Result of a call as the caller observed it.
struct CallOutcome
{
  CallEnd mEnd = CallEnd::kNoConnection;
  unsigned mStatus = 0;
  std::string mRunState; ///< value of the x-run-state header
  std::string mBody;     ///< body of an error response
  std::string mText;     ///< text of the answer
  std::chrono::duration<double> mFirstToken{ 0 };
  std::chrono::duration<double> mTotalTime{ 0 };
  std::chrono::duration<double> mLongestGap{ 0 }; ///< between two tokens
  bool mHasRetryAfter = false;
};

/// Sends a request and compares the answer with the expected text.
transport::Task<CallOutcome>
MakeCall(ModelCall aCall);

/// Runs calls concurrently and invokes aAction once, aDelay after the start.
///
/// Blocks until all calls have ended; outcomes are in the order of the calls.
std::vector<CallOutcome>
MakeCalls(
  const std::vector<ModelCall>& aCalls,
  state::Millis aDelay = state::Millis(0),
  const std::function<void()>& aAction = [] {});

/// JSON request body of a chat call.
std::string
ChatBody(const ModelCall& aCall);

} // namespace shuntjunction::standins
