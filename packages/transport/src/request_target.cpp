#include "shuntjunction/transport/request_target.h"

#include <algorithm>

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/pchars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url_view.hpp>

namespace shuntjunction::transport {

namespace urls = boost::urls;

namespace {

/// Whether a character is one of the control characters of ASCII.
bool
IsControl(char aCharacter)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte < kFirstPrintable || byte == kDelete;
}

bool
IsBlank(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == '\t';
}

} // namespace

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
  return !aTarget.empty() &&
         std::none_of(aTarget.begin(), aTarget.end(), [](char aCharacter) {
           return aCharacter == ' ' || IsControl(aCharacter);
         });
}

bool
IsFieldValue(std::string_view aText)
{
  const bool isTrimmed =
    aText.empty() || (!IsBlank(aText.front()) && !IsBlank(aText.back()));
  return isTrimmed &&
         std::none_of(aText.begin(), aText.end(), [](char aCharacter) {
           return aCharacter != '\t' && IsControl(aCharacter);
         });
}

} // namespace shuntjunction::transport
