#include "shuntjunction/state/relay_config.h"

#include <algorithm>
#include <cctype>

namespace shuntjunction::state {

namespace {

/// Host name of a Host header: lower case, without a port.
std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.rfind(':')));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return host;
}

} // namespace

RelayConfig::RelayConfig(RelayRules aRules)
  : mRules(std::move(aRules))
{
  for (const auto& route : mRules.mRoutes) {
    mByHost[NormalizeHost(route.mHost)].push_back(&route);
  }
  for (auto& [host, routes] : mByHost) {
    std::stable_sort(
      routes.begin(), routes.end(), [](const auto* aLeft, const auto* aRight) {
        return aLeft->mPathPrefix.size() > aRight->mPathPrefix.size();
      });
  }
  for (const auto& team : mRules.mTeams) {
    for (const auto& key : team.mKeys) {
      mByKey[key] = &team;
    }
  }
  for (const auto& service : mRules.mServices) {
    mByService[service.mName] = &service;
  }
}

const RouteRule*
RelayConfig::RouteOf(std::string_view aHost, std::string_view aPath) const
{
  const auto found = mByHost.find(NormalizeHost(aHost));
  if (found == mByHost.end()) {
    return nullptr;
  }
  for (const auto* route : found->second) {
    if (aPath.substr(0, route->mPathPrefix.size()) == route->mPathPrefix) {
      return route;
    }
  }
  return nullptr;
}

const TeamRule*
RelayConfig::TeamOf(std::string_view aKey) const
{
  const auto found = mByKey.find(std::string(aKey));
  return found == mByKey.end() ? nullptr : found->second;
}

const ServiceRule*
RelayConfig::ServiceOf(std::string_view aName) const
{
  const auto found = mByService.find(std::string(aName));
  return found == mByService.end() ? nullptr : found->second;
}

std::uint64_t
EndpointInfo::VersionOf(std::string_view aModel) const
{
  for (const auto& model : mModels) {
    if (model.mName == aModel) {
      return model.mVersion;
    }
  }
  return 0;
}

} // namespace shuntjunction::state
