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

/// The endpoints known to a router, with their observed state.
namespace shuntjunction::state {

/// Roles of instances in the platform's list.
inline constexpr std::string_view kCompanionRole = "companion";
inline constexpr std::string_view kRouterRole = "router";

/// An instance in the platform's list.
struct InstanceInfo
{
  std::string mName;
  std::string mAddress; ///< "host:port" of its frame listener; numeric IP only
  std::string mZone;    ///< availability zone
  std::string mRole;    ///< kRouterRole or kCompanionRole
  bool mIsLeaving = false;

  bool operator==(const InstanceInfo&) const = default;
};

/// Load that an endpoint reports in-band.
struct EndpointLoad
{
  std::int64_t mWaitMicros = 0;     ///< engine time queued ahead of new work
  std::int64_t mMicrosPerBlock = 0; ///< to compute one missing block
  TimePoint mAt;                    ///< time of the report; epoch: never
};

/// An endpoint and its observed state.
struct EndpointEntry
{
  InstanceInfo mInstance;
  EndpointConfig mConfig;
  std::uint64_t mNameHash = 0;
  EndpointHealth mHealth;
  EndpointLoad mLoad;
  std::int64_t mSentMicros = 0; ///< work sent since mLoad was reported
  TimePoint mReportedLeavingAt; ///< by its companion; epoch: never
  bool mIsListed = false;       ///< in the platform's list
};

/// Settings of an EndpointTable.
struct EndpointTableSettings
{
  HealthSettings mHealth;
  double mMaxEjectedShare = 0.5; ///< of a model's endpoints
};

/// How long an endpoint's report that it is leaving overrides a list that still
/// shows it as live; after that it is asked again.
inline constexpr Millis kReportedLeavingTtl{ 30000 };

/// All endpoints, by handle and by model or service.
///
/// The platform's list determines which endpoints exist; what an endpoint's
/// companion reports about itself takes precedence over the list. If more than
/// the allowed share of a model's endpoints is ejected, all of them are used
/// again: the cause is then more likely near the router than in that many
/// endpoints at once.
///
/// Thread safety: none; owned by one thread.
class EndpointTable
{
public:
  explicit EndpointTable(const EndpointTableSettings& aSettings);

  /// Applies the configuration and the platform's list of instances.
  ///
  /// Handles of endpoints that remain stay valid.
  void Update(const ConfigSnapshot& aConfig,
              const std::vector<InstanceInfo>& aInstances);

  /// Endpoints of a model or service that may get new work, in any order.
  std::vector<EndpointHandle> Usable(std::string_view aServedName,
                                     TimePoint aNow);

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

  /// Handle for a name; invalid if unknown.
  EndpointHandle Find(std::string_view aName) const;

  /// Records a load report that arrived in-band.
  void NoteLoad(EndpointHandle aHandle, const EndpointLoad& aLoad);

  /// Records that an endpoint's companion accepts no new work.
  void NoteLeaving(EndpointHandle aHandle, TimePoint aNow);

  /// Records that a new connection to a companion was opened.
  void NoteReconnected(EndpointHandle aHandle);

  /// All entries, including removed ones (mIsListed is false).
  const std::vector<EndpointEntry>& Entries() const { return mEntries; }

private:
  static bool IsLeaving(const EndpointEntry& aEntry, TimePoint aNow);

  EndpointTableSettings mSettings;
  std::vector<EndpointEntry> mEntries;
  std::unordered_map<std::string, std::uint32_t> mByName;
  std::unordered_map<std::string, std::vector<std::uint32_t>> mByServes;
};

} // namespace shuntjunction::state
