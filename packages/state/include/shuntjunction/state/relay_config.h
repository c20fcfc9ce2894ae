#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/state/endpoint_incarnation.h"
#include "shuntjunction/state/usage_limit.h"

/// Configuration of a relay: routes, teams, services and limits.
namespace shuntjunction::state {

/// Whether a request may be sent again when it is unknown whether it ran.
enum class RouteKind : std::uint8_t
{
  kRepeatable, ///< it may be run more than once
  kOnce,       ///< it may be run at most once
  kStream,     ///< a stream of events, run at most once unless resumable
};

/// Names of RouteKind.
inline constexpr EnumNames<RouteKind, 3> kRouteKindNames{
  { "repeatable", "once", "stream" }
};

/// A service that receives a share of a route's requests.
struct RouteTarget
{
  std::string mService;
  double mWeight = 1.0; ///< share relative to the route's other targets
};

/// How requests of one host and path prefix are served.
struct RouteRule
{
  std::string mName;
  std::string mHost;       ///< without a port, in lower case
  std::string mPathPrefix; ///< begins and ends with a slash
  RouteKind mKind = RouteKind::kOnce;
  bool mIsResumable = false; ///< a stream may continue at another endpoint
  bool mIsAnonymous = false; ///< requires no key
  Millis mTimeout{ 30000 };  ///< maximum time that a request is held
  Millis mObjective{ 1000 }; ///< to the response, or to a stream's first event
  int mUrgency = 5;          ///< 0 is served first
  int mMaxAttempts = 1;      ///< endpoints that a request may be sent to
  std::vector<RouteTarget> mTargets;

  /// Whether a request that may have run may be sent again.
  bool IsRepeatable() const
  {
    return mKind == RouteKind::kRepeatable ||
           (mKind == RouteKind::kStream && mIsResumable);
  }
};

/// A team and the keys that identify its callers.
struct TeamRule
{
  std::string mName;
  std::vector<std::string> mKeys;
  std::optional<int> mUrgency; ///< overrides a route's
  bool mIsIsolated = false; ///< shares no cached prompt prefix with other teams
  UsageLimit mLimit;        ///< across all relays
  UsageUnit mUnit = UsageUnit::kRequests; ///< of mLimit
  std::int64_t mDefaultUsage = 1; ///< tokens of a request that states none
};

/// Common properties of a service's engines.
struct EngineTraits
{
  std::int64_t mSlots = 1;          ///< concurrent requests of one engine
  std::int64_t mCapacityTokens = 0; ///< memory of one engine
  std::vector<std::string> mModels;
  /// Whether engines copy the memory of a run to another engine as it grows.
  bool mAllowsBackups = false;
};

/// A service and the common properties of its endpoints.
struct ServiceRule
{
  std::string mName;
  std::int64_t mMaxConnections = 0; ///< of one endpoint, from all callers
  std::optional<EngineTraits> mEngine;
};

/// A store of cached prompt prefixes (KV cache) outside of the engines.
struct KvStoreRule
{
  std::string mName;
  std::string mAddress; ///< "host:port"
  std::string mZone;
  std::int64_t mCapacityTokens = 0;
};

/// Limits on what a caller may send.
struct CallerLimits
{
  std::size_t mHeaderBytes = 16UL * 1024;
  std::size_t mBodyBytes = 4UL * 1024 * 1024;
  Millis mHeaderTimeout{ 3000 }; ///< for a whole request to arrive
  Millis mIdleTimeout{ 15000 };  ///< of a connection between requests
};

/// The contents of a RelayConfig, as parsed.
struct RelayRules
{
  std::uint64_t mVersion = 0; ///< increases with each change
  std::vector<RouteRule> mRoutes;
  std::vector<ServiceRule> mServices;
  std::vector<KvStoreRule> mKvStores;
  CallerLimits mLimits;
  std::vector<TeamRule> mTeams;
  bool mHasTeams = false; ///< false: no request requires a key
};

/// A complete configuration with indexes for lookups.
///
/// Immutable. Thread safety: all methods may be called from any thread.
class RelayConfig
{
public:
  RelayConfig() = default;
  explicit RelayConfig(RelayRules aRules);
  RelayConfig(const RelayConfig&) = delete;
  RelayConfig& operator=(const RelayConfig&) = delete;

  /// Version of the configuration; 0 before the first.
  std::uint64_t Version() const { return mRules.mVersion; }

  /// The rules as parsed.
  const RelayRules& Rules() const { return mRules; }

  /// The route of a host with the longest path prefix that matches.
  ///
  /// @param aHost  as the caller sent it, including a port
  /// @param aPath  without the query
  /// @return null when there is none
  const RouteRule* RouteOf(std::string_view aHost,
                           std::string_view aPath) const;

  /// The team with a key; null when there is none.
  const TeamRule* TeamOf(std::string_view aKey) const;

  /// A service by its name; null when there is none.
  const ServiceRule* ServiceOf(std::string_view aName) const;

private:
  RelayRules mRules;
  std::unordered_map<std::string, std::vector<const RouteRule*>> mByHost;
  std::unordered_map<std::string, const TeamRule*> mByKey;
  std::unordered_map<std::string, const ServiceRule*> mByService;
};

/// A model and the weights version that an endpoint has loaded.
struct LoadedModel
{
  std::string mName;
  std::uint64_t mVersion = 0;

  bool operator==(const LoadedModel&) const = default;
};

/// An endpoint as listed in the platform.
struct EndpointInfo
{
  /// A restart changes it, or keeps it and changes mEndpointIncarnation.
  std::string mId;
  std::string mService;
  std::string mAddress; ///< "host:port"
  std::string mZone;
  std::int64_t mSlots = 1;
  bool mIsLeaving = false;
  std::vector<LoadedModel> mModels;
  std::string mSoftwareVersion; ///< empty: not reported
  EndpointIncarnation mEndpointIncarnation;
  std::uint64_t mRevision = 0; ///< platform revision of its last change

  bool operator==(const EndpointInfo&) const = default;

  /// Version of a loaded model; 0 when it is not loaded.
  std::uint64_t VersionOf(std::string_view aModel) const;
};

/// The newest weights version announced for a model.
struct LatestWeights
{
  std::string mModel;
  std::uint64_t mVersion = 0;
};

} // namespace shuntjunction::state
