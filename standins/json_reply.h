#pragma once

#include <charconv>
#include <string_view>

#include <boost/json/value.hpp>

#include "shuntjunction/transport/http_types.h"

/// What the stand-ins share in speaking HTTP with JSON.
namespace shuntjunction::standins {

/// A response with a JSON body.
///
/// Thread safety: pure.
transport::HttpResponse
Reply(unsigned aStatus, const boost::json::value& aBody);

/// The number that a text begins with, or aDefault when there is none.
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
