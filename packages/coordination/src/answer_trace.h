#pragma once

// Private to coordination: how an endpoint's answer ended, for logs and
// metrics.

#include <cstddef>
#include <cstdint>

#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/transport/relay_message.h"

namespace shuntjunction::coordination {

/// What ended an answer.
enum class AnswerEnd : std::uint8_t
{
  kPending, ///< nothing yet, or the relay itself
  kFramed,  ///< the end that its framing marks
  kClosed,  ///< an orderly close of the connection
  kReset,   ///< a reset or failure of the connection
};

/// Names of AnswerEnd.
inline constexpr state::EnumNames<AnswerEnd, 4> kAnswerEndNames{
  { "pending", "framed", "closed", "reset" }
};

/// How the answer of one attempt was framed and how it ended.
struct AnswerTrace
{
  transport::BodyFraming mFraming = transport::BodyFraming::kNone;
  AnswerEnd mEnd = AnswerEnd::kPending;
  std::size_t mBodyBytes = 0;  ///< received, without chunk sizes
  bool mIsInsideEvent = false; ///< the last event of a stream is incomplete
};

} // namespace shuntjunction::coordination
