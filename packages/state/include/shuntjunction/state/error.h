#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "shuntjunction/state/enum_names.h"

/// Errors that carry the step and the peer at which they arose.
namespace shuntjunction::state {

/// What went wrong, coarse enough to act upon.
enum class ErrorCode : std::uint8_t
{
  kInvalidArgument, ///< the input is malformed or out of range
  kNotFound,        ///< the named thing does not exist
  kConflict,        ///< a conditional update met another version
  kUnauthorized,    ///< the credentials are missing or wrong
  kUnavailable,     ///< the peer refused, was cut off, or is overloaded
  kTimeout,         ///< no answer in time; the effect is unknown
  kProtocol,        ///< the peer broke the protocol
  kTooLarge,        ///< a limit on size was passed
  kCancelled,       ///< the work was given up by its owner
  kInternal,        ///< a defect of this program
};

/// Names of ErrorCode.
inline constexpr EnumNames<ErrorCode, 10> kErrorCodeNames{ { "invalid-argument",
                                                             "not-found",
                                                             "conflict",
                                                             "unauthorized",
                                                             "unavailable",
                                                             "timeout",
                                                             "protocol",
                                                             "too-large",
                                                             "cancelled",
                                                             "internal" } };

/// An error with the step and the peer at which it arose.
struct Error
{
  ErrorCode mCode = ErrorCode::kInternal;
  std::string mStep; ///< what was being done, as "platform.create"
  std::string mPeer; ///< who it was done with; empty when local
  std::string mText; ///< one sentence for people

  /// One line: "timeout at platform.create with 127.0.0.1:80: ...".
  std::string Describe() const;
};

/// A value or the error that prevented it.
template<typename T>
using Result = tl::expected<T, Error>;

/// A failed Result of any type.
tl::unexpected<Error>
Fail(ErrorCode aCode,
     std::string_view aStep,
     std::string_view aPeer,
     std::string_view aText);

} // namespace shuntjunction::state
