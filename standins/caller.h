#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "shuntjunction/state/error.h"
#include "shuntjunction/transport/http_client.h"
#include "shuntjunction/transport/task.h"

/// Callers that check every answer they get.
namespace shuntjunction::standins {

/// A call of a model.
struct CallerCall
{
  std::string mRouter; ///< address
  std::string mKey;    ///< bearer key
  std::string mModel;
  std::vector<std::string> mLevels; ///< prompt levels, outermost first
  std::uint32_t mTokens = 16;
  std::uint32_t mWeights = 1; ///< version whose answer is expected
  bool mIsStream = true;
  std::vector<transport::HttpField> mFields; ///< further header fields
  state::Millis mTimeout{ 60000 };
  state::Millis mReadPause{ 0 }; ///< between reads, for a slow caller
};

/// How a call ended.
enum class CallerEnd : std::uint8_t
{
  kWhole,        ///< the whole answer, and the right one
  kWrong,        ///< an answer that looked complete but was not the right one
  kRefused,      ///< an HTTP error
  kBroken,       ///< a stream that was begun and did not look complete
  kNoConnection, ///< no connection, or it was cut before an answer
};

/// Names of CallerEnd.
inline constexpr state::EnumNames<CallerEnd, 5> kCallerEndNames{
  { "whole", "wrong", "refused", "broken", "no-connection" }
};

/// What a caller saw.
struct CallerOutcome
{
  CallerEnd mEnd = CallerEnd::kNoConnection;
  unsigned mStatus = 0;
  std::string mRunState; ///< as the answer's header said
  std::string mBody;     ///< of an error
  std::string mText;     ///< of the answer
  std::chrono::duration<double> mFirstToken{ 0 };
  std::chrono::duration<double> mWholeTime{ 0 };
  std::chrono::duration<double> mLongestGap{ 0 }; ///< between two tokens
  bool mHasRetryAfter = false;
};

/// Makes a call and checks its answer.
transport::Task<CallerOutcome>
MakeCall(CallerCall aCall);

/// Makes calls at once, and does something while they run.
///
/// Blocks until all have ended; outcomes stand in the order of the calls.
std::vector<CallerOutcome>
MakeCalls(
  const std::vector<CallerCall>& aCalls,
  state::Millis aWhen = state::Millis(0),
  const std::function<void()>& aMeanwhile = [] {});

/// Body of a chat call.
std::string
ChatBody(const CallerCall& aCall);

} // namespace shuntjunction::standins
