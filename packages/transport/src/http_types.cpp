#include "shuntjunction/transport/http_types.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>

#include "shuntjunction/transport/request_target.h"

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
  const auto target = ParseRequestTarget(mTarget);
  if (!target) {
    return {};
  }
  const auto found = target->mQuery.find(aName);
  return found == target->mQuery.end() ? std::string() : found->second;
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
