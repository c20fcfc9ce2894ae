#include "shuntjunction/state/endpoint_rate.h"

#include <charconv>
#include <cmath>

namespace shuntjunction::state {

EndpointRate
ReadEndpointRate(std::string_view aText)
{
  double rate = 0;
  const auto* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, rate);
  const bool isRate = error == std::errc() && stop == end &&
                      std::isfinite(rate) && !std::signbit(rate);
  return isRate ? EndpointRate{ RateNotice::kAdvertised, rate }
                : EndpointRate{ RateNotice::kUnreadable, 0 };
}

} // namespace shuntjunction::state
