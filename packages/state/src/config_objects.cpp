#include "shuntjunction/state/config_objects.h"

#include <algorithm>

#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::state {

namespace {

constexpr std::size_t kDigestDigits = 64;
constexpr std::int64_t kMaxWeightsVersion = 1000000000;
constexpr double kMaxRate = 1e6;
constexpr double kMaxWeight = 1000.0;

/// Finishes a reader and returns the value that was read, or the error.
template<typename T>
Result<T>
FinishReading(JsonReader& aReader, T aValue)
{
  if (auto done = aReader.Finish(); !done) {
    return tl::unexpected<Error>(done.error());
  }
  return aValue;
}

bool
IsHexDigest(const std::string& aText)
{
  return aText.size() == kDigestDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool
IsTimeOfDay(const std::string& aText)
{
  constexpr std::string_view kDigits = "0123456789";
  if (aText.size() != 5 || aText[2] != ':') {
    return false;
  }
  for (const std::size_t at : { 0U, 1U, 3U, 4U }) {
    if (kDigits.find(aText[at]) == std::string_view::npos) {
      return false;
    }
  }
  return aText.substr(0, 2) < "24" && aText.substr(3) < "60";
}

std::string
PathOf(ConfigKind aKind, std::string_view aName)
{
  return std::string(kConfigKindNames.Name(aKind)) + "/" + std::string(aName);
}

UsageLimit
ReadLimit(JsonReader& aReader)
{
  UsageLimit limit;
  const auto* value = aReader.Find("limit");
  if (value == nullptr) {
    return limit;
  }
  JsonReader reader(*value, aReader.KeyPath("limit"));
  limit.mPerSecond = reader.Number("requestsPerSecond", 0, kMaxRate);
  limit.mBurst = reader.Number("burst", 0, kMaxRate, limit.mPerSecond);
  aReader.Merge(reader.Finish());
  return limit;
}

template<typename T>
Result<void>
DiscardValue(const Result<T>& aResult)
{
  if (!aResult) {
    return tl::unexpected<Error>(aResult.error());
  }
  return {};
}

} // namespace

Result<ConfigKey>
ParseConfigKey(std::string_view aKey)
{
  const auto refuse = [&](std::string_view aWhy) {
    return Fail(ErrorCode::kInvalidArgument,
                "config.key",
                "",
                "'" + std::string(aKey) + "' " + std::string(aWhy));
  };
  if (!aKey.starts_with(kConfigPrefix)) {
    return refuse("does not begin with config/");
  }
  const std::string_view rest = aKey.substr(kConfigPrefix.size());
  const std::size_t slash = rest.find('/');
  const auto kind = kConfigKindNames.Parse(rest.substr(0, slash));
  if (!kind) {
    return refuse("has an unknown kind; allowed is " +
                  kConfigKindNames.Allowed());
  }
  if (slash == std::string_view::npos || slash + 1 == rest.size()) {
    return refuse("has no name after the kind");
  }
  return ConfigKey{ *kind, std::string(rest.substr(slash + 1)) };
}

std::string
FormatConfigKey(const ConfigKey& aKey)
{
  return std::string(kConfigPrefix) + PathOf(aKey.mKind, aKey.mName);
}

Result<TeamConfig>
ReadTeam(std::string_view aName, const boost::json::value& aValue)
{
  JsonReader reader(aValue, PathOf(ConfigKind::kTeam, aName));
  TeamConfig team;
  team.mName = aName;
  team.mKeyDigests = reader.Texts("keyDigests");
  for (const auto& digest : team.mKeyDigests) {
    if (!IsHexDigest(digest)) {
      reader.AddError(
        "keyDigests", "\"" + digest + "\"", "SHA-256 as 64 hex digits");
    }
  }
  team.mLimit = ReadLimit(reader);
  team.mWeight = reader.Number("weight", 0.001, kMaxWeight, 1.0);
  return FinishReading(reader, std::move(team));
}

Result<ModelConfig>
ReadModel(std::string_view aName, const boost::json::value& aValue)
{
  JsonReader reader(aValue, PathOf(ConfigKind::kModel, aName));
  ModelConfig model;
  model.mName = aName;
  model.mWeights = static_cast<std::uint32_t>(
    reader.Integer("weights", 1, kMaxWeightsVersion));
  model.mAdapters = reader.Texts("adapters");
  return FinishReading(reader, std::move(model));
}

Result<TemplateConfig>
ReadTemplate(std::string_view aName, const boost::json::value& aValue)
{
  JsonReader reader(aValue, PathOf(ConfigKind::kTemplate, aName));
  TemplateConfig config;
  config.mName = aName;
  config.mEvent = reader.Text("event");
  config.mLevels = reader.Texts("levels");
  config.mUrgency =
    reader.Name("urgency", kPriorityNames, std::optional(Priority::kOrdinary));
  config.mIsRepeatable = reader.Flag("repeatable", true);
  return FinishReading(reader, std::move(config));
}

Result<ParametersConfig>
ReadParameters(std::string_view aName, const boost::json::value& aValue)
{
  JsonReader reader(aValue, PathOf(ConfigKind::kParameters, aName));
  ParametersConfig config;
  const std::size_t slash = aName.find('/');
  if (slash == std::string_view::npos) {
    reader.AddError("", "a name without '/'", "TEAM/TEMPLATE");
  } else {
    config.mTeam = aName.substr(0, slash);
    config.mTemplate = aName.substr(slash + 1);
  }
  config.mModel = reader.Text("model");
  config.mStartTimes = reader.Texts("starts");
  for (const auto& start : config.mStartTimes) {
    if (!IsTimeOfDay(start)) {
      reader.AddError(
        "starts", "\"" + start + "\"", "times of day as HH:MM, UTC");
    }
  }
  config.mSharedText = reader.Texts("sharedText");
  config.mWarmEndpoints = reader.Integer("warmEndpoints", 0, 64, 1);
  return FinishReading(reader, std::move(config));
}

Result<EndpointConfig>
ReadEndpoint(std::string_view aName, const boost::json::value& aValue)
{
  JsonReader reader(aValue, PathOf(ConfigKind::kEndpoint, aName));
  EndpointConfig config;
  config.mName = aName;
  config.mModel = reader.Text("model", "");
  config.mService = reader.Text("service", "");
  if (config.mModel.empty() == config.mService.empty()) {
    reader.AddError("model",
                    "set together with 'service', or neither is",
                    "exactly one of the two");
  }
  config.mRole =
    reader.Name("role", kEngineRoleNames, std::optional(EngineRole::kBoth));
  config.mWeight = reader.Number("weight", 0.001, kMaxWeight, 1.0);
  return FinishReading(reader, std::move(config));
}

Result<ServiceConfig>
ReadService(std::string_view aName, const boost::json::value& aValue)
{
  JsonReader reader(aValue, PathOf(ConfigKind::kService, aName));
  ServiceConfig config;
  config.mName = aName;
  config.mUrgency =
    reader.Name("urgency", kPriorityNames, std::optional(Priority::kPriority));
  return FinishReading(reader, std::move(config));
}

Result<std::uint64_t>
ReadEpoch(const boost::json::value& aValue)
{
  JsonReader reader(aValue, "epoch");
  const auto epoch = reader.Integer("epoch", 0, 65535);
  return FinishReading(reader, static_cast<std::uint64_t>(epoch));
}

Result<void>
CheckConfigObject(std::string_view aKey, const boost::json::value& aValue)
{
  const auto key = ParseConfigKey(aKey);
  if (!key) {
    return tl::unexpected<Error>(key.error());
  }
  switch (key->mKind) {
    case ConfigKind::kTeam:
      return DiscardValue(ReadTeam(key->mName, aValue));
    case ConfigKind::kModel:
      return DiscardValue(ReadModel(key->mName, aValue));
    case ConfigKind::kTemplate:
      return DiscardValue(ReadTemplate(key->mName, aValue));
    case ConfigKind::kParameters:
      return DiscardValue(ReadParameters(key->mName, aValue));
    case ConfigKind::kEndpoint:
      return DiscardValue(ReadEndpoint(key->mName, aValue));
    case ConfigKind::kService:
      return DiscardValue(ReadService(key->mName, aValue));
    case ConfigKind::kEpoch:
      return DiscardValue(ReadEpoch(aValue));
  }
  return Fail(ErrorCode::kInternal, "config.check", "", "unknown kind");
}

} // namespace shuntjunction::state
