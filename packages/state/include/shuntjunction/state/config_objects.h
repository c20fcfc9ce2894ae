#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "shuntjunction/state/error.h"
#include "shuntjunction/state/raw_object.h"
#include "shuntjunction/state/request_types.h"
#include "shuntjunction/state/team_limiter.h"

/// The kinds of configuration object that operators write.
namespace shuntjunction::state {

/// Kinds of configuration object; the name is the middle part of the key, as in
/// "config/teams/riga".
enum class ConfigKind : std::uint8_t
{
  kTeam,
  kModel,
  kTemplate,
  kParameters,
  kEndpoint,
  kService,
  kEpoch,
};

/// Names of ConfigKind.
inline constexpr EnumNames<ConfigKind, 7> kConfigKindNames{ { "teams",
                                                              "models",
                                                              "templates",
                                                              "parameters",
                                                              "endpoints",
                                                              "services",
                                                              "epoch" } };

/// Key prefix of all configuration objects in the platform.
inline constexpr std::string_view kConfigPrefix = "config/";

/// Key of the object that holds the configuration epoch.
inline constexpr std::string_view kEpochKey = "config/epoch/current";

/// A team and the keys that identify its requests.
struct TeamConfig
{
  std::string mName;
  std::vector<std::string> mKeyDigests; ///< SHA-256 of its bearer keys, in hex
  UsageLimit mLimit;                    ///< in requests
  double mWeight = 1.0; ///< relative share among the teams of a class
};

/// A model and its active weights version.
struct ModelConfig
{
  std::string mName;
  std::uint32_t mWeights = 1;
  std::vector<std::string> mAdapters;
};

/// A kind of event and the urgency of its requests.
struct TemplateConfig
{
  std::string mName;
  std::string mEvent;               ///< description of the event, for people
  std::vector<std::string> mLevels; ///< names of the prompt levels
  Priority mUrgency = Priority::kOrdinary;
  bool mIsRepeatable = true;
};

/// A team's parameters for a template.
struct ParametersConfig
{
  std::string mTeam;
  std::string mTemplate;
  std::string mModel;
  std::vector<std::string> mStartTimes; ///< as "HH:MM", UTC
  std::vector<std::string> mSharedText; ///< texts of the outer prompt levels
  std::int64_t mWarmEndpoints = 1;      ///< endpoints to warm before each start
};

/// Role of a model engine.
enum class EngineRole : std::uint8_t
{
  kBoth,
  kPrefill,
  kDecode,
};

/// Names of EngineRole.
inline constexpr EnumNames<EngineRole, 3> kEngineRoleNames{
  { "both", "prefill", "decode" }
};

/// What an endpoint serves: a model or a plain service.
struct EndpointConfig
{
  std::string mName;
  std::string mModel;   ///< empty for a plain service
  std::string mService; ///< empty for a model engine
  EngineRole mRole = EngineRole::kBoth;
  double mWeight = 1.0; ///< relative capacity
};

/// A plain service.
struct ServiceConfig
{
  std::string mName;
  Priority mUrgency = Priority::kPriority;
};

/// Key of an object: its kind and name.
struct ConfigKey
{
  ConfigKind mKind = ConfigKind::kTeam;
  std::string mName;
};

/// Parses a platform key.
Result<ConfigKey>
ParseConfigKey(std::string_view aKey);

/// Platform key of an object.
std::string
FormatConfigKey(const ConfigKey& aKey);

/// Parsers of each kind; errors name the key, the value found and what is
/// allowed.
/// Thread safety: pure.
Result<TeamConfig>
ReadTeam(std::string_view aName, const boost::json::value& aValue);
Result<ModelConfig>
ReadModel(std::string_view aName, const boost::json::value& aValue);
Result<TemplateConfig>
ReadTemplate(std::string_view aName, const boost::json::value& aValue);
Result<ParametersConfig>
ReadParameters(std::string_view aName, const boost::json::value& aValue);
Result<EndpointConfig>
ReadEndpoint(std::string_view aName, const boost::json::value& aValue);
Result<ServiceConfig>
ReadService(std::string_view aName, const boost::json::value& aValue);
Result<std::uint64_t>
ReadEpoch(const boost::json::value& aValue);

/// Validates an object of any kind.
Result<void>
CheckConfigObject(std::string_view aKey, const boost::json::value& aValue);

} // namespace shuntjunction::state
