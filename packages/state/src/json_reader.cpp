#include "shuntjunction/state/json_reader.h"

#include <algorithm>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace shuntjunction::state {

namespace {

constexpr std::size_t kMaxExcerptBytes = 60;

/// Text of a value for an error message.
std::string
Excerpt(const boost::json::value& aValue)
{
  std::string text = boost::json::serialize(aValue);
  if (text.size() > kMaxExcerptBytes) {
    text = text.substr(0, kMaxExcerptBytes) + "...";
  }
  return text;
}

/// Maximum nesting in JSON of other writers; bounds the memory for parsing.
constexpr std::size_t kMaxUntrustedDepth = 512;

Result<boost::json::value>
Parse(std::string_view aText,
      std::string_view aWhat,
      const boost::json::parse_options& aOptions)
{
  boost::json::error_code error;
  auto value = boost::json::parse(
    boost::json::string_view(aText.data(), aText.size()), error, {}, aOptions);
  if (error) {
    return Fail(ErrorCode::kInvalidArgument,
                "json.parse",
                "",
                std::string(aWhat) + " is not valid JSON: " + error.message());
  }
  return value;
}

} // namespace

Result<boost::json::value>
ParseJson(std::string_view aText, std::string_view aWhat)
{
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return Parse(aText, aWhat, options);
}

Result<boost::json::value>
ParseUntrustedJson(std::string_view aText, std::string_view aWhat)
{
  boost::json::parse_options options;
  options.allow_invalid_utf8 = true;
  options.max_depth = kMaxUntrustedDepth;
  return Parse(aText, aWhat, options);
}

JsonReader::JsonReader(const boost::json::value& aValue, std::string_view aPath)
  : mPath(aPath)
{
  mObject = aValue.if_object();
  if (mObject == nullptr) {
    AddError("", Excerpt(aValue), "an object");
  }
}

std::string
JsonReader::KeyPath(std::string_view aKey) const
{
  if (mPath.empty() || aKey.empty()) {
    return mPath + std::string(aKey);
  }
  return mPath + "." + std::string(aKey);
}

void
JsonReader::AddError(std::string_view aKey,
                     std::string_view aFound,
                     std::string_view aAllowed)
{
  if (mError) {
    return;
  }
  mError = Error{ ErrorCode::kInvalidArgument,
                  "json.read",
                  "",
                  "'" + KeyPath(aKey) + "' is " + std::string(aFound) +
                    "; allowed is " + std::string(aAllowed) };
}

const boost::json::value*
JsonReader::Find(std::string_view aKey)
{
  mKnownKeys.emplace_back(aKey);
  return mObject == nullptr ? nullptr : mObject->if_contains(aKey);
}

std::string
JsonReader::Text(std::string_view aKey, std::optional<std::string> aDefault)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    if (!aDefault) {
      AddError(aKey, "absent", "a string");
    }
    return aDefault.value_or("");
  }
  if (!value->is_string()) {
    AddError(aKey, Excerpt(*value), "a string");
    return "";
  }
  return std::string(value->as_string());
}

std::int64_t
JsonReader::Integer(std::string_view aKey,
                    std::int64_t aMin,
                    std::int64_t aMax,
                    std::optional<std::int64_t> aDefault)
{
  const std::string allowed = "a whole number from " + std::to_string(aMin) +
                              " to " + std::to_string(aMax);
  const auto* value = Find(aKey);
  if (value == nullptr) {
    if (!aDefault) {
      AddError(aKey, "absent", allowed);
    }
    return aDefault.value_or(aMin);
  }
  boost::json::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  if (error || value->is_double() || number < aMin || number > aMax) {
    AddError(aKey, Excerpt(*value), allowed);
    return aMin;
  }
  return number;
}

double
JsonReader::Number(std::string_view aKey,
                   double aMin,
                   double aMax,
                   std::optional<double> aDefault)
{
  const std::string allowed =
    "a number from " + std::to_string(aMin) + " to " + std::to_string(aMax);
  const auto* value = Find(aKey);
  if (value == nullptr) {
    if (!aDefault) {
      AddError(aKey, "absent", allowed);
    }
    return aDefault.value_or(aMin);
  }
  boost::json::error_code error;
  const auto number = value->to_number<double>(error);
  if (error || number < aMin || number > aMax) {
    AddError(aKey, Excerpt(*value), allowed);
    return aMin;
  }
  return number;
}

bool
JsonReader::Flag(std::string_view aKey, std::optional<bool> aDefault)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    if (!aDefault) {
      AddError(aKey, "absent", "true or false");
    }
    return aDefault.value_or(false);
  }
  if (!value->is_bool()) {
    AddError(aKey, Excerpt(*value), "true or false");
    return false;
  }
  return value->as_bool();
}

std::vector<std::string>
JsonReader::Texts(std::string_view aKey)
{
  std::vector<std::string> texts;
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    AddError(aKey, Excerpt(*value), "a list of strings");
    return texts;
  }
  for (const auto& item : value->as_array()) {
    if (!item.is_string()) {
      AddError(aKey, Excerpt(*value), "a list of strings");
      return texts;
    }
    texts.emplace_back(item.as_string());
  }
  return texts;
}

void
JsonReader::Merge(const Result<void>& aNested)
{
  if (!aNested && !mError) {
    mError = aNested.error();
  }
}

Result<void>
JsonReader::Finish()
{
  if (mObject != nullptr) {
    for (const auto& item : *mObject) {
      const std::string_view key(item.key().data(), item.key().size());
      if (std::find(mKnownKeys.begin(), mKnownKeys.end(), key) ==
          mKnownKeys.end()) {
        std::string allowed = "only ";
        for (const auto& known : mKnownKeys) {
          allowed += (allowed.size() > 5 ? ", " : "") + known;
        }
        AddError(key, "an unknown key", allowed);
      }
    }
  }
  return FinishLenient();
}

Result<void>
JsonReader::FinishLenient() const
{
  if (mError) {
    return tl::unexpected<Error>(*mError);
  }
  return {};
}

} // namespace shuntjunction::state
