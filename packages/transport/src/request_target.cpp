#include "shuntjunction/transport/request_target.h"

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/pchars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url_view.hpp>

#include "shuntjunction/state/field_value.h"

namespace shuntjunction::transport {

namespace urls = boost::urls;

state::Result<std::string>
EncodePathSegment(std::string_view aText)
{
  if (aText.empty() || aText == "." || aText == "..") {
    return state::Fail(state::ErrorCode::kInvalidArgument,
                       "http.target",
                       "",
                       "'" + std::string(aText) + "' can't be in a path");
  }
  return urls::encode({ aText.data(), aText.size() }, urls::pchars);
}

std::string
EncodeQueryValue(std::string_view aText)
{
  return urls::encode({ aText.data(), aText.size() }, urls::unreserved_chars);
}

std::optional<RequestTarget>
ParseRequestTarget(std::string_view aTarget)
{
  const auto text = aTarget.substr(0, aTarget.find('#'));
  const auto url = urls::parse_origin_form({ text.data(), text.size() });
  if (!url) {
    return std::nullopt;
  }
  RequestTarget target;
  for (const auto& segment : url->segments()) {
    target.mSegments.emplace_back(segment);
  }
  for (const auto& parameter : url->params(urls::encoding_opts(true))) {
    target.mQuery.emplace(parameter.key, parameter.value);
  }
  return target;
}

bool
IsSendableTarget(std::string_view aTarget)
{
  return !aTarget.empty() && state::IsFieldValue(aTarget) &&
         aTarget.find_first_of(" \t") == std::string_view::npos;
}

} // namespace shuntjunction::transport
