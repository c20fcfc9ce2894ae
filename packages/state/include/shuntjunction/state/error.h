#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "shuntjunction/state/enum_names.h"

/// Errors that carry the operation and the peer at which they occurred.
namespace shuntjunction::state {

/// Categories of error, coarse enough to act upon.
enum class ErrorCode : std::uint8_t
{
  kInvalidArgument, ///< the input is malformed or out of range
  kNotFound,        ///< the named item does not exist
  kConflict,        ///< a conditional update found another version
  kUnauthorized,    ///< the credentials are missing or wrong
  kUnavailable,     ///< the peer refused, was disconnected, or is overloaded
  kTimeout,         ///< no response in time; the effect is unknown
  kProtocol,        ///< the peer violated the protocol
  kTooLarge,        ///< a size limit was exceeded
  kCancelled,       ///< the work was cancelled by its owner
  kInternal,        ///< a bug in this program
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

/// An error with the operation and the peer at which it occurred.
struct Error
{
  ErrorCode mCode = ErrorCode::kInternal;
  std::string mStep; ///< the operation that failed, as "platform.create"
  std::string mPeer; ///< the other side; empty when local
  std::string mText; ///< one sentence for people

  /// One line: "timeout at platform.create with 127.0.0.1:80: ...".
  std::string Describe() const;
};

/// A value, or the error that prevented it.
template<typename T>
using Result = tl::expected<T, Error>;

/// Makes a failed Result of any type.
tl::unexpected<Error>
Fail(ErrorCode aCode,
     std::string_view aStep,
     std::string_view aPeer,
     std::string_view aText);

} // namespace shuntjunction::state
