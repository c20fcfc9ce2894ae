#pragma once

#include <cstdint>
#include <string_view>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"

/// Parses the Retry-After field of a refusal.
namespace shuntjunction::state {

/// Format of a Retry-After field.
enum class RetryAfterForm : std::uint8_t
{
  kAbsent,
  kDelay,      ///< seconds from the response on
  kDate,       ///< a point in time
  kUnreadable, ///< neither; ignored
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
  std::int64_t mWallMillis = 0; ///< of kDate: ms since the Unix epoch

  /// Remaining delay; zero if none is requested or the date has passed.
  ///
  /// @param aWallMillis  current time since the Unix epoch
  Millis From(std::int64_t aWallMillis) const;
};

/// Parses integer or decimal seconds, or an HTTP date in the preferred format.
///
/// Empty text, negative and non-finite numbers, and other date formats are
/// unreadable. A delay is capped at kLongestRetryAfter.
/// Thread safety: pure.
RetryAfter
ReadRetryAfter(std::string_view aText);

/// Upper bound of a delay: the next response renews it, and a single wrong
/// field must not take an endpoint out of service forever.
inline constexpr Millis kLongestRetryAfter{ std::chrono::hours(1) };

} // namespace shuntjunction::state
