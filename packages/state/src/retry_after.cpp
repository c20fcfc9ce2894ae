#include "shuntjunction/state/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <locale>
#include <optional>
#include <sstream>
#include <string>

namespace shuntjunction::state {

namespace {

constexpr double kMillisPerSecond = 1000.0;

std::optional<Millis>
ReadSeconds(std::string_view aText)
{
  double seconds = 0;
  const auto* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, seconds);
  if (error != std::errc() || stop != end || !std::isfinite(seconds) ||
      std::signbit(seconds)) {
    return std::nullopt;
  }
  const auto longest = static_cast<double>(kLongestRetryAfter.count());
  const double millis = std::min(seconds * kMillisPerSecond, longest);
  return Millis(static_cast<std::int64_t>(std::ceil(millis)));
}

/// Parses "Sun, 06 Nov 1994 08:49:37 GMT".
std::optional<std::int64_t>
ReadDate(std::string_view aText)
{
  std::istringstream stream{ std::string(aText) };
  stream.imbue(std::locale::classic());
  std::tm date{};
  stream >> std::get_time(&date, "%a, %d %b %Y %H:%M:%S GMT");
  const bool isWhole =
    !stream.fail() && (stream.peek() == std::istringstream::traits_type::eof());
  if (!isWhole) {
    return std::nullopt;
  }
  const auto seconds = timegm(&date);
  return seconds < 0
           ? std::nullopt
           : std::optional(static_cast<std::int64_t>(seconds) *
                           static_cast<std::int64_t>(kMillisPerSecond));
}

} // namespace

RetryAfter
ReadRetryAfter(std::string_view aText)
{
  if (const auto delay = ReadSeconds(aText)) {
    return { RetryAfterForm::kDelay, *delay, 0 };
  }
  if (const auto date = ReadDate(aText)) {
    return { RetryAfterForm::kDate, Millis(0), *date };
  }
  return { RetryAfterForm::kUnreadable, Millis(0), 0 };
}

Millis
RetryAfter::From(std::int64_t aWallMillis) const
{
  if (mForm != RetryAfterForm::kDate) {
    return mDelay;
  }
  const Millis left(mWallMillis - aWallMillis);
  return std::clamp(left, Millis(0), kLongestRetryAfter);
}

} // namespace shuntjunction::state
