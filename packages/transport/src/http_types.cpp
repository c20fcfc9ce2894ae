#include "shuntjunction/transport/http_types.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>

namespace shuntjunction::transport {

std::string_view
HttpRequest::Field(std::string_view aName) const
{
  for (const auto& field : mFields) {
    if (boost::beast::iequals({ field.mName.data(), field.mName.size() },
                              { aName.data(), aName.size() })) {
      return field.mValue;
    }
  }
  return {};
}

std::string_view
HttpRequest::Path() const
{
  const std::string_view target(mTarget);
  return target.substr(0, target.find('?'));
}

std::string
HttpRequest::Query(std::string_view aName) const
{
  const std::size_t queryStart = mTarget.find('?');
  if (queryStart == std::string::npos) {
    return {};
  }
  std::string_view rest = std::string_view(mTarget).substr(queryStart + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == aName && equals != std::string_view::npos) {
      return std::string(pair.substr(equals + 1));
    }
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return {};
}

std::string_view
MediaType(std::string_view aContentType)
{
  auto type = aContentType.substr(0, aContentType.find(';'));
  while (type.ends_with(' ') || type.ends_with('\t')) {
    type.remove_suffix(1);
  }
  return type;
}

bool
IsJsonType(std::string_view aMediaType)
{
  constexpr std::string_view kSuffix = "+json";
  const auto size = std::min(aMediaType.size(), kSuffix.size());
  return boost::beast::iequals(aMediaType, "application/json") ||
         boost::beast::iequals(aMediaType.substr(aMediaType.size() - size),
                               kSuffix);
}

} // namespace shuntjunction::transport
