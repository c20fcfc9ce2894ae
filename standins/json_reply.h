#pragma once

#include <charconv>
#include <string_view>

#include <boost/json/value.hpp>

#include "shuntjunction/transport/http_types.h"

/// Helpers for HTTP responses with JSON bodies and for parsing numbers.
namespace shuntjunction::standins {

/// Makes a response with a JSON body.
///
/// Thread safety: pure.
transport::HttpResponse
Reply(unsigned aStatus, const boost::json::value& aBody);

/// Parses a leading number; aDefault if the text does not begin with one.
///
/// Thread safety: pure.
template<typename Number>
Number
NumberOf(std::string_view aText, Number aDefault)
{
  Number number = aDefault;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

} // namespace shuntjunction::standins
