#pragma once

#include <cstdint>
#include <string_view>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"

/// The time for which an endpoint that refuses asks to be sent nothing.
namespace shuntjunction::state {

/// How a Retry-After field is given.
enum class RetryAfterForm : std::uint8_t
{
  kAbsent,
  kDelay,      ///< seconds from the answer on
  kDate,       ///< a point in time
  kUnreadable, ///< neither; it is ignored
};

/// Names of RetryAfterForm.
inline constexpr EnumNames<RetryAfterForm, 4> kRetryAfterFormNames{
  { "absent", "delay", "date", "unreadable" }
};

/// A Retry-After field.
struct RetryAfter
{
  RetryAfterForm mForm = RetryAfterForm::kAbsent;
  Millis mDelay{ 0 };           ///< of kDelay
  std::int64_t mWallMillis = 0; ///< of kDate: milliseconds since the Unix epoch

  /// Time from now on; zero when none is asked for, or a date has passed.
  ///
  /// @param aWallMillis  now, since the Unix epoch
  Millis From(std::int64_t aWallMillis) const;
};

/// Reads whole or decimal seconds, or an HTTP date in its preferred form.
///
/// Unreadable are an empty text, a negative number, one that is not finite, and
/// any other form of a date. A delay is cut at kLongestRetryAfter.
/// Thread safety: pure.
RetryAfter
ReadRetryAfter(std::string_view aText);

/// A longer time is taken for this one: the next answer renews it, and one
/// mistaken field must not take an endpoint out of service for good.
inline constexpr Millis kLongestRetryAfter{ std::chrono::hours(1) };

} // namespace shuntjunction::state
