#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "shuntjunction/state/block_index.h"
#include "shuntjunction/state/config_store.h"
#include "shuntjunction/state/endpoint_health.h"
#include "shuntjunction/state/handles.h"

/// The endpoints that a router knows, with what it has seen of each.
namespace shuntjunction::state {

/// Roles of instances in the platform's list.
inline constexpr std::string_view kCompanionRole = "companion";
inline constexpr std::string_view kRouterRole = "router";

/// An instance as the platform lists it.
struct InstanceInfo
{
  std::string mName;
  std::string mAddress; ///< "host:port" of its frames; IP numbers only
  std::string mZone;    ///< availability zone
  std::string mRole;    ///< kRouterRole or kCompanionRole
  bool mIsLeaving = false;

  bool operator==(const InstanceInfo&) const = default;
};

/// What an endpoint said of itself, in-band.
struct EndpointLoad
{
  std::int64_t mWaitMicros = 0;     ///< engine time that stands before new work
  std::int64_t mMicrosPerBlock = 0; ///< to compute one missing block
  TimePoint mAt;                    ///< when it was heard; epoch when never
};

/// One endpoint.
struct EndpointEntry
{
  InstanceInfo mInstance;
  EndpointConfig mConfig;
  std::uint64_t mNameHash = 0;
  EndpointHealth mHealth;
  EndpointLoad mLoad;
  std::int64_t mSentMicros = 0; ///< work sent there since mLoad was heard
  TimePoint mReportedLeavingAt; ///< when its companion said so; epoch: never
  bool mIsListed = false;       ///< stands in the platform's list
};

/// Settings of an EndpointTable.
struct EndpointTableSettings
{
  HealthSettings mHealth;
  double mMaxEjectedShare = 0.5; ///< of a model's endpoints
};

/// How long an endpoint's word that it leaves holds against a list that still
/// calls it live; then it is asked again.
inline constexpr Millis kReportedLeavingTtl{ 30000 };

/// All endpoints, by handle and by what they serve.
///
/// The platform's list says who may exist; what an endpoint's companion says
/// of itself goes first. When more than the allowed share of a model's
/// endpoints is ejected, all are used again: then the fault is more likely
/// near the router than in so many endpoints at once.
///
/// Thread safety: none; owned by one thread.
class EndpointTable
{
public:
  explicit EndpointTable(const EndpointTableSettings& aSettings);

  /// Takes the configuration and the platform's list of instances.
  ///
  /// Handles stay valid for endpoints that stay.
  void Update(const ConfigSnapshot& aConfig,
              const std::vector<InstanceInfo>& aInstances);

  /// Endpoints of a model or service that may get new work, any order.
  std::vector<EndpointHandle> Usable(std::string_view aServes, TimePoint aNow);

  /// Whether an endpoint is listed and neither leaving nor ejected.
  bool IsUsable(const EndpointEntry& aEntry, TimePoint aNow) const;

  /// The entry of a handle.
  ///
  /// @pre  the handle came from this table and is valid
  EndpointEntry& At(EndpointHandle aHandle) { return mEntries[aHandle.mIndex]; }
  const EndpointEntry& At(EndpointHandle aHandle) const
  {
    return mEntries[aHandle.mIndex];
  }

  /// Handle of a name; invalid when unknown.
  EndpointHandle Find(std::string_view aName) const;

  /// Notes news of load that came in-band.
  void NoteLoad(EndpointHandle aHandle, const EndpointLoad& aLoad);

  /// Notes that an endpoint's companion takes no new work.
  void NoteLeaving(EndpointHandle aHandle, TimePoint aNow);

  /// Notes that a new connection to a companion was opened.
  void NoteReconnected(EndpointHandle aHandle);

  /// All entries, gone ones included (mIsListed is false).
  const std::vector<EndpointEntry>& Entries() const { return mEntries; }

private:
  static bool IsLeaving(const EndpointEntry& aEntry, TimePoint aNow);

  EndpointTableSettings mSettings;
  std::vector<EndpointEntry> mEntries;
  std::unordered_map<std::string, std::uint32_t> mByName;
  std::unordered_map<std::string, std::vector<std::uint32_t>> mByServes;
};

} // namespace shuntjunction::state
