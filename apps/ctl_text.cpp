#include "ctl_text.h"

#include <fstream>
#include <sstream>

#include <boost/json/serialize.hpp>

#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::ctl {

namespace json = boost::json;
using state::ErrorCode;
using state::Result;

int
ToExitStatus(ExitCode aCode)
{
  return static_cast<int>(aCode);
}

std::string
FullKey(const std::string& aName)
{
  const std::string prefix(state::kConfigPrefix);
  return aName.starts_with(prefix) ? aName : prefix + aName;
}

std::string
ShortKey(const std::string& aKey)
{
  return aKey.substr(state::kConfigPrefix.size());
}

std::string
CanonicalJson(const std::string& aText)
{
  const auto value = state::ParseJson(aText, "value");
  return value ? json::serialize(*value) : aText;
}

std::string
FormatValue(const json::value& aValue)
{
  return aValue.is_string() ? std::string(aValue.as_string())
                            : json::serialize(aValue);
}

Result<std::string>
ReadTextFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return state::Fail(ErrorCode::kInvalidArgument,
                       "file.read",
                       "",
                       "the file " + aFile + " cannot be opened");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

} // namespace shuntjunction::ctl
